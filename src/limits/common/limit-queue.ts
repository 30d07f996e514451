/**
 * Enforces this daemon's share of one grant. Requests over the share wait for at most `MAXIMUM_WAIT_MS`, in order of
 * arrival, and are refused at once when the predicted wait is longer or passes their deadline.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import {createDemandMeter} from './demand-meter.js';
import {createTokenBucket} from './token-bucket.js';

/** The part of a grant that this daemon may use. */
export type Allowance = {
	readonly requestsPerSecond: number;
	/** Undefined when the grant does not limit tokens. */
	readonly tokensPerSecond: number | undefined;
	readonly burstRequests: number;
	readonly burstTokens: number;
};

/** Demand of callers, refused requests included, per second. */
export type Demand = {
	readonly requestsPerSecond: number;
	readonly tokensPerSecond: number;
};

/** The queue of requests for one grant. */
export type LimitQueue = {
	readonly configure: (allowance: Allowance, now: number) => void;
	/** Resolves when the request is within the share; refusals have code `rejected`, aborts code `aborted`. */
	readonly enter: (tokens: number, deadline: number, now: number, signal: AbortSignal) => Promise<Result<void, Failure>>;
	/** Admits the waiting requests that the share now allows, and refuses those that have waited too long. */
	readonly tick: (now: number) => void;
	/** Returns a request and its tokens to the share, when the request was admitted but did not run. */
	readonly refund: (tokens: number, now: number) => void;
	/** Returns tokens that a request reserved but did not generate. */
	readonly refundTokens: (tokens: number, now: number) => void;
	readonly demand: (now: number) => Demand;
	/** Whether a request above the burst has left one of the buckets below zero. */
	readonly inDebt: (now: number) => boolean;
	readonly waiting: () => number;
};

type WaitingRequest = {
	readonly tokens: number;
	/** Monotonic time at which the request is refused. */
	readonly until: number;
	readonly settle: (result: Result<void, Failure>) => void;
};

/** Long enough for a first share, which takes a division, a renewal by the holders of too large shares, and a store write. */
const MAXIMUM_WAIT_MS = 3000;
const MINIMUM_RETRY_AFTER_MS = 250;
const RETRY_JITTER_SHARE = 0.25;
/** Retry-after time in refusals while the daemon has no share, because the wait can't be predicted then. */
const NO_SHARE_RETRY_AFTER_MS = 1000;

/** Creates a queue that admits nothing until it is configured; `peer` names the grant in failures. */
export function createLimitQueue(peer: string, random: Random): LimitQueue {
	const requestBucket = createTokenBucket();
	const tokenBucket = createTokenBucket();
	const requestDemand = createDemandMeter();
	const tokenDemand = createDemandMeter();
	let hasTokenLimit = false;
	let waiting: readonly WaitingRequest[] = [];

	function refuse(waitMs: number): Failure {
		const retryAfterMs = Number.isFinite(waitMs) ? Math.max(MINIMUM_RETRY_AFTER_MS, waitMs) : NO_SHARE_RETRY_AFTER_MS;
		return createNotRun('rejected', {step: 'check limit', peer}, 'the plan is over its limit', jitter(retryAfterMs, RETRY_JITTER_SHARE, random));
	}

	function requiredWaitMs(tokens: number, now: number): number {
		return Math.max(requestBucket.waitMs(1, now), hasTokenLimit ? tokenBucket.waitMs(tokens, now) : 0);
	}

	function tryTake(tokens: number, now: number): boolean {
		if (requiredWaitMs(tokens, now) > 0) {
			return false;
		}

		return requestBucket.take(1, now) && (!hasTokenLimit || tokenBucket.take(tokens, now));
	}

	/** Expected wait of a new request behind all requests that already wait. */
	function predictWait(tokens: number, now: number): number {
		const aheadTokens = waiting.reduce((sum, entry) => sum + entry.tokens, 0);
		const ownWaitMs = requiredWaitMs(tokens, now);
		const queueWaitMs = Math.max(requestBucket.waitMs(1, now) * (waiting.length + 1), hasTokenLimit ? tokenBucket.waitMs(aheadTokens + tokens, now) : 0);
		return waiting.length === 0 ? ownWaitMs : Math.max(ownWaitMs, queueWaitMs);
	}

	function remove(entry: WaitingRequest): void {
		waiting = waiting.filter(other => other !== entry);
	}

	function admitWaiting(now: number): void {
		const [head] = waiting;
		if (head === undefined || !tryTake(head.tokens, now)) {
			return;
		}

		remove(head);
		head.settle(ok());
		admitWaiting(now);
	}

	async function wait(tokens: number, until: number, signal: AbortSignal): Promise<Result<void, Failure>> {
		return new Promise(resolve => {
			function onAbort(): void {
				remove(entry);
				resolve(err(createNotRun('aborted', {step: 'check limit', peer}, 'the caller aborted the request')));
			}

			const entry: WaitingRequest = {
				tokens,
				until,
				settle(result) {
					signal.removeEventListener('abort', onAbort);
					resolve(result);
				},
			};
			waiting = [...waiting, entry];
			signal.addEventListener('abort', onAbort, {once: true});
		});
	}

	return {
		configure(allowance, now) {
			hasTokenLimit = allowance.tokensPerSecond !== undefined;
			requestBucket.configure(allowance.requestsPerSecond, allowance.burstRequests, now);
			tokenBucket.configure(allowance.tokensPerSecond ?? 0, allowance.burstTokens, now);
		},
		async enter(tokens, deadline, now, signal) {
			requestDemand.add(1, now);
			tokenDemand.add(tokens, now);
			if (waiting.length === 0 && tryTake(tokens, now)) {
				return ok();
			}

			const until = Math.min(deadline, now + MAXIMUM_WAIT_MS);
			const waitMs = predictWait(tokens, now);
			// The wait is infinite without a share. Such a request waits, because the owner of the plan may grant one in time.
			return Number.isFinite(waitMs) && now + waitMs > until ? err(refuse(waitMs)) : wait(tokens, until, signal);
		},
		tick(now) {
			admitWaiting(now);
			const expired = waiting.filter(entry => entry.until <= now);
			expired.forEach(entry => {
				remove(entry);
				entry.settle(err(refuse(requiredWaitMs(entry.tokens, now))));
			});
		},
		refund(tokens, now) {
			requestBucket.refund(1, now);
			tokenBucket.refund(tokens, now);
		},
		refundTokens(tokens, now) {
			tokenBucket.refund(tokens, now);
		},
		demand: now => ({requestsPerSecond: requestDemand.read(now), tokensPerSecond: tokenDemand.read(now)}),
		inDebt: now => requestBucket.inDebt(now) || (hasTokenLimit && tokenBucket.inDebt(now)),
		waiting: () => waiting.length,
	};
}
