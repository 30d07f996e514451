/**
 * Decides when a slow attempt is hedged, that is, when its request is also sent to a second server. The delay follows the measured
 * response times of the pool, and a budget bounds the hedges of each pool to a share of its requests (docs/design/hedging.md).
 */
import {createServiceKey} from '../../kernel/common/contribution.js';
import {createResponseTimes, type ResponseTimes} from './response-times.js';

/** The operators' settings of hedging. */
export type HedgingSettings = {
	/** Share of the requests that may be hedged, from 0 (none) to 1. */
	readonly maximumShare: number;
	/** Percentile of the pool's response times after which an attempt is hedged; undefined when only the route's goal counts. */
	readonly percentile: number | undefined;
};

/** Key of the daemon's settings of hedging. */
export const hedgingSettingsKey = createServiceKey<HedgingSettings>('hedging settings');

/** An attempt that may be hedged. */
export type HedgeableAttempt = {
	readonly pool: string;
	/** Monotonic time at which the request arrived. */
	readonly arrivedAt: number;
	/** Monotonic time at which the attempt was sent. */
	readonly sentAt: number;
	/** Target response time of the route, in milliseconds; 0 when there is none. */
	readonly goalMs: number;
};

/** A server of a pool, as far as the decision needs it. */
export type HedgeServer = {
	readonly id: string;
	/** Whether new requests may be sent to it. */
	readonly isUsable: boolean;
	/** Whether it states a request limit. */
	readonly isLimited: boolean;
	/** Whether all its slots are probably in use. */
	readonly isFull: boolean;
	/** Whether it has failed many of its recent requests. */
	readonly isFailing: boolean;
};

/** Why a slow attempt is not hedged. */
export type WithheldReason
	/** Too few servers of the pool can take more work. */
	= | 'overloaded'
	/** No other server of the pool can take the request. */
		| 'noServer'
	/** The share of requests that may be hedged is used up. */
		| 'share';

/** The decision on an attempt that has become slow. */
export type HedgeDecision
	/** Sends the request to one of the servers; one hedge of the budget is spent. */
	= | {readonly kind: 'send'; readonly serverIds: readonly string[]}
		| {readonly kind: 'withhold'; readonly reason: WithheldReason};

/** What happened in one pool since the figures were last taken. */
export type HedgeFigures = {
	readonly pool: string;
	/** Requests that could have been hedged. */
	readonly requests: number;
	readonly sent: number;
	readonly won: number;
	/** Measured delay in milliseconds; undefined while there are too few samples. */
	readonly delayMs: number | undefined;
	readonly samples: number;
};

/** The decisions of one daemon. */
export type HedgePolicy = {
	/** Counts a request that may be hedged, when its first attempt is sent. It adds to the budget of the pool. */
	readonly recordRequest: (pool: string, now: number) => void;
	/** Records the time of an attempt that was answered. */
	readonly recordAnswer: (pool: string, tookMs: number, now: number) => void;
	/** Records an attempt that ended without an answer after `tookMs`, for example because it was cancelled or timed out. */
	readonly recordUnanswered: (pool: string, tookMs: number, now: number) => void;
	/** Returns the monotonic time at which an attempt counts as slow; undefined when that is never the case. */
	readonly findDueTime: (attempt: HedgeableAttempt, now: number) => number | undefined;
	/** Decides on an attempt that has become slow. `tried` lists the servers that the request was already sent to. */
	readonly decide: (pool: string, servers: readonly HedgeServer[], tried: readonly string[], now: number) => HedgeDecision;
	/** Returns the budget of a hedge that was not sent after all. */
	readonly refund: (pool: string, now: number) => void;
	/** Records that the answer to a hedge was delivered to the caller. */
	readonly recordWin: (pool: string, now: number) => void;
	/** Returns the figures since the last call, and drops pools that have not been used for long. */
	readonly takeFigures: (now: number) => readonly HedgeFigures[];
};

/** Settings of a daemon that has no section on hedging: the share and the delay of builds before response times were measured. */
export const unmeasuredHedging: HedgingSettings = {maximumShare: 0.1, percentile: undefined};

/** Share of the route's target response time after which an attempt is slow, whatever the pool's response times are. */
const GOAL_SHARE = 0.6;
/** Minimum measured delay, in milliseconds: below it, the variation comes from the daemon and not from the servers. */
const MINIMUM_DELAY_MS = 5;
/** The measured delay is used from this many samples on, and only if this many of them are above it. */
const MINIMUM_SAMPLES = 20;
const MINIMUM_SAMPLES_ABOVE = 2;
/** Maximum number of saved hedges of a pool, which bounds a burst after a time without slow attempts. */
const MAXIMUM_SAVED_HEDGES = 10;
/** Minimum share of a pool's usable servers that must have room for more work. Below it the pool is overloaded, and hedges would slow down first attempts. */
const MINIMUM_ROOM_SHARE = 0.5;
/** Pools without requests are dropped after this time, in milliseconds. Names of pools change with the configuration. */
const UNUSED_POOL_TTL_MS = 300_000;

