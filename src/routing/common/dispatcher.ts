/**
 * Chooses backend servers. The candidates are a few random servers of the own region, a few of other regions, and the server that
 * has the prompt prefix cached; the one with the lowest expected cost is chosen. The random choice of candidates keeps many
 * daemons with the same outdated load reports from all choosing the same server.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {LoadEstimate} from './load-estimate.js';
import type {PrefixIndex} from './prefix-index.js';
import type {BackendServer, Dispatch, RouteRequest} from './router.js';
import {costOf, type CostWeights} from './server-cost.js';
import type {ServerTable} from './server-table.js';

/** Dependencies of a dispatcher. */
export type DispatcherDependencies = {
	readonly table: ServerTable;
	readonly loads: LoadEstimate;
	readonly prefixes: PrefixIndex;
	readonly weights: CostWeights;
	readonly ownRegion: string;
	readonly random: Random;
	/** Whether another daemon has reserved the server. */
	readonly isReservedElsewhere: (serverId: string) => boolean;
};

/** Chooses backend servers for the requests of one daemon. */
export type Dispatcher = {
	readonly dispatch: (request: RouteRequest, now: number) => Result<Dispatch, Failure>;
	/** Ids of the servers that this daemon has reserved for one request each. */
	readonly listReserved: () => readonly string[];
	/** Expected bytes of all dispatches to other regions so far. */
	readonly crossRegionBytes: () => number;
};

/** Relative random variation of costs, so that equal servers are not always chosen in the same order. */
const COST_JITTER = 0.1;
/** Relative random variation of the difference to the usual time of work, so that daemons that see the same server as fast do not all choose it. */
const WORK_TIME_JITTER = 0.3;
/** Number of random candidates of the own region, and of the other regions. */
const NEAR_CANDIDATES = 3;
const FAR_CANDIDATES = 2;
const RETRY_AFTER_MS = 1000;
const INITIAL_MEAN_REQUEST_MS = 1000;
/** Weight of the newest request in the exponential moving average of request times. */
const MEAN_SMOOTHING_FACTOR = 0.05;

/** Picks up to `count` different candidates at random. */
function pickRandom<T>(candidates: readonly T[], count: number, random: Random): readonly T[] {
	if (count === 0 || candidates.length === 0) {
		return [];
	}

	const index = Math.floor(random() * candidates.length);
	return [candidates[index]!, ...pickRandom(candidates.toSpliced(index, 1), count - 1, random)];
}

/** Creates a dispatcher. */
export function createDispatcher(dependencies: DispatcherDependencies): Dispatcher {
	const {
		table, loads, prefixes, weights, ownRegion, random, isReservedElsewhere,
	} = dependencies;
	const reservedIds = new Set<string>();
	const meanRequestMsByPool = new Map<string, number>();
	let crossRegionBytes = 0;

	function listEligible(request: RouteRequest, now: number): readonly BackendServer[] {
		return table.list(request.pool)
			.filter(server => table.isUsable(server.id, now))
			.filter(server => !request.excluded.includes(server.id))
			.filter(server => request.allowed === undefined || request.allowed.includes(server.id))
			.filter(server => !reservedIds.has(server.id) && !isReservedElsewhere(server.id));
	}

	function listCandidates(request: RouteRequest, eligible: readonly BackendServer[], now: number): readonly BackendServer[] {
		if (request.alone) {
			// The server with the fewest requests will be idle first.
			return eligible.toSorted((a, b) => loads.read(a.id, now).requests - loads.read(b.id, now).requests).slice(0, 1);
		}

		const near = eligible.filter(server => server.region === ownRegion);
		const far = eligible.filter(server => server.region !== ownRegion);
		const holderId = request.prefixKey === undefined ? undefined : prefixes.find(request.prefixKey);
		const holder = eligible.filter(server => server.id === holderId);
		return [...holder, ...pickRandom(near, NEAR_CANDIDATES, random), ...pickRandom(far, near.length === 0 ? NEAR_CANDIDATES : FAR_CANDIDATES, random)];
	}

	function estimateWorkTime(server: BackendServer, now: number): number {
		const workTime = loads.workTime(server.id, now);
		return workTime === 1 ? 1 : 1 + jitter(workTime - 1, WORK_TIME_JITTER, random);
	}

	function estimateCost(server: BackendServer, request: RouteRequest, now: number): number {
		const candidate = {
			load: loads.read(server.id, now),
			holdsPrefix: request.prefixKey !== undefined && prefixes.find(request.prefixKey) === server.id,
			ownRegion: server.region === ownRegion,
			meanRequestMs: meanRequestMsByPool.get(server.pool) ?? INITIAL_MEAN_REQUEST_MS,
			workTime: estimateWorkTime(server, now),
		};
		return jitter(costOf(candidate, request, weights), COST_JITTER, random);
	}

	function recordEnd(server: BackendServer, outcome: Parameters<Dispatch['end']>[1], startedAt: number, now: number): void {
		if (outcome === 'refused') {
			table.recordRefusal(server.id, now);
		}

		if (outcome === 'died') {
			table.recordFailure(server.id, now);
			prefixes.forgetServer(server.id);
		}

		if (outcome === 'done') {
			const mean = meanRequestMsByPool.get(server.pool) ?? (now - startedAt);
			meanRequestMsByPool.set(server.pool, mean + (MEAN_SMOOTHING_FACTOR * (now - startedAt - mean)));
			table.recordSuccess(server.id);
		}
	}

	function beginDispatch(server: BackendServer, request: RouteRequest, startedAt: number): Dispatch {
		const endLoad = loads.beginDispatch(server.id, startedAt);
		let isOpen = true;
		if (request.alone) {
			reservedIds.add(server.id);
		}

		if (request.prefixKey !== undefined) {
			prefixes.remember(request.prefixKey, server.id);
		}

		crossRegionBytes += server.region === ownRegion ? 0 : request.expectedBytes;
		return {
			server,
			end(now, outcome) {
				if (!isOpen) {
					return;
				}

				isOpen = false;
				endLoad(now);
				if (request.alone) {
					reservedIds.delete(server.id);
				}

				recordEnd(server, outcome, startedAt, now);
			},
		};
	}

	return {
		dispatch(request, now) {
			const rated = listCandidates(request, listEligible(request, now), now).map(server => ({server, cost: estimateCost(server, request, now)}));
			const best = rated.toSorted((a, b) => a.cost - b.cost).at(0);
			return best === undefined
				? err(createNotRun('unavailable', {step: 'choose backend server', peer: request.pool}, 'no backend server is available for the request', RETRY_AFTER_MS))
				: ok(beginDispatch(best.server, request, now));
		},
		listReserved: () => [...reservedIds],
		crossRegionBytes: () => crossRegionBytes,
	};
}
