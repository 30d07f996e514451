/** The order in which the items of a batch start, and the time at which finished results are written. */
import type {BatchItem} from './batch.js';

/** An item that has not finished, as far as the order of starts depends on it. */
export type OpenItem = {
	readonly id: string;
	readonly group: string;
	readonly isWaiting: boolean;
	/** Expected time until its text is complete in one slot, in milliseconds. */
	readonly remainingMs: number;
};

/** Time from the end of a text until its result is stored, which takes a scoring call and a write. */
const RESULT_STORING_MS = 800;

/** Lists the groups with an item that can no longer finish in time. */
export function listTooLateGroups(items: readonly OpenItem[], dueInMs: number): ReadonlySet<string> {
	return new Set(items.filter(item => item.remainingMs + RESULT_STORING_MS > dueInMs).map(item => item.group));
}

/**
 * Orders the starts of waiting items. The longest start first, so that a late start of a long item does not delay the step.
 * Items of groups that can no longer finish in time come after all others, the group with the least remaining work first.
 * Equal items keep the order of the batch, in which the trainer lists the groups it waits for first.
 */
export function orderStarts(items: readonly OpenItem[], tooLateGroups: ReadonlySet<string>): readonly string[] {
	const remainingMsByGroup = new Map<string, number>();
	items.forEach(item => {
		remainingMsByGroup.set(item.group, (remainingMsByGroup.get(item.group) ?? 0) + item.remainingMs);
	});

	function compare(a: OpenItem, b: OpenItem): number {
		const isTooLate = tooLateGroups.has(a.group);
		if (isTooLate !== tooLateGroups.has(b.group)) {
			return isTooLate ? 1 : -1;
		}

		const byGroup = isTooLate ? remainingMsByGroup.get(a.group)! - remainingMsByGroup.get(b.group)! : 0;
		return byGroup || b.remainingMs - a.remainingMs;
	}

	return items.filter(item => item.isWaiting).toSorted(compare).map(item => item.id);
}

/** What the decision to write finished results depends on. */
export type WriteTiming = {
	/** Milliseconds since the oldest unwritten result. */
	readonly waitedMs: number;
	/** The unwritten results complete a group. */
	readonly completesGroup: boolean;
	/** All items of the batch have finished. */
	readonly isLast: boolean;
};

/** Delay before results that complete a group are written, so that one write contains several results. */
export const GROUP_WRITE_DELAY_MS = 60;
/** Delay before results that complete no group are written; it bounds the work lost when the daemon crashes. */
const MAXIMUM_WRITE_DELAY_MS = 1000;

/** Decides whether to write finished results. */
export function isWriteDue(timing: WriteTiming): boolean {
	return timing.isLast || timing.waitedMs >= MAXIMUM_WRITE_DELAY_MS || (timing.completesGroup && timing.waitedMs >= GROUP_WRITE_DELAY_MS);
}

/** Counts the groups of which all items are finished. */
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
