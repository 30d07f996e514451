/** Logs a failure that lasts without a line for each try: when it begins, rarely while it lasts, and when it ends. */
import {formatFailure, type Failure} from '../../base/common/failure.js';
import type {Log} from './log.js';

/** The log of one step that is tried again and again. */
export type FailureLog = {
	/** Notes that a try failed at `now`. */
	readonly fail: (failure: Failure, now: number) => void;
	/** Notes that a try succeeded at `now`. */
	readonly succeed: (now: number) => void;
};

type Streak = {
	readonly since: number;
	readonly loggedAt: number;
	/** Failures since the last line. */
	readonly unlogged: number;
};

/** Time between two lines while a failure lasts. */
const REPEAT_MS = 60_000;

/** Creates the log of a step; `subject` begins each message, such as `VM list`. */
export function createFailureLog(log: Log, subject: string): FailureLog {
	let streak: Streak | undefined;

	return {
		fail(failure, now) {
			const since = streak?.since ?? now;
			const failures = (streak?.unlogged ?? 0) + 1;
			if (streak !== undefined && now - streak.loggedAt < REPEAT_MS) {
				streak = {...streak, unlogged: failures};
				return;
			}

			log.warn(`${subject} not read`, {failure: formatFailure(failure), failures, failingForMs: Math.round(now - since)});
			streak = {since, loggedAt: now, unlogged: 0};
		},
		succeed(now) {
			if (streak !== undefined) {
				log.info(`${subject} read again`, {failedForMs: Math.round(now - streak.since)});
				streak = undefined;
			}
		},
	};
}
