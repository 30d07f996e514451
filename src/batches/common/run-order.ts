/** The order in which the items of a batch start, and when results are worth a write. */
import type {BatchItem} from './batch.js';

/**
 * Orders items by expected length, longest first, so that a late start of a long one does not hold the step up. Items of
 * equal length stay in the order of the batch, in which the trainer puts the groups it waits for first.
 */
export function orderItems(items: readonly BatchItem[]): readonly BatchItem[] {
	return items.toSorted((a, b) => (b.expectedTokens ?? 0) - (a.expectedTokens ?? 0));
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
