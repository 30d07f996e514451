/**
 * Lint rules: XO's defaults, overrides for this project's style, and a rule that a layer imports only from layers below it.
 */
const layers = [
	'base',
	'kernel',
	'settings',
	'persistence',
	'adapters',
	'peers',
	'objects',
	'audit',
	'membership',
	'leases',
	'plans',
	'limits',
	'routing',
	'requests',
	'gateway',
	'organisations',
	'batches',
	'orders',
	'duties',
	'weights',
	'rollouts',
	'standins',
	'hosting',
	'code',
];

/** For each layer, forbids imports from upper layers and, in common/, from node/. Matches relative import paths. */
const layerRules = layers.flatMap((layer, index) => {
	const upper = layers.slice(index + 1).join('|');
	const upward = upper === '' ? [] : [{regex: String.raw`^(?:\.\./)+(?:${upper})/`, message: `Layer "${layer}" must not import from a layer above it.`}];
	const impure = {regex: String.raw`^(?:\.\./)+(?:[a-z-]+/)?node/`, message: 'Modules in common/ are pure and must not import from node/.'};
	return [
		{files: [`src/${layer}/**/*.ts`], rules: {'@typescript-eslint/no-restricted-imports': ['error', {patterns: upward}]}},
		{files: [`src/${layer}/common/**/*.ts`], rules: {'@typescript-eslint/no-restricted-imports': ['error', {patterns: [...upward, impure]}]}},
	];
});

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['dist/**', 'target/**', 'journal/**', 'src/**/gen/**', 'coverage/**']},
	{
		files: ['**/*.ts', '**/*.js'],
		rules: {
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'import-x/extensions': 'off',
			'n/file-extension-in-import': 'off',
			// Modules named `*.contribution` register themselves when they are imported.
			'import-x/no-unassigned-import': ['error', {allow: ['**/*.contribution.js']}],
			'max-params': ['error', 5],
			// The rule targets a newer language version than the supported Node.js releases.
			'require-unicode-regexp': 'off',
		},
	},
	...layerRules,
	{
		files: ['platform/**/*.ts'],
		rules: {
			// Fields of the platform's messages keep the platform's spelling.
			'@typescript-eslint/dot-notation': 'off',
		},
	},
	{
		files: ['**/test/**/*.ts', 'test/**/*.ts', 'scripts/**/*.ts', 'bench/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'no-await-in-loop': 'off',
			'unicorn/no-await-expression-member': 'off',
			// In-memory stores return the values that the test stored, so their types are known.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
		},
	},
];

export default config;
