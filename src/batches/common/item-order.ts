/** The order in which the items of one batch start, and the description of waiting items that is sent to other owners. */
import type {Batch, BatchItem} from './batch.js';
import {listTooLateGroups, orderStarts, type OpenItem} from './run-order.js';
import type {Demand, StartPriority} from './start-priorities.js';

/** The order of starts of one batch. */
export type ItemOrder = {
	/** Ids of the waiting items, in the order in which they start. */
	readonly listStarts: (now: number) => readonly string[];
	/** The waiting items; none once the batch is lost. */
	readonly describeDemand: (now: number, isLost: boolean) => Demand;
	/** The start priority of an item with `remainingMs` of work left. Which groups are too late was determined at the last call of one of the functions above. */
	readonly priorityOf: (item: BatchItem, remainingMs: number, now: number) => StartPriority;
};

/** Creates the order of a batch that is due at the monotonic time `dueAt`. `listOpen` returns the items that have not finished. */
export function createItemOrder(batch: Batch, dueAt: number, listOpen: (now: number) => readonly OpenItem[]): ItemOrder {
	let tooLateGroups: ReadonlySet<string> = new Set();

	function refreshOpen(now: number): readonly OpenItem[] {
		const open = listOpen(now);
		tooLateGroups = listTooLateGroups(open, dueAt - now);
		return open;
	}

	return {
		listStarts: now => orderStarts(refreshOpen(now), tooLateGroups),
		describeDemand(now, isLost) {
			const waiting = isLost ? [] : refreshOpen(now).filter(item => item.isWaiting);
			const inTime = waiting.filter(item => !tooLateGroups.has(item.group));
			return {
				batchId: batch.id,
				model: batch.model,
				oldestVersion: batch.oldestVersion,
				slacksMs: inTime.map(item => Math.round(dueAt - now - item.remainingMs)),
				hopeless: waiting.length - inTime.length,
			};
		},
		priorityOf: (item, remainingMs, now) => ({batchId: batch.id, slackMs: dueAt - now - remainingMs, isTooLate: tooLateGroups.has(item.group)}),
	};
}
