/** Chooses the engine for the next run of an item. */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Route} from '../../gateway/common/deployment.js';
import type {ServerEntry, ServerView} from '../../gateway/common/server-view.js';
import type {Dispatch} from '../../routing/common/router.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import type {Batch, BatchItem} from '../common/batch.js';
import type {RefusalMemory} from '../common/refusals.js';
import {isSlow, listFast, type ServerPace} from '../common/server-pace.js';
import type {StartTurns, Turn} from '../common/start-turns.js';

/** What the choice works with. */
export type EngineChoiceParts = {
	readonly dispatcher: Dispatcher;
	readonly loads: LoadEstimate;
	readonly view: ServerView;
	readonly pace: ServerPace;
	readonly refusals: RefusalMemory;
	readonly turns: StartTurns;
};

/** The choice for one item. */
export type EngineChoice = {
	/** Engines that may take the item and have room. */
	readonly list: (now: number) => readonly string[];
	/** Chooses among them, those first that are wanted. `events` is how far the item has come. */
	readonly choose: (wanted: readonly string[], events: number, now: number) => Result<Dispatch, Failure>;
	/** Engines of the list that are much faster than the item's own. */
	readonly listFaster: (own: string, now: number) => readonly string[];
	/** Passes an engine over for a while. */
	readonly avoid: (serverId: string, now: number) => void;
};

/** Expected bytes of a generation and its prompt, in the choice of an engine. */
const EXPECTED_BYTES = 4096;
/** Tokens of a shared prompt, in the choice of an engine. */
const SHARED_TOKENS = 1000;
/** Output tokens from which an item is long: a slower engine then costs seconds. */
const LONG_TOKENS = 1500;
/** Events from which a run is worth moving to an engine that is only somewhat faster. */
export const LONG_RUN_EVENTS = 20;
/** A run moves to an engine that is this much faster. */
const MOVE_FACTOR = 1.25;
/** Time for which an item does not return to the engine that last broke it, in milliseconds. */
const AVOID_MS = 1500;

/** Creates the choice for an item. `route` is asked anew each time, as the configuration may change. */
export function createEngineChoice(batch: Batch, item: BatchItem, route: () => Route | undefined, parts: EngineChoiceParts & {readonly turnOf: (now: number) => Turn}): EngineChoice {
	const {
		dispatcher, loads, view, pace, refusals, turns, turnOf,
	} = parts;
	let avoided: {readonly serverId: string; readonly until: number} | undefined;

	function freePlaces(entry: ServerEntry, now: number): number {
		return Math.floor(Math.max(1, entry.slots) - loads.read(entry.id, now).likely);
	}

	function listFree(now: number): readonly ServerEntry[] {
		const pools = route()?.pools.map(share => share.pool) ?? [];
		return pools
			.flatMap(pool => view.list(pool))
			.filter(entry => view.table.usable(entry.id, now))
			.filter(entry => (view.versionOf(entry.id, batch.model) ?? 0) >= batch.oldestVersion)
			.filter(entry => !refusals.isRecent(entry.id, batch.model, now))
			.filter(entry => freePlaces(entry, now) >= 1)
			.filter(entry => !(avoided?.serverId === entry.id && now < avoided.until));
	}

	function allowedServers(now: number): readonly string[] {
		const free = listFree(now).map(entry => ({id: entry.id, places: freePlaces(entry, now)}));
		const fit = turns.choose(turnOf(now), free, (id, demand) => (view.versionOf(id, demand.model) ?? 0) >= demand.oldestVersion, now);
		const quick = fit.filter(id => !isSlow(pace, id, now));
		return quick.length > 0 ? quick : fit;
	}

	/** Long items go to the fastest engines with room: a slower one costs them more than a wait. */
	function preferFast(allowed: readonly string[], events: number, now: number): readonly string[] {
		const fast = listFast(pace, allowed, now);
		const isLong = (item.expectedTokens ?? 0) >= LONG_TOKENS || events >= LONG_RUN_EVENTS;
		return fast.length > 0 && isLong ? fast : allowed;
	}

	function isMuchFaster(other: string, own: string, now: number): boolean {
		const otherGap = pace.gapOf(other, now);
		const ownGap = pace.gapOf(own, now);
		return otherGap !== undefined && ownGap !== undefined && ownGap > MOVE_FACTOR * otherGap;
	}

	function choose(wanted: readonly string[], events: number, now: number): Result<Dispatch, Failure> {
		const current = route();
		const open = allowedServers(now);
		const kept = wanted.filter(id => open.includes(id));
		const allowed = kept.length > 0 ? kept : preferFast(open, events, now);
		if (current === undefined || allowed.length === 0) {
			return err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'no engine has room'));
		}

		const pools = [...new Set(allowed.flatMap(id => view.find(id)?.pool ?? []))];
		return pools.reduce<Result<Dispatch, Failure>>((chosen, pool) => chosen.orElse(() => dispatcher.dispatch({
			pool, prefixKey: item.group, prefixTokens: SHARED_TOKENS, expectedTokens: item.expectedTokens ?? 0, expectedBytes: EXPECTED_BYTES, excluded: [], allowed, alone: false,
		}, now)), err(createNotRun('unavailable', {step: 'choose engine', peer: batch.model}, 'no engine may take the item')));
	}

	return {
		list: allowedServers,
		choose,
		listFaster: (own, now) => listFast(pace, allowedServers(now), now).filter(id => id !== own && isMuchFaster(id, own, now)),
		avoid(serverId, now) {
			avoided = {serverId, until: now + AVOID_MS};
		},
	};
}
