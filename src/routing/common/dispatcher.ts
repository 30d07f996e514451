/**
 * Chooses backend servers. A few random servers of the own region and of others, and the holder of the prompt prefix
 * compete by expected cost, so that many daemons with the same lagging reports do not all pick the same server.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {LoadEstimate} from './load-estimate.js';
import type {PrefixIndex} from './prefix-index.js';
import type {BackendServer, Dispatch, RouteRequest} from './router.js';
import {costOf, type CostWeights} from './server-cost.js';
import type {ServerTable} from './server-table.js';

/** What the choice rests on. */
export type DispatcherParts = {
	readonly table: ServerTable;
	readonly loads: LoadEstimate;
	readonly prefixes: PrefixIndex;
	readonly weights: CostWeights;
	readonly ownRegion: string;
	readonly random: Random;
	/** Servers that other daemons have reserved. */
	readonly reservedElsewhere: (serverId: string) => boolean;
};

/** The choice of backend servers on one daemon. */
export type Dispatcher = {
	readonly dispatch: (request: RouteRequest, now: number) => Result<Dispatch, Failure>;
	/** Servers that this daemon reserves for one request each. */
	readonly reserved: () => readonly string[];
	/** Expected bytes of all dispatches to other regions so far. */
	readonly crossRegionBytes: () => number;
};

/** Spread of costs, so that equal servers are not always chosen in the same order. */
const COST_JITTER = 0.1;
/** Random candidates of the own region, and of the others. */
const NEAR_CANDIDATES = 3;
const FAR_CANDIDATES = 2;
const RETRY_AFTER_MS = 1000;
const INITIAL_REQUEST_MS = 1000;
/** Weight of the newest request in the running mean. */
const MEAN_GAIN = 0.05;

/** Picks up to `count` different candidates at random. */
function pick<T>(candidates: readonly T[], count: number, random: Random): readonly T[] {
	if (count === 0 || candidates.length === 0) {
		return [];
	}

	const index = Math.floor(random() * candidates.length);
	return [candidates[index]!, ...pick(candidates.toSpliced(index, 1), count - 1, random)];
}

/** Creates a dispatcher. */
export function createDispatcher(parts: DispatcherParts): Dispatcher {
	const {
		table, loads, prefixes, weights, ownRegion, random, reservedElsewhere,
	} = parts;
	const reserved = new Set<string>();
	const meanRequestMs = new Map<string, number>();
	let crossRegionBytes = 0;

	function listEligible(request: RouteRequest, now: number): readonly BackendServer[] {
		return table.list(request.pool)
			.filter(server => table.usable(server.id, now))
			.filter(server => !request.excluded.includes(server.id))
			.filter(server => request.allowed === undefined || request.allowed.includes(server.id))
			.filter(server => !reserved.has(server.id) && !reservedElsewhere(server.id));
	}

	function listCandidates(request: RouteRequest, eligible: readonly BackendServer[], now: number): readonly BackendServer[] {
		if (request.alone) {
			// The server with the least to finish is empty soonest.
			return eligible.toSorted((a, b) => loads.read(a.id, now).requests - loads.read(b.id, now).requests).slice(0, 1);
		}

		const near = eligible.filter(server => server.region === ownRegion);
		const far = eligible.filter(server => server.region !== ownRegion);
		const holderId = request.prefixKey === undefined ? undefined : prefixes.find(request.prefixKey);
		const holder = eligible.filter(server => server.id === holderId);
		return [...holder, ...pick(near, NEAR_CANDIDATES, random), ...pick(far, near.length === 0 ? NEAR_CANDIDATES : FAR_CANDIDATES, random)];
	}

	function rate(server: BackendServer, request: RouteRequest, now: number): number {
		const prospect = {
			load: loads.read(server.id, now),
			holdsPrefix: request.prefixKey !== undefined && prefixes.find(request.prefixKey) === server.id,
			ownRegion: server.region === ownRegion,
			meanRequestMs: meanRequestMs.get(server.pool) ?? INITIAL_REQUEST_MS,
		};
		return jitter(costOf(prospect, request, weights), COST_JITTER, random);
	}

	function noteEnd(server: BackendServer, outcome: Parameters<Dispatch['end']>[1], startedAt: number, now: number): void {
		if (outcome === 'refused') {
			table.refused(server.id, now);
		}

		if (outcome === 'died') {
			table.died(server.id, now);
			prefixes.forgetServer(server.id);
		}

		if (outcome === 'done') {
			const mean = meanRequestMs.get(server.pool) ?? (now - startedAt);
			meanRequestMs.set(server.pool, mean + (MEAN_GAIN * (now - startedAt - mean)));
			table.succeeded(server.id);
		}
	}

	function begin(server: BackendServer, request: RouteRequest, startedAt: number): Dispatch {
		const endLoad = loads.begin(server.id, startedAt);
		let open = true;
		if (request.alone) {
			reserved.add(server.id);
		}

		if (request.prefixKey !== undefined) {
			prefixes.remember(request.prefixKey, server.id);
		}

		crossRegionBytes += server.region === ownRegion ? 0 : request.expectedBytes;
		return {
			server,
			end(now, outcome) {
				if (!open) {
					return;
				}

				open = false;
				endLoad(now);
				if (request.alone) {
					reserved.delete(server.id);
				}

				noteEnd(server, outcome, startedAt, now);
			},
		};
	}

	return {
		dispatch(request, now) {
			const rated = listCandidates(request, listEligible(request, now), now).map(server => ({server, cost: rate(server, request, now)}));
			const best = rated.toSorted((a, b) => a.cost - b.cost).at(0);
			return best === undefined
				? err(createNotRun('unavailable', {step: 'choose backend server', peer: request.pool}, 'no backend server may take the request now', RETRY_AFTER_MS))
				: ok(begin(best.server, request, now));
		},
		reserved: () => [...reserved],
		crossRegionBytes: () => crossRegionBytes,
	};
}
