/** Chooses the engine for the next run of an item. */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Route} from '../../gateway/common/deployment.js';
import type {ServerEntry, ServerView} from '../../gateway/common/server-view.js';
import type {ServerPermits} from '../../limits/common/server-permits.js';
import type {Dispatch} from '../../routing/common/router.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import type {Batch, BatchItem} from '../common/batch.js';
import type {RecentRefusals} from '../common/recent-refusals.js';
import {isSlow, listFast, type EventIntervals} from '../common/event-intervals.js';
import type {StartPriorities, StartPriority} from '../common/start-priorities.js';

/** Dependencies of the choice. */
export type EngineChoiceDependencies = {
	readonly dispatcher: Dispatcher;
	readonly loads: LoadEstimate;
	readonly view: ServerView;
	readonly eventIntervals: EventIntervals;
	readonly refusals: RecentRefusals;
	readonly permits: ServerPermits;
	readonly startPriorities: StartPriorities;
};

/** The choice for one item. */
export type EngineChoice = {
	/** Lists the engines that may take the item now and have a free slot. */
	readonly list: (now: number) => readonly string[];
	/** Whether an engine has a free slot at which the item could begin anew. */
	readonly hasAnyFree: (now: number) => boolean;
	/** Chooses among these engines, preferably one of `wanted`. `events` is the number of events that the item has. */
	readonly choose: (wanted: readonly string[], events: number, now: number) => Result<Dispatch, Failure>;
	/** Lists the available engines that are much faster than the engine `own`, which runs the item. */
	readonly listFaster: (own: string, now: number) => readonly string[];
	/** Excludes an engine for `AVOID_MS`; replaces the one excluded before. */
	readonly avoid: (serverId: string, now: number) => void;
};

/** Expected bytes of a generation and its prompt, as input to the routing. */
const EXPECTED_BYTES = 4096;
/** Tokens of the prompt that the items of a group share, as input to the routing. */
const SHARED_PROMPT_TOKENS = 1000;
/** Expected output tokens from which an item is long, so that a slower engine costs seconds. */
const LONG_ITEM_TOKENS = 1500;
/** Events from which a run moves even when its engine is not slow but another one is faster by `MOVE_INTERVAL_FACTOR`. */
export const LONG_RUN_EVENTS = 20;
/** A run moves when its engine's interval between events exceeds the other engine's by this factor. */
const MOVE_INTERVAL_FACTOR = 1.25;
/** Time for which an item avoids the engine that its last run failed on or left. */
const AVOID_MS = 1500;

/** Creates the choice for an item. `route` is called each time, because the configuration may change. */
export function createEngineChoice(
	batch: Batch,
	item: BatchItem,
	route: () => Route | undefined,
	dependencies: EngineChoiceDependencies & {
		readonly priorityOf: (now: number) => StartPriority;
		/** Whether the item's text can go on at an engine. */
		readonly canContinueAt: (engine: ServerEntry) => boolean;
	},
): EngineChoice {
	const {
		dispatcher, loads, view, eventIntervals, refusals, permits, startPriorities, priorityOf, canContinueAt,
	} = dependencies;
	let avoided: {readonly serverId: string; readonly until: number} | undefined;

	function countFreeSlots(entry: ServerEntry, now: number): number {
		return Math.floor(Math.max(1, entry.slots) - loads.read(entry.id, now).likelyRequests);
	}

	/** Lists the engines with a free slot, also those at which the item's text can't go on. */
	function listFree(now: number): readonly ServerEntry[] {
		const pools = route()?.pools.map(share => share.pool) ?? [];
		return pools
			.flatMap(pool => view.list(pool))
			.filter(entry => view.table.isUsable(entry.id, now))
			.filter(entry => (view.versionOf(entry.id, batch.model) ?? 0) >= batch.oldestVersion)
			.filter(entry => !refusals.isRecent(entry.id, batch.model, now))
			.filter(entry => countFreeSlots(entry, now) >= 1)
			.filter(entry => permits.waitMs(entry.id, 'background', now) <= 0)
			.filter(entry => !(avoided?.serverId === entry.id && now < avoided.until));
	}

	function allowedServers(now: number): readonly string[] {
		const free = listFree(now).filter(canContinueAt).map(entry => ({id: entry.id, slots: countFreeSlots(entry, now)}));
		const permitted = startPriorities.choose(priorityOf(now), free, (id, demand) => (view.versionOf(id, demand.model) ?? 0) >= demand.oldestVersion, now);
		const notSlow = permitted.filter(id => !isSlow(eventIntervals, id, now, loads.workTime));
		return notSlow.length > 0 ? notSlow : permitted;
	}

	/** Restricts long items to the fastest engines with a free slot, because a slower engine costs them more time than waiting. */
	function preferFast(allowed: readonly string[], events: number, now: number): readonly string[] {
		const fast = listFast(eventIntervals, allowed, now, loads.workTime);
		const isLong = (item.expectedTokens ?? 0) >= LONG_ITEM_TOKENS || events >= LONG_RUN_EVENTS;
		return fast.length > 0 && isLong ? fast : allowed;
	}

	function isMuchFaster(other: string, own: string, now: number): boolean {
		const otherIntervalMs = eventIntervals.intervalOf(other, now);
		const ownIntervalMs = eventIntervals.intervalOf(own, now);
		return otherIntervalMs !== undefined && ownIntervalMs !== undefined && ownIntervalMs > MOVE_INTERVAL_FACTOR * otherIntervalMs;
	}

	function choose(wanted: readonly string[], events: number, now: number): Result<Dispatch, Failure> {
		const current = route();
		const open = allowedServers(now);
		const kept = wanted.filter(id => open.includes(id));
		const allowed = kept.length > 0 ? kept : preferFast(open, events, now);
		if (current === undefined || allowed.length === 0) {
			return err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'no usable engine has a free slot'));
		}

		const pools = [...new Set(allowed.flatMap(id => view.find(id)?.pool ?? []))];
		return pools.reduce<Result<Dispatch, Failure>>((chosen, pool) => chosen.orElse(() => dispatcher.dispatch({
			pool, prefixKey: item.group, prefixTokens: SHARED_PROMPT_TOKENS, expectedTokens: item.expectedTokens ?? 0, expectedBytes: EXPECTED_BYTES, excluded: [], allowed, alone: false,
		}, now)), err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'routing accepted none of the engines with a free slot')));
	}

	return {
		list: allowedServers,
		hasAnyFree: now => listFree(now).length > 0,
		choose,
		listFaster: (own, now) => listFast(eventIntervals, allowedServers(now), now, loads.workTime).filter(id => id !== own && isMuchFaster(id, own, now)),
		avoid(serverId, now) {
			avoided = {serverId, until: now + AVOID_MS};
		},
	};
}
