/** Computes the expected cost, in milliseconds, of sending a request to a backend server. */
import type {EstimatedLoad} from './load-estimate.js';
import type {RouteRequest} from './router.js';

/** One server as a candidate for one request. */
export type ServerCandidate = {
	readonly load: EstimatedLoad;
	readonly holdsPrefix: boolean;
	readonly ownRegion: boolean;
	/** Mean time that the pool's servers take for a request, in milliseconds. */
	readonly meanRequestMs: number;
	/** Time that work takes on the server's machine now, in multiples of the usual time. */
	readonly workTime: number;
};

/** Weights of the components of the cost. */
export type CostWeights = {
	/** Time to prefill one prompt token that is not cached, in milliseconds. */
	readonly prefillMsPerToken: number;
	/** Round-trip time between regions, in milliseconds. */
	readonly crossRegionMs: number;
	/** Price of sending a kilobyte between regions, expressed as the milliseconds of delay that cost as much. */
	readonly crossRegionMsPerKilobyte: number;
};

/** The weights of a running daemon. */
export const defaultCostWeights: CostWeights = {
	prefillMsPerToken: 0.5,
	crossRegionMs: 25,
	crossRegionMsPerKilobyte: 3,
};

/** Share of a request's time that is added when all slots are in use; it grows with the share of slots in use, because engines slow down as their batches grow. */
const BATCH_SLOWDOWN_SHARE = 0.5;

function queueCost(candidate: ServerCandidate): number {
	const {load, meanRequestMs} = candidate;
	const waiting = Math.max(0, load.likelyRequests + 1 - load.slots) / load.slots;
	const slowdown = BATCH_SLOWDOWN_SHARE * Math.min(1, load.likelyRequests / load.slots);
	return meanRequestMs * (waiting + slowdown);
}

function prefillCost(candidate: ServerCandidate, request: RouteRequest, weights: CostWeights): number {
	return candidate.holdsPrefix ? 0 : request.prefixTokens * weights.prefillMsPerToken;
}

function regionCost(candidate: ServerCandidate, request: RouteRequest, weights: CostWeights): number {
	return candidate.ownRegion ? 0 : weights.crossRegionMs + (weights.crossRegionMsPerKilobyte * request.expectedBytes / 1024);
}

/** Returns the expected cost in milliseconds, beyond the time that the request takes on an idle server of the own region at the usual time; negative for a server that is faster than usual. */
export function costOf(candidate: ServerCandidate, request: RouteRequest, weights: CostWeights): number {
	const {meanRequestMs, workTime} = candidate;
	const atUsualTime = queueCost(candidate) + prefillCost(candidate, request, weights);
	return (atUsualTime * workTime) + (meanRequestMs * (workTime - 1)) + regionCost(candidate, request, weights);
}
