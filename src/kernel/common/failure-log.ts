/** Logs a repeated failure without a line per attempt: at its start, at most once per minute, and after recovery. */
import {formatFailure, type Failure} from '../../base/common/failure.js';
import type {Log} from './log.js';

/** The log of one step that is attempted repeatedly. */
export type FailureLog = {
	/** Records that an attempt failed at `now`. */
	readonly fail: (failure: Failure, now: number) => void;
	/** Records that an attempt succeeded at `now`. */
	readonly succeed: (now: number) => void;
};

type FailureStreak = {
	readonly since: number;
	readonly loggedAt: number;
	/** Failures since the last line. */
	readonly unloggedCount: number;
};

/** Minimum time between two lines while a step keeps failing. */
const REPEAT_MS = 60_000;

/** Creates the log of a step; each message starts with `subject`, such as `VM list`. */
export function createFailureLog(log: Log, subject: string): FailureLog {
	let streak: FailureStreak | undefined;

	return {
		fail(failure, now) {
			const since = streak?.since ?? now;
			const failures = (streak?.unloggedCount ?? 0) + 1;
			if (streak !== undefined && now - streak.loggedAt < REPEAT_MS) {
				streak = {...streak, unloggedCount: failures};
				return;
			}

			log.warn(`${subject} not read`, {failure: formatFailure(failure), failures, failingForMs: Math.round(now - since)});
			streak = {since, loggedAt: now, unloggedCount: 0};
		},
		succeed(now) {
			if (streak !== undefined) {
				log.info(`${subject} read again`, {failedForMs: Math.round(now - streak.since)});
				streak = undefined;
			}
		},
	};
}
