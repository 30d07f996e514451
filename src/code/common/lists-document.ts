/** The file in which operators edit the lists. It contains the lists alone, or also the version at which they were read. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {checkLists} from '../../plans/common/check-lists.js';
import {listsSchema, type Lists} from '../../plans/common/lists.js';
import {describeIssues, type Problem} from '../../settings/common/problem.js';

/** A checked lists file. */
export type ListsDocument = {
	/** The version at which the lists were read, if the file contains it. */
	readonly version: number | undefined;
	readonly lists: Lists;
};

const versionedListsSchema = z.strictObject({version: z.int().min(0), lists: listsSchema});

function isVersioned(document: unknown): boolean {
	return typeof document === 'object' && document !== null && 'lists' in document;
}

function checkAgainstSchema<T>(schema: z.ZodType<T>, document: unknown): Result<T, readonly Problem[]> {
	const parsed = schema.safeParse(document);
	return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error.issues, document, z.toJSONSchema(schema, {io: 'input'})));
}

/** Checks consistency between entries, such as that the plan of a grant exists. */
function checkCrossReferences(document: ListsDocument): Result<ListsDocument, readonly Problem[]> {
	const path = document.version === undefined ? '$' : '$.lists';
	return checkLists(document.lists)
		.map(() => document)
		.mapErr(failure => [{path, message: `${failure.message}; allowed: each plan, key and grant once, and grants of listed plans`}]);
}

/** Validates a parsed lists file: `{"plans", "grants"}`, or `{"version", "lists"}` as `plans get --json` prints it. */
export function checkListsDocument(document: unknown): Result<ListsDocument, readonly Problem[]> {
	const checked: Result<ListsDocument, readonly Problem[]> = isVersioned(document)
		? checkAgainstSchema(versionedListsSchema, document)
		: checkAgainstSchema(listsSchema, document).map(lists => ({version: undefined, lists}));
	return checked.andThen(checkCrossReferences);
}
