/** Validates the two lists before they are accepted: the shape of each entry, and the consistency between entries. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {listsSchema, type Lists} from './lists.js';

/** Maximum number of problems in one failure message, so that it stays readable. */
const MAXIMUM_PROBLEMS = 10;

function findRepeated(values: readonly string[]): readonly string[] {
	return [...new Set(values.filter((value, index) => values.indexOf(value) !== index))];
}

function listProblems(lists: Lists): readonly string[] {
	const names = new Set(lists.plans.map(plan => plan.name));
	const keyHashes = lists.plans.flatMap(plan => plan.keyHashes);
	return [
		...findRepeated(lists.plans.map(plan => plan.name)).map(name => `plan "${name}" is listed more than once`),
		...findRepeated(keyHashes).map(hash => `key hash ${hash.slice(0, 8)}… is listed more than once`),
		...findRepeated(lists.grants.map(grant => `"${grant.plan}" on pool "${grant.pool}"`)).map(pair => `plan ${pair} is granted more than once`),
		...lists.grants.filter(grant => !names.has(grant.plan)).map(grant => `a grant names the unknown plan "${grant.plan}"`),
	];
}

/** Returns the lists with defaults filled in, or an `invalid` failure that names the problems. */
export function checkLists(input: unknown): Result<Lists, Failure> {
	const origin = {step: 'check lists', peer: 'self'};
	const parsed = listsSchema.safeParse(input);
	if (!parsed.success) {
		const shapes = parsed.error.issues.slice(0, MAXIMUM_PROBLEMS).map(issue => `${issue.path.join('.')}: ${issue.message}`);
		return err(createNotRun('invalid', origin, shapes.join('; ')));
	}

	const problems = listProblems(parsed.data).slice(0, MAXIMUM_PROBLEMS);
	return problems.length > 0 ? err(createNotRun('invalid', origin, problems.join('; '))) : ok(parsed.data);
}
