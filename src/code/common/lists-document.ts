/** The file that operators edit: the lists alone, or with the version that they were read at. */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {checkLists} from '../../plans/common/check-lists.js';
import {listsSchema, type Lists} from '../../plans/common/lists.js';
import {describeIssues, type Problem} from '../../settings/common/problem.js';

/** A checked lists file. */
export type ListsDocument = {
	/** The version that the file was read at, when it says so. */
	readonly version: number | undefined;
	readonly lists: Lists;
};

const versioned = z.strictObject({version: z.int().min(0), lists: listsSchema});

function isVersioned(document: unknown): boolean {
	return typeof document === 'object' && document !== null && 'lists' in document;
}

function checkWith<T>(schema: z.ZodType<T>, document: unknown): Result<T, readonly Problem[]> {
	const parsed = schema.safeParse(document);
	return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error.issues, document, z.toJSONSchema(schema, {io: 'input'})));
}

/** Adds the checks between entries, such as a grant for a plan that is not listed. */
function checkEntries(document: ListsDocument): Result<ListsDocument, readonly Problem[]> {
	const path = document.version === undefined ? '$' : '$.lists';
	return checkLists(document.lists)
		.map(() => document)
		.mapErr(failure => [{path, message: `${failure.message}; allowed: each plan, key and grant once, and grants of listed plans`}]);
}

/** Checks the document of a lists file: `{"plans", "grants"}`, or `{"version", "lists"}` as `plans get --json` prints it. */
export function checkListsDocument(document: unknown): Result<ListsDocument, readonly Problem[]> {
	const checked: Result<ListsDocument, readonly Problem[]> = isVersioned(document)
		? checkWith(versioned, document)
		: checkWith(listsSchema, document).map(lists => ({version: undefined, lists}));
	return checked.andThen(checkEntries);
}
