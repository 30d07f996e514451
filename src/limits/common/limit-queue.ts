/**
 * Enforces this daemon's share of one grant. Requests over the share wait briefly, in order of arrival, and are refused
 * at once when the wait would be long.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import {createDemandMeter} from './demand-meter.js';
import {createTokenBucket} from './token-bucket.js';

/** What this daemon may use of a grant. */
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

/** The queue before one grant. */
export type LimitQueue = {
	readonly configure: (allowance: Allowance, now: number) => void;
	/** Resolves when the request is within the share; refusals have code `rejected`. */
	readonly enter: (tokens: number, deadline: number, now: number, signal: AbortSignal) => Promise<Result<void, Failure>>;
	/** Lets through what the share allows by now, and refuses what has waited too long. */
	readonly tick: (now: number) => void;
	/** Gives back a request that was let through but did not run. */
	readonly giveBack: (tokens: number, now: number) => void;
	/** Gives back tokens that a request reserved and did not generate. */
	readonly giveBackTokens: (tokens: number, now: number) => void;
	readonly demand: (now: number) => Demand;
	readonly inDebt: (now: number) => boolean;
	readonly waiting: () => number;
};

type Waiting = {
	readonly tokens: number;
	readonly until: number;
	readonly settle: (result: Result<void, Failure>) => void;
};

/** Longest wait for the share: a first share takes a division, a renewal of whoever holds too much, and a write. */
const LONGEST_WAIT_MS = 3000;
const SHORTEST_RETRY_MS = 250;
const RETRY_JITTER = 0.25;
/** Time to return that is named while the daemon has no share at all. */
const NO_SHARE_RETRY_MS = 1000;

/** Creates a queue that lets nothing through until it is configured. */
export function createLimitQueue(peer: string, random: Random): LimitQueue {
	const requests = createTokenBucket();
	const tokenBucket = createTokenBucket();
	const requestDemand = createDemandMeter();
	const tokenDemand = createDemandMeter();
	let tokensLimited = false;
	let waiting: readonly Waiting[] = [];

	function refuse(waitMs: number): Failure {
		const returnMs = Number.isFinite(waitMs) ? Math.max(SHORTEST_RETRY_MS, waitMs) : NO_SHARE_RETRY_MS;
		return createNotRun('rejected', {step: 'check limit', peer}, 'the plan is over its limit', jitter(returnMs, RETRY_JITTER, random));
	}

	function waitFor(tokens: number, now: number): number {
		return Math.max(requests.waitMs(1, now), tokensLimited ? tokenBucket.waitMs(tokens, now) : 0);
	}

	function take(tokens: number, now: number): boolean {
		if (waitFor(tokens, now) > 0) {
			return false;
		}

		return requests.take(1, now) && (!tokensLimited || tokenBucket.take(tokens, now));
	}

	/** Expected wait behind all that wait already. */
	function predictWait(tokens: number, now: number): number {
		const aheadTokens = waiting.reduce((sum, entry) => sum + entry.tokens, 0);
		const own = waitFor(tokens, now);
		const behind = Math.max(requests.waitMs(1, now) * (waiting.length + 1), tokensLimited ? tokenBucket.waitMs(aheadTokens + tokens, now) : 0);
		return waiting.length === 0 ? own : Math.max(own, behind);
	}

	function remove(entry: Waiting): void {
		waiting = waiting.filter(other => other !== entry);
	}

	function letThrough(now: number): void {
		const [head] = waiting;
		if (head === undefined || !take(head.tokens, now)) {
			return;
		}

		remove(head);
		head.settle(ok());
		letThrough(now);
	}

	async function wait(tokens: number, until: number, signal: AbortSignal): Promise<Result<void, Failure>> {
		return new Promise(resolve => {
			function giveUp(): void {
				remove(entry);
				resolve(err(createNotRun('aborted', {step: 'check limit', peer}, 'the caller went away')));
			}

			const entry: Waiting = {
				tokens,
				until,
				settle(result) {
					signal.removeEventListener('abort', giveUp);
					resolve(result);
				},
			};
			waiting = [...waiting, entry];
			signal.addEventListener('abort', giveUp, {once: true});
		});
	}

	return {
		configure(allowance, now) {
			tokensLimited = allowance.tokensPerSecond !== undefined;
			requests.configure(allowance.requestsPerSecond, allowance.burstRequests, now);
			tokenBucket.configure(allowance.tokensPerSecond ?? 0, allowance.burstTokens, now);
		},
		async enter(tokens, deadline, now, signal) {
			requestDemand.add(1, now);
			tokenDemand.add(tokens, now);
			if (waiting.length === 0 && take(tokens, now)) {
				return ok();
			}

			const until = Math.min(deadline, now + LONGEST_WAIT_MS);
			const waitMs = predictWait(tokens, now);
			// Without any share the wait cannot be predicted: the owner of the plan may send one within the longest wait.
			return Number.isFinite(waitMs) && now + waitMs > until ? err(refuse(waitMs)) : wait(tokens, until, signal);
		},
		tick(now) {
			letThrough(now);
			const late = waiting.filter(entry => entry.until <= now);
			late.forEach(entry => {
				remove(entry);
				entry.settle(err(refuse(waitFor(entry.tokens, now))));
			});
		},
		giveBack(tokens, now) {
			requests.giveBack(1, now);
			tokenBucket.giveBack(tokens, now);
		},
		giveBackTokens(tokens, now) {
			tokenBucket.giveBack(tokens, now);
		},
		demand: now => ({requestsPerSecond: requestDemand.read(now), tokensPerSecond: tokenDemand.read(now)}),
		inDebt: now => requests.inDebt(now) || (tokensLimited && tokenBucket.inDebt(now)),
		waiting: () => waiting.length,
	};
}
