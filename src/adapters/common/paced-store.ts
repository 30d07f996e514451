/**
 * Keeps the calls of one daemon to the store within a budget. After an outage the budget starts small and doubles, so
 * that a fleet whose daemons all have waited does not overrun the store at the moment of its return.
 */
import {err} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Store} from './store.js';
import {wrapStore} from './wrapped-store.js';

/** What paces the calls. */
export type PaceOptions = {
	/** Calls per second in ordinary times; as many may follow at once. */
	readonly callsPerSecond: number;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly metrics: Metrics;
};

/** Decides how long a call waits. Does no I/O. */
export type Pace = {
	/** Milliseconds to wait before the next call; undefined when the wait would be too long. */
	readonly reserve: (now: number) => number | undefined;
	/** Notes how a call ended. */
	readonly note: (isAnswered: boolean, now: number) => void;
};

/** Calls per second just after an outage. */
const RETURN_CALLS_PER_SECOND = 5;

/** Time after which the budget doubles, until it is whole again. */
const DOUBLING_MS = 1000;

/** Failures in a row that count as an outage. */
const OUTAGE_FAILURES = 3;

/** Longest wait for the budget; a call that would wait longer is refused. */
const MAXIMUM_WAIT_MS = 1000;

const JITTER_SHARE = 0.5;

/** Creates the pace of one daemon. */
export function createPace(callsPerSecond: number, random: Random): Pace {
	let rate = callsPerSecond;
	let tokens = callsPerSecond;
	let updatedAt = 0;
	let failures = 0;
	let doublesAt = Number.POSITIVE_INFINITY;

	function refill(now: number): void {
		if (now >= doublesAt) {
			rate = Math.min(callsPerSecond, 2 * rate);
			doublesAt = rate === callsPerSecond ? Number.POSITIVE_INFINITY : now + jitter(DOUBLING_MS, JITTER_SHARE, random);
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
		note(isAnswered, now) {
			failures = isAnswered ? 0 : failures + 1;
			if (failures >= OUTAGE_FAILURES) {
				rate = RETURN_CALLS_PER_SECOND;
				tokens = Math.min(tokens, 1);
				doublesAt = Number.POSITIVE_INFINITY;
			} else if (isAnswered && rate < callsPerSecond && doublesAt === Number.POSITIVE_INFINITY) {
				doublesAt = now + jitter(DOUBLING_MS, JITTER_SHARE, random);
			}
		},
	};
}

/** Creates a store whose calls are counted and paced. Watches are only counted. */
export function createPacedStore(inner: Store, options: PaceOptions): Store {
	const {clock, loop, metrics} = options;
	const pace = createPace(options.callsPerSecond, options.random);

	return wrapStore(inner, async (call, _id, action) => {
		const waitMs = pace.reserve(clock.monotonic());
		if (waitMs === undefined) {
			metrics.count('store.refused', 1, {call});
			return err(createNotRun('unavailable', {step: `${call} object`, peer: 'store'}, 'the budget of store calls is spent', MAXIMUM_WAIT_MS));
		}

		if (waitMs > 0) {
			await loop.sleep(waitMs);
		}

		metrics.count('store.calls', 1, {call});
		const answer = await action();
		pace.note(answer.isOk() || answer.error.code !== 'unavailable', clock.monotonic());
		return answer;
	}, (kind, listener) => {
		metrics.count('store.calls', 1, {call: 'watch'});
		return inner.watch(kind, listener);
	});
}
