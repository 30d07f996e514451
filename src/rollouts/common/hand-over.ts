/**
 * Decides what a pull is answered with, from the ledger and from the samples at hand. The staleness bound is checked here
 * against the version that the pull itself names, on the oldest version of each sample.
 */
import {isClosed, type StepEntry} from './ledger.js';
import type {StepSchedule} from './step-schedule.js';

/** What to do for a pull. */
export type HandOver
	/** Hand over the batch after the cursor; `isNew` when it has yet to be fixed in the ledger. */
	= | {readonly kind: 'batch'; readonly groups: readonly number[]; readonly isNew: boolean}
		/** Nothing is ready yet. */
		| {readonly kind: 'wait'}
		/** The trainer has every batch of the step. */
		| {readonly kind: 'finished'}
		/** The cursor lies beyond the batches that were fixed. */
		| {readonly kind: 'unknownCursor'}
		/** So many groups can't be generated that the step can't end. */
		| {readonly kind: 'hopeless'};

/** A pull as the decision sees it. */
export type PullPosition = {
	readonly cursor: number;
	readonly weightVersion: number;
	readonly maximumBatch: number;
};

/** Takes groups until the batch is full; at least one. */
function fill(groups: readonly number[], samplesPerGroup: number, maximumBatch: number): readonly number[] {
	return groups.slice(0, Math.max(1, Math.floor(maximumBatch / samplesPerGroup)));
}

/** Decides about a pull. Samples found too old are sent back to generation. */
export function decideHandOver(entry: StepEntry, schedule: StepSchedule, position: PullPosition, now: number): HandOver {
	const {cursor, weightVersion} = position;
	if (cursor > entry.batches.length) {
		return {kind: 'unknownCursor'};
	}

	schedule.setFixed(entry.batches.flat(), entry.batches.slice(cursor).flat());
	const fixed = entry.batches[cursor];
	if (fixed !== undefined) {
		// Every group is refreshed, not only up to the first old one, so that all are generated anew at once.
		const isReady = fixed.map(group => schedule.refresh(group, weightVersion, now)).every(Boolean);
		return isReady ? {kind: 'batch', groups: fixed, isNew: false} : {kind: 'wait'};
	}

	if (isClosed(entry)) {
		return {kind: 'finished'};
	}

	const fresh = schedule.wholeGroups().filter(group => schedule.refresh(group, weightVersion, now));
	if (fresh.length > 0) {
		return {kind: 'batch', groups: fill(fresh, entry.samplesPerGroup, position.maximumBatch), isNew: true};
	}

	return schedule.isHopeless() ? {kind: 'hopeless'} : {kind: 'wait'};
}