type PoolRecord = {
	readonly times: ResponseTimes;
	savedHedges: number;
	usedAt: number;
	requests: number;
	sent: number;
	won: number;
};

/** Whether a server can take a hedge. A server with a limit can't, as the hedge would use up a permit of a first attempt. */
function hasRoom(server: HedgeServer): boolean {
	return server.isUsable && !server.isLimited && !server.isFull;
}

/** Creates a policy without measured times. The budgets start empty, so that the share also holds after a start. */
export function createHedgePolicy({maximumShare, percentile}: HedgingSettings): HedgePolicy {
	const recordByPool = new Map<string, PoolRecord>();
	const minimumSamples = Math.max(MINIMUM_SAMPLES, percentile === undefined ? 0 : Math.round(MINIMUM_SAMPLES_ABOVE / (1 - percentile)));

	function recordOf(pool: string, now: number): PoolRecord {
		const record = recordByPool.get(pool) ?? {
			times: createResponseTimes(), savedHedges: 0, usedAt: now, requests: 0, sent: 0, won: 0,
		};
		record.usedAt = now;
		recordByPool.set(pool, record);
		return record;
	}

	function measureDelay(record: PoolRecord | undefined, now: number): number | undefined {
		if (record === undefined || percentile === undefined || record.times.count(now) < minimumSamples) {
			return undefined;
		}

		return Math.max(MINIMUM_DELAY_MS, record.times.percentile(percentile, now) ?? 0);
	}

	return {
		recordRequest(pool, now) {
			const record = recordOf(pool, now);
			record.requests += 1;
			record.savedHedges = Math.min(MAXIMUM_SAVED_HEDGES, record.savedHedges + maximumShare);
		},
		recordAnswer(pool, tookMs, now) {
			recordOf(pool, now).times.record(tookMs, now);
		},
		recordUnanswered(pool, tookMs, now) {
			const record = recordOf(pool, now);
			// The response would have taken longer than this. That places the attempt above the percentile only if it had already passed it. Without these
			// attempts, the measured percentile would fall with each hedge that wins, as the slowest attempts are those that get cancelled.
			if (tookMs >= (measureDelay(record, now) ?? Number.POSITIVE_INFINITY)) {
				record.times.record(tookMs, now);
			}
		},
		findDueTime({pool, arrivedAt, sentAt, goalMs}, now) {
			if (maximumShare <= 0) {
				return undefined;
			}

			const measuredMs = measureDelay(recordByPool.get(pool), now);
			const goalAt = arrivedAt + (GOAL_SHARE * goalMs);
			// An attempt that is sent later than that, such as a retry, is not slow from the start.
			const dueTimes = [...(measuredMs === undefined ? [] : [sentAt + measuredMs]), ...(goalAt > sentAt ? [goalAt] : [])];
			return dueTimes.length === 0 ? undefined : Math.min(...dueTimes);
		},
		decide(pool, servers, tried, now) {
			const usable = servers.filter(server => server.isUsable);
			const withRoom = usable.filter(hasRoom);
			if (withRoom.length === 0 || withRoom.length < MINIMUM_ROOM_SHARE * usable.length) {
				return {kind: 'withhold', reason: 'overloaded'};
			}

			const serverIds = withRoom.filter(({id, isFailing}) => !isFailing && !tried.includes(id)).map(({id}) => id);
			if (serverIds.length === 0) {
				return {kind: 'withhold', reason: 'noServer'};
			}

			const record = recordOf(pool, now);
			if (record.savedHedges < 1) {
				return {kind: 'withhold', reason: 'share'};
			}

			record.savedHedges -= 1;
			record.sent += 1;
			return {kind: 'send', serverIds};
		},
		refund(pool, now) {
			const record = recordOf(pool, now);
			record.savedHedges = Math.min(MAXIMUM_SAVED_HEDGES, record.savedHedges + 1);
			record.sent = Math.max(0, record.sent - 1);
		},
		recordWin(pool, now) {
			recordOf(pool, now).won += 1;
		},
		takeFigures(now) {
			const figures = [...recordByPool].map(([pool, record]) => ({
				pool, requests: record.requests, sent: record.sent, won: record.won, delayMs: measureDelay(record, now), samples: record.times.count(now),
			}));
			[...recordByPool].forEach(([pool, record]) => {
				record.requests = 0;
				record.sent = 0;
				record.won = 0;
				if (now - record.usedAt > UNUSED_POOL_TTL_MS) {
					recordByPool.delete(pool);
				}
			});
			return figures;
		},
	};
}
