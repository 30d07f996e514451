/**
 * Decides which owner's items start first when the engines are full. Owners report to each other how much time each waiting
 * item has left before it must start. The item with the least time goes first, so that a long item of a new batch does not
 * wait behind short ones that are due earlier. Items of groups that can no longer finish in time get the remaining slots.
 * Slots are free for all owners while no recent report claims them, and when they are not taken within `MAXIMUM_DEFERRAL_MS`.
 */

import {createServiceKey} from '../../kernel/common/contribution.js';

/** The priority with which a waiting item starts. */
export type StartPriority = {
	readonly batchId: string;
	/** Time until the item must start to be in time, in milliseconds; negative when it is too late. */
	readonly slackMs: number;
	/** Its group can no longer finish in time. */
	readonly isTooLate: boolean;
};

/** Items of one batch that wait for a slot. */
export type Demand = {
	readonly batchId: string;
	readonly model: string;
	readonly oldestVersion: number;
	/** Time in milliseconds until each item must start, for items whose group can still finish in time. */
	readonly slacksMs: readonly number[];
	/** Number of waiting items of groups that can no longer finish in time. */
	readonly hopeless: number;
};

/** An engine with free slots that a batch may take. */
export type FreeEngine = {
	readonly id: string;
	readonly slots: number;
};

/** Start priorities across owners, as one daemon knows them. */
export type StartPriorities = {
	/** Applies the report of an owner's waiting items, which replaces its earlier report. */
	readonly applyReport: (owner: string, demands: readonly Demand[], now: number) => void;
	/** Number of items by model that must start within `withinMs`, or are too late already, in an owner's last report; none if that is too old. */
	readonly countWaiting: (owner: string, withinMs: number, now: number) => ReadonlyMap<string, number>;
	/** Lists the engines that an item may take now. `fits` tells whether an engine can serve a demand. */
	readonly choose: (priority: StartPriority, engines: readonly FreeEngine[], fits: (engineId: string, demand: Demand) => boolean, now: number) => readonly string[];
};

/** Service key of the daemon's start priorities. */
export const startPrioritiesKey = createServiceKey<StartPriorities>('start-priorities');

/** Reports older than this are ignored; owners with waiting items repeat theirs sooner. */
const REPORT_TTL_MS = 1200;
/** Time for which a batch defers to other owners that do not take the slots; longer than a call between regions and a scheduling delay of a small VM. */
const MAXIMUM_DEFERRAL_MS = 300;

/** Records of deferring batches are deleted after this time, because a batch may end while it defers. */
const DEFERRAL_RECORD_TTL_MS = 60_000;

type OwnerReport = {
	readonly demands: readonly Demand[];
	readonly at: number;
};

/** Counts the items of a demand that go before an item with the given priority. `elapsedMs` is the age of the report. */
function countAhead(demand: Demand, priority: StartPriority, elapsedMs: number): number {
	if (demand.batchId === priority.batchId) {
		return 0;
	}

	return priority.isTooLate
		? demand.slacksMs.length + (demand.batchId < priority.batchId ? demand.hopeless : 0)
		: demand.slacksMs.filter(slackMs => slackMs - elapsedMs < priority.slackMs).length;
}

/** Creates start priorities without reports. */
export function createStartPriorities(): StartPriorities {
	const reportByOwner = new Map<string, OwnerReport>();
	/** Time since which each batch defers to other owners; no entry while it need not defer or no contested slot is free. */
	const deferringSince = new Map<string, number>();

	function listAhead(priority: StartPriority, now: number): ReadonlyArray<{readonly demand: Demand; readonly count: number}> {
		return [...reportByOwner.values()]
			.filter(report => now - report.at < REPORT_TTL_MS)
			.flatMap(report => report.demands.map(demand => ({demand, count: countAhead(demand, priority, now - report.at)})))
			.filter(({count}) => count > 0);
	}

	return {
		applyReport(owner, demands, now) {
			reportByOwner.set(owner, {demands, at: now});
			[...reportByOwner].filter(([, report]) => now - report.at > REPORT_TTL_MS).forEach(([name]) => {
				reportByOwner.delete(name);
			});
		},
		countWaiting(owner, withinMs, now) {
			const report = reportByOwner.get(owner);
			const counts = new Map<string, number>();
			(report !== undefined && now - report.at < REPORT_TTL_MS ? report.demands : []).forEach(({model, slacksMs, hopeless}) => {
				counts.set(model, (counts.get(model) ?? 0) + slacksMs.filter(slackMs => slackMs < withinMs).length + hopeless);
			});
			return counts;
		},
		choose(priority, engines, fits, now) {
			const ahead = listAhead(priority, now);
			const contested = engines.filter(engine => ahead.some(({demand}) => fits(engine.id, demand)));
			const freeSlots = contested.reduce((sum, engine) => sum + engine.slots, 0);
			const itemsAhead = ahead.reduce((sum, {count}) => sum + count, 0);
			[...deferringSince].filter(([, at]) => now - at > DEFERRAL_RECORD_TTL_MS).forEach(([batchId]) => {
				deferringSince.delete(batchId);
			});
			if (freeSlots === 0 || freeSlots > itemsAhead) {
				deferringSince.delete(priority.batchId);
				return engines.map(engine => engine.id);
			}

			const since = deferringSince.get(priority.batchId) ?? now;
			deferringSince.set(priority.batchId, since);
			const isDeferralOver = now - since > MAXIMUM_DEFERRAL_MS;
			return engines.filter(engine => isDeferralOver || !contested.includes(engine)).map(engine => engine.id);
		},
	};
}
