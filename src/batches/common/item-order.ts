/** The items of one batch in the order in which they start, and what the other owners are told of those that wait. */
import type {Batch, BatchItem} from './batch.js';
import {listHopeless, orderStarts, type OpenItem} from './run-order.js';
import type {Demand, Turn} from './start-turns.js';

/** The order of one batch. */
export type ItemOrder = {
	/** Ids of the items that wait, in the order in which they start. */
	readonly listStarts: (now: number) => readonly string[];
	/** What waits; nothing once the batch is lost. */
	readonly describeDemand: (now: number, isLost: boolean) => Demand;
	/** The turn of an item that has `remainingMs` of work left, by the groups that were given up when it was last asked for the order. */
	readonly turnOf: (item: BatchItem, remainingMs: number, now: number) => Turn;
};

/** Creates the order of a batch that is due at a monotonic time. `listOpen` gives the items that have not finished. */
export function createItemOrder(batch: Batch, dueAt: number, listOpen: (now: number) => readonly OpenItem[]): ItemOrder {
	let hopeless: ReadonlySet<string> = new Set();

	function look(now: number): readonly OpenItem[] {
		const open = listOpen(now);
		hopeless = listHopeless(open, dueAt - now);
		return open;
	}

	return {
		listStarts: now => orderStarts(look(now), hopeless),
		describeDemand(now, isLost) {
			const waiting = isLost ? [] : look(now).filter(item => item.isWaiting);
			const hopeful = waiting.filter(item => !hopeless.has(item.group));
			return {
				batchId: batch.id,
				model: batch.model,
				oldestVersion: batch.oldestVersion,
				slacksMs: hopeful.map(item => Math.round(dueAt - now - item.remainingMs)),
				hopeless: waiting.length - hopeful.length,
			};
		},
		turnOf: (item, remainingMs, now) => ({batchId: batch.id, slackMs: dueAt - now - remainingMs, isHopeless: hopeless.has(item.group)}),
	};
}
