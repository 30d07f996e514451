/**
 * Decides the answer to a trainer's pull from the ledger and the samples generated so far. The staleness bound is checked
 * here: the oldest version of each sample is compared with the version that the pull states.
 */
import {isClosed, type StepEntry} from './ledger.js';
import type {StepSchedule} from './step-schedule.js';

/** How to answer a pull. */
export type PullDecision
	/** Deliver the batch after the cursor; with `isNew`, its groups must first be assigned to it in the ledger. */
	= | {readonly kind: 'batch'; readonly groups: readonly number[]; readonly isNew: boolean}
		/** No batch is ready yet. */
		| {readonly kind: 'wait'}
		/** The trainer has received every batch of the step. */
		| {readonly kind: 'finished'}
		/** The cursor is greater than the number of batches in the ledger. */
		| {readonly kind: 'unknownCursor'};

/** The position and limits of a pull. */
export type PullPosition = {
	readonly cursor: number;
	readonly weightVersion: number;
	readonly maximumBatch: number;
};

/** Returns the first groups that fit into a batch, at least one. */
function takeBatch(groups: readonly number[], samplesPerGroup: number, maximumBatch: number): readonly number[] {
	return groups.slice(0, Math.max(1, Math.floor(maximumBatch / samplesPerGroup)));
}

/** Decides the answer to a pull. Samples that exceed the staleness bound are reset, to be generated again. */
export function decidePull(entry: StepEntry, schedule: StepSchedule, position: PullPosition, now: number): PullDecision {
	const {cursor, weightVersion} = position;
	if (cursor > entry.batches.length) {
		return {kind: 'unknownCursor'};
	}

	schedule.setAssignedGroups(entry.batches.flat(), entry.batches.slice(cursor).flat());
	const assigned = entry.batches[cursor];
	if (assigned !== undefined) {
		// Checks all groups without stopping at the first stale one, so that all stale samples are generated again at the same time.
		const isReady = assigned.map(group => schedule.resetStaleSamples(group, weightVersion, now)).every(Boolean);
		return isReady ? {kind: 'batch', groups: assigned, isNew: false} : {kind: 'wait'};
	}

	if (isClosed(entry)) {
		return {kind: 'finished'};
	}

	const freshGroups = schedule.completeGroups().filter(group => schedule.resetStaleSamples(group, weightVersion, now));
	if (freshGroups.length > 0) {
		return {kind: 'batch', groups: takeBatch(freshGroups, entry.samplesPerGroup, position.maximumBatch), isNew: true};
	}

	return {kind: 'wait'};
}
