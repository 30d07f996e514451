/** Problems of a file that an operator wrote, each formatted on one line. */
import type {z} from 'zod';

/** One problem of a JSON document. */
export type Problem = {
	/** JSON path from the root `$`, such as `$.pools[0].slots`. */
	readonly path: string;
	/** What is wrong and what is allowed. */
	readonly message: string;
};

function formatSegment(segment: PropertyKey): string {
	return typeof segment === 'number' ? `[${segment}]` : `.${String(segment)}`;
}

/** Formats the path of a value from the root of its document. */
export function formatPath(path: readonly PropertyKey[]): string {
	return `$${path.map(formatSegment).join('')}`;
}

function isRecord(value: unknown): value is Readonly<Record<PropertyKey, unknown>> {
	return typeof value === 'object' && value !== null;
}

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
	return path.reduce<unknown>((value, segment) => (isRecord(value) ? value[segment] : undefined), document);
}

function formatFound(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value).slice(0, 60);
}

/** Returns the keys that a JSON Schema allows at a path, over all `oneOf`, `anyOf` and `allOf` alternatives. */
function allowedKeys(schema: unknown, path: readonly PropertyKey[]): readonly string[] {
	if (!isRecord(schema)) {
		return [];
	}

	const alternatives = [schema.oneOf, schema.anyOf, schema.allOf].filter(list => Array.isArray(list)).flat();
	if (alternatives.length > 0) {
		return alternatives.flatMap(alternative => allowedKeys(alternative, path));
	}

	const [segment, ...rest] = path;
	if (segment === undefined) {
		return Object.keys(isRecord(schema.properties) ? schema.properties : {});
	}

	return allowedKeys(typeof segment === 'number' ? schema.items : valueAt(schema, ['properties', segment]), rest);
}

/** Extracts from a schema message what is allowed. What was received is removed because the `found` part states it. */
function formatAllowed(message: string): string {
	return message.replace(/^Invalid input: /, '').replace(/^expected (\w+), received .*$/, 'a value of type $1');
}

function describe(issue: z.core.$ZodIssue, document: unknown, jsonSchema: unknown): string {
	if (issue.code === 'unrecognized_keys') {
		const unknownKeys = issue.keys.map(key => `"${key}"`).join(', ');
		return `unknown key ${unknownKeys}; allowed: ${[...new Set(allowedKeys(jsonSchema, issue.path))].join(', ')}`;
	}

	return `found ${formatFound(valueAt(document, issue.path))}; allowed: ${formatAllowed(issue.message)}`;
}

/** Converts the issues that the schema found in a document into problems. `jsonSchema` provides the allowed keys. */
export function describeIssues(issues: readonly z.core.$ZodIssue[], document: unknown, jsonSchema: unknown): readonly Problem[] {
	return issues.map(issue => ({path: formatPath(issue.path), message: describe(issue, document, jsonSchema)}));
}

/** Formats a problem of a file on one line. */
export function formatProblem(file: string, problem: Problem): string {
	return `${file}: ${problem.path}: ${problem.message}`;
}
