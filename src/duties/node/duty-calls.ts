/** Calls the duties API while this daemon holds the lease on orders: one call at a time for each subject, within the rate of all calls. */
import type {Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {OrderLease} from '../../orders/node/order-lease.js';
import type {DutyCaller, DutyOutcome} from '../common/duties-api.js';
import type {DutyTerm} from '../common/duty-term.js';

/** How a call ended: not made, without an answer, or with the platform's answer. */
export type DutyCallEnd = 'notMade' | 'noAnswer' | DutyOutcome;

/** One call. */
export type DutyCall = {
	readonly duty: 'usage' | 'scale';
	/** Calls for one subject go one after another. */
	readonly subject: string;
	/** Fields for the log. */
	readonly details: Readonly<Record<string, unknown>>;
	readonly send: (caller: DutyCaller) => Promise<Result<DutyOutcome, Failure>>;
};

/** Makes calls. */
export type DutyCalls = {
	/** Makes a call if this daemon may; the lease is checked immediately before it is sent. */
	readonly make: (call: DutyCall) => Promise<DutyCallEnd>;
	/** Time for which this daemon has held the lease without a change, in milliseconds. */
	readonly heldForMs: () => number;
};

/** Dependencies of the calls. */
export type DutyCallsDependencies = {
	/** Name of this daemon. */
	readonly holder: string;
	readonly lease: Pick<OrderLease, 'fencing' | 'act'>;
	readonly term: DutyTerm;
	readonly callsPerSecond: number;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Share of the platform's rate that is used, as the former holder's calls count too. */
const RATE_SHARE = 0.8;

/**
 * A difference between the clocks that grows by this much shows a jump of the wall clock, or a VM that was suspended. The monotonic clock
 * stands still meanwhile, so the lease may have lapsed without being seen to; the time without calls covers its next renewal.
 */
const CLOCK_SHIFT_MS = 500;

/** Creates the calls of one daemon. */
export function createDutyCalls({
	holder, lease, term, callsPerSecond, clock, log, metrics,
}: DutyCallsDependencies): DutyCalls {
	const open = new Set<string>();
	let nextAt = Number.NEGATIVE_INFINITY;
	let offset = clock.wall() - clock.monotonic();

	/** Fencing number with which a call may be made now; undefined if none may. */
	function currentFencing(now: number): number | undefined {
		const measured = clock.wall() - now;
		if (Math.abs(measured - offset) >= CLOCK_SHIFT_MS) {
			log.info('clocks have shifted; duty calls wait', {shiftMs: Math.round(measured - offset)});
			term.restart(now);
		}

		offset = measured;
		return term.observe(lease.fencing(now), now);
	}

	return {
		heldForMs() {
			const now = clock.monotonic();
			currentFencing(now);
			return term.heldForMs(now);
		},
		async make({
			duty, subject, details, send,
		}) {
			const now = clock.monotonic();
			const fencing = currentFencing(now);
			if (fencing === undefined || now < nextAt || open.has(subject) || term.isFenced(subject, fencing)) {
				return 'notMade';
			}

			nextAt = now + (1000 / (callsPerSecond * RATE_SHARE));
			open.add(subject);
			const answer = await lease.act(async permission => send({
				...permission,
				holder,
				isCurrent: () => permission.isCurrent() && currentFencing(clock.monotonic()) === permission.fencing,
			}));
			open.delete(subject);
			if (answer === undefined) {
				return 'notMade';
			}

			const end: DutyCallEnd = answer.unwrapOr('noAnswer' as const);
			if (end === 'fenced') {
				term.recordFenced(subject, fencing);
			}

			metrics.count('duties.calls', 1, {duty, outcome: end});
			log.info('duty call ended', {
				duty, ...details, fencing, outcome: end, tookMs: Math.round(clock.monotonic() - now), ...(answer.isErr() && {reason: answer.error.message}),
			});
			return end;
		},
	};
}
