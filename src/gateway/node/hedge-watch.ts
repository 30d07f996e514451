/** Watches one attempt and tells when it has become slow, and records how long attempts take. */
import type {Result} from 'neverthrow';
import {createDisposable, type Disposable} from '../../base/common/disposable.js';
import type {Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {HedgeableAttempt, HedgePolicy} from '../common/hedge-policy.js';
import type {BackendResponse} from './server-caller.js';

/** A timer that fires later than this shows that the event loop was held up. Then responses may have arrived that were not read yet. */
const LATE_TIMER_MS = 5;
/** Maximum time given to the loop to read those responses, in milliseconds. */
const MAXIMUM_RECHECK_MS = 50;
/** Statuses from this one on say nothing about how long an answer takes, as errors are often faster. */
const FIRST_UNTIMED_STATUS = 400;

/** Calls `onSlow` once when the attempt has become slow, unless the watch is disposed before. */
export function watchAttempt(attempt: HedgeableAttempt, {policy, loop}: {readonly policy: HedgePolicy; readonly loop: Loop}, onSlow: () => void): Disposable {
	let timer: Disposable | undefined;

	function check(plannedAt: number, now: number): void {
		const lateMs = now - plannedAt;
		if (lateMs > LATE_TIMER_MS) {
			schedule(now + Math.min(lateMs, MAXIMUM_RECHECK_MS), now);
			return;
		}

		// The pool's response times may have risen since the timer was set.
		const dueAt = policy.findDueTime(attempt, now);
		if (dueAt === undefined || dueAt > now) {
			schedule(dueAt, now);
			return;
		}

		onSlow();
	}

	function schedule(dueAt: number | undefined, now: number): void {
		timer = dueAt === undefined
			? undefined
			: loop.after(Math.max(0, dueAt - now), firedAt => {
				check(dueAt, firedAt);
			});
	}

	schedule(policy.findDueTime(attempt, attempt.sentAt), attempt.sentAt);
	return createDisposable(() => {
		timer?.dispose();
	});
}

/** Records how long an attempt took, for the delay of later hedges. */
export function recordAttemptTime(result: Result<BackendResponse, Failure>, {policy, pool, tookMs}: {readonly policy: HedgePolicy; readonly pool: string; readonly tookMs: number}, now: number): void {
	result.match(({status, head}) => {
		if (!head.isNotRun && !head.isOtherServer && status < FIRST_UNTIMED_STATUS) {
			policy.recordAnswer(pool, tookMs, now);
		}
	}, failure => {
		if (failure.effect === 'outcomeUnknown' && failure.code !== 'incomplete') {
			policy.recordUnanswered(pool, tookMs, now);
		}
	});
}
