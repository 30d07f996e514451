/** Orders contributions so that each comes after those that it requires. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Contribution} from './contribution.js';

type Ordering = {
	readonly ordered: readonly Contribution[];
	readonly waiting: readonly Contribution[];
};

function takeReady(ordering: Ordering): Ordering {
	const started = new Set(ordering.ordered.map(contribution => contribution.id));
	const ready = ordering.waiting.filter(contribution => contribution.requires.every(id => started.has(id)));
	return {
		ordered: [...ordering.ordered, ...ready],
		waiting: ordering.waiting.filter(contribution => !ready.includes(contribution)),
	};
}

/** Returns the start order, or a failure that names the contributions whose requirements cannot be met. */
export function orderContributions(contributions: readonly Contribution[]): Result<readonly Contribution[], Failure> {
	const last = contributions.reduce<Ordering>(ordering => takeReady(ordering), {ordered: [], waiting: contributions});
	if (last.waiting.length > 0) {
		const names = last.waiting.map(contribution => `${contribution.id} (requires ${contribution.requires.join(', ')})`);
		return err(createNotRun('invalid', {step: 'order contributions', peer: 'self'}, `missing or circular requirements: ${names.join('; ')}`));
	}

	return ok(last.ordered);
}
