/** Sorts contributions so that each one follows those that it requires. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Contribution} from './contribution.js';

type StartOrdering = {
	readonly ordered: readonly Contribution[];
	readonly remaining: readonly Contribution[];
};

function appendReady(ordering: StartOrdering): StartOrdering {
	const started = new Set(ordering.ordered.map(contribution => contribution.id));
	const ready = ordering.remaining.filter(contribution => contribution.requires.every(id => started.has(id)));
	return {
		ordered: [...ordering.ordered, ...ready],
		remaining: ordering.remaining.filter(contribution => !ready.includes(contribution)),
	};
}

/** Returns the start order, or a failure that names the contributions whose requirements cannot be met. */
export function orderContributions(contributions: readonly Contribution[]): Result<readonly Contribution[], Failure> {
	const last = contributions.reduce<StartOrdering>(ordering => appendReady(ordering), {ordered: [], remaining: contributions});
	if (last.remaining.length > 0) {
		const names = last.remaining.map(contribution => `${contribution.id} (requires ${contribution.requires.join(', ')})`);
		return err(createNotRun('invalid', {step: 'order contributions', peer: 'self'}, `missing or circular requirements: ${names.join('; ')}`));
	}

	return ok(last.ordered);
}
