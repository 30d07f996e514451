/**
 * Limits the rate of one daemon's calls to the store. After an outage the rate starts low and doubles, so that a fleet
 * whose daemons have all waited does not overload the store as soon as it is available again.
 */
import {err} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Store} from './store.js';
import {wrapStore} from './wrapped-store.js';

/** The limit and what it depends on. */
export type RateLimitOptions = {
	/** Calls per second in normal operation, and also the maximum burst. */
	readonly callsPerSecond: number;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly metrics: Metrics;
};

/** A token bucket that decides how long each call waits. Does no I/O. */
export type RateLimiter = {
	/** Milliseconds to wait before the next call; undefined when the wait would be too long. */
	readonly reserve: (now: number) => number | undefined;
	/** Records whether the store responded to a call. */
	readonly recordOutcome: (isAnswered: boolean, now: number) => void;
};

/** Calls per second immediately after an outage. */
const RECOVERY_CALLS_PER_SECOND = 5;

/** Time after which the rate doubles, until it is back at its normal value. */
const DOUBLING_MS = 1000;

/** Consecutive failures that count as an outage. */
const OUTAGE_FAILURE_COUNT = 3;

/** Maximum wait of a call; a call that would wait longer is refused. */
const MAXIMUM_WAIT_MS = 1000;

const JITTER_SHARE = 0.5;

/** Creates the rate limiter of one daemon. */
export function createRateLimiter(callsPerSecond: number, random: Random): RateLimiter {
	let rate = callsPerSecond;
	let tokens = callsPerSecond;
	let updatedAt = 0;
	let failures = 0;
	let nextDoublingAt = Number.POSITIVE_INFINITY;

	function refill(now: number): void {
		if (now >= nextDoublingAt) {
			rate = Math.min(callsPerSecond, 2 * rate);
			nextDoublingAt = rate === callsPerSecond ? Number.POSITIVE_INFINITY : now + jitter(DOUBLING_MS, JITTER_SHARE, random);
		}

		tokens = Math.min(rate, tokens + ((now - updatedAt) * rate / 1000));
		updatedAt = now;
	}

	return {
		reserve(now) {
			refill(now);
			const waitMs = Math.max(0, (1 - tokens) * 1000 / rate);
			if (waitMs > MAXIMUM_WAIT_MS) {
				return undefined;
			}

			tokens -= 1;
			return waitMs;
		},
		recordOutcome(isAnswered, now) {
			failures = isAnswered ? 0 : failures + 1;
			if (failures >= OUTAGE_FAILURE_COUNT) {
				rate = RECOVERY_CALLS_PER_SECOND;
				tokens = Math.min(tokens, 1);
				nextDoublingAt = Number.POSITIVE_INFINITY;
			} else if (isAnswered && rate < callsPerSecond && nextDoublingAt === Number.POSITIVE_INFINITY) {
				nextDoublingAt = now + jitter(DOUBLING_MS, JITTER_SHARE, random);
			}
		},
	};
}

/** Creates a store whose calls are counted and rate-limited. Watches are only counted. */
export function createRateLimitedStore(inner: Store, options: RateLimitOptions): Store {
	const {clock, loop, metrics} = options;
	const limiter = createRateLimiter(options.callsPerSecond, options.random);

	return wrapStore(inner, async (call, _id, action) => {
		const waitMs = limiter.reserve(clock.monotonic());
		if (waitMs === undefined) {
			metrics.count('store.refused', 1, {call});
			return err(createNotRun('unavailable', {step: `${call} object`, peer: 'store'}, 'the rate limit of store calls is exceeded', MAXIMUM_WAIT_MS));
		}

		if (waitMs > 0) {
			await loop.sleep(waitMs);
		}

		metrics.count('store.calls', 1, {call});
		const result = await action();
		limiter.recordOutcome(result.isOk() || result.error.code !== 'unavailable', clock.monotonic());
		return result;
	}, (kind, listener) => {
		metrics.count('store.calls', 1, {call: 'watch'});
		return inner.watch(kind, listener);
	});
}
