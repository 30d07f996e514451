/** The order in which the items of a batch start, and when results are worth a write. */
import type {BatchItem} from './batch.js';

/** An item that has not finished, as the order of starts sees it. */
export type OpenItem = {
	readonly id: string;
	readonly group: string;
	readonly isWaiting: boolean;
	/** Expected time until it is whole, at one place, in milliseconds. */
	readonly remainingMs: number;
};

/** Time from the end of a text until its result is stored: a scoring call and a write. */
const RESULT_MS = 800;

/** Groups with an item that can not be in time any more. */
export function listHopeless(items: readonly OpenItem[], dueInMs: number): ReadonlySet<string> {
	return new Set(items.filter(item => item.remainingMs + RESULT_MS > dueInMs).map(item => item.group));
}

/**
 * Orders the starts of waiting items: the longest go first, so that a late start of a long one does not hold the step up.
 * Items of groups that can not be in time come after all others, the group with the least work left first. Equal ones stay
 * in the order of the batch, in which the trainer puts the groups it waits for first.
 */
export function orderStarts(items: readonly OpenItem[], hopeless: ReadonlySet<string>): readonly string[] {
	const workOf = new Map<string, number>();
	items.forEach(item => {
		workOf.set(item.group, (workOf.get(item.group) ?? 0) + item.remainingMs);
	});

	function compare(a: OpenItem, b: OpenItem): number {
		const isGivenUp = hopeless.has(a.group);
		if (isGivenUp !== hopeless.has(b.group)) {
			return isGivenUp ? 1 : -1;
		}

		const byGroup = isGivenUp ? workOf.get(a.group)! - workOf.get(b.group)! : 0;
		return byGroup || b.remainingMs - a.remainingMs;
	}

	return items.filter(item => item.isWaiting).toSorted(compare).map(item => item.id);
}

/** Whether finished results should be written now. */
export type WriteTiming = {
	/** Milliseconds since the oldest unwritten result. */
	readonly waitedMs: number;
	/** A group is complete with the unwritten results. */
	readonly completesGroup: boolean;
	/** Nothing else of the batch is under way. */
	readonly isLast: boolean;
};

/** Results that complete a group wait this long for others, so that one write carries them. */
export const GROUP_GATHER_MS = 60;
/** Results that complete no group are written after this time, so that the loss of the daemon loses little work. */
const LONGEST_GATHER_MS = 1000;

/** Decides whether to write finished results. */
export function isWorthWriting(timing: WriteTiming): boolean {
	return timing.isLast || timing.waitedMs >= LONGEST_GATHER_MS || (timing.completesGroup && timing.waitedMs >= GROUP_GATHER_MS);
}

/** Groups that are complete with the given listed items. */
export function countCompleteGroups(items: readonly BatchItem[], isFinished: (itemId: string) => boolean): number {
	return [...groupItems(items).values()].filter(members => members.every(item => isFinished(item.id))).length;
}

function groupItems(items: readonly BatchItem[]): ReadonlyMap<string, readonly BatchItem[]> {
	const groups = new Map<string, BatchItem[]>();
	items.forEach(item => {
		const members = groups.get(item.group) ?? [];
		members.push(item);
		groups.set(item.group, members);
	});
	return groups;
}
