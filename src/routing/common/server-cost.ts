/** The expected cost, in milliseconds, of sending a request to a backend server. */
import type {EstimatedLoad} from './load-estimate.js';
import type {RouteRequest} from './router.js';

/** What is known of one server for one request. */
export type ServerProspect = {
	readonly load: EstimatedLoad;
	readonly holdsPrefix: boolean;
	readonly ownRegion: boolean;
	/** Mean time that the pool's servers take for a request. */
	readonly meanRequestMs: number;
};

/** Weights of the parts of the cost. */
export type CostWeights = {
	/** Time to compute one prompt token that is not cached. */
	readonly prefillMsPerToken: number;
	/** Round trip between regions. */
	readonly crossRegionMs: number;
	/** Price of a kilobyte between regions, as the time that is worth paying for it. */
	readonly crossRegionMsPerKilobyte: number;
};

/** The weights of a running daemon. */
export const defaultCostWeights: CostWeights = {
	prefillMsPerToken: 0.5,
	crossRegionMs: 25,
	crossRegionMsPerKilobyte: 3,
};

/** Share of a request's time that each request already on a server adds, below saturation: engines slow down as batches grow. */
const SHARED_BATCH_SLOWDOWN = 0.5;

function queueCost(prospect: ServerProspect): number {
	const {load, meanRequestMs} = prospect;
	const waiting = Math.max(0, load.likely + 1 - load.slots) / load.slots;
	const slowdown = SHARED_BATCH_SLOWDOWN * Math.min(1, load.likely / load.slots);
	return meanRequestMs * (waiting + slowdown);
}

function prefillCost(prospect: ServerProspect, request: RouteRequest, weights: CostWeights): number {
	return prospect.holdsPrefix ? 0 : request.prefixTokens * weights.prefillMsPerToken;
}

function regionCost(prospect: ServerProspect, request: RouteRequest, weights: CostWeights): number {
	return prospect.ownRegion ? 0 : weights.crossRegionMs + (weights.crossRegionMsPerKilobyte * request.expectedBytes / 1024);
}

/** Returns the expected cost in milliseconds. */
export function costOf(prospect: ServerProspect, request: RouteRequest, weights: CostWeights): number {
	return queueCost(prospect) + prefillCost(prospect, request, weights) + regionCost(prospect, request, weights);
}
