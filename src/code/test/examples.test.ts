import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSettingsJsonSchema} from '../../settings/common/check.js';
import {readJsonFile, readSettings} from '../../settings/node/json-file.js';
import {checkListsDocument} from '../common/lists-document.js';

const test = suite('examples');

const root = path.resolve(import.meta.dirname, '../../..');
const folder = path.join(root, 'examples');
const names = await readdir(folder, {recursive: true});
const files = names.filter(name => name.endsWith('.json')).map(name => path.join(folder, name));

test('the folder contains settings and lists of both deployments', () => {
	assert.is(files.length, 4);
});

files.filter(file => path.basename(file) !== 'lists.json').forEach(file => {
	test(`settings ${path.relative(folder, file)} are valid`, async () => {
		const settings = await readSettings(file);
		assert.equal(settings.isErr() ? settings.error : [], []);
	});
});

files.filter(file => path.basename(file) === 'lists.json').forEach(file => {
	test(`lists ${path.relative(folder, file)} are valid and refer only to pools and trainers of their settings`, async () => {
		const document = await readJsonFile(file);
		const {lists} = document.andThen(checkListsDocument)._unsafeUnwrap();
		const read = await readSettings(path.join(path.dirname(file), 'entry-1.json'));
		const settings = read._unsafeUnwrap();
		const pools = new Set(settings.pools.map(pool => pool.name));
		const trainers = new Set(settings.trainers.map(trainer => trainer.name));
		assert.ok(lists.grants.every(grant => pools.has(grant.pool)));
		assert.ok(lists.plans.every(plan => plan.trainers.every(name => trainers.has(name))));
	});
});

test('docs/settings.schema.json is identical to the output of `npm run schema`', async () => {
	const committed = await readFile(path.join(root, 'docs/settings.schema.json'), 'utf8');
	assert.is(committed, `${JSON.stringify(createSettingsJsonSchema(), undefined, '\t')}\n`, 'the schema has changed: run npm run schema');
});

test.run();
