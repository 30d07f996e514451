/**
 * Limits the lines that a daemon logs per second. Failures have a separate budget, so that routine lines cannot use it up.
 * Omitted lines are counted and reported once per second.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Log, LogFields} from './log.js';

/** Maximum lines per second, by kind of line. */
export type LogRates = {
	/** Successful decisions. */
	readonly routinePerSecond: number;
	/** Warnings, errors, and decisions that end in a failure. */
	readonly failuresPerSecond: number;
};

/** Decides which lines are written. Does no I/O. */
export type LogBudget = {
	/** Whether a line may be written. */
	readonly admit: (message: string, isFailure: boolean, now: number) => boolean;
	/** Returns the number of lines omitted since the last report, by message; undefined when none were omitted or a report is not due yet. */
	readonly takeOmitted: (now: number) => Readonly<Record<string, number>> | undefined;
};

const SECOND_MS = 1000;
/** Maximum number of messages that are counted separately; further ones are counted together. */
const MAXIMUM_COUNTED_MESSAGES = 30;

type Bucket = {
	readonly take: (now: number) => boolean;
};

function createBucket(perSecond: number): Bucket {
	let tokens = perSecond;
	let filledAt = 0;
	return {
		take(now) {
			tokens = Math.min(perSecond, tokens + ((now - filledAt) * perSecond / SECOND_MS));
			filledAt = now;
			if (tokens < 1) {
				return false;
			}

			tokens -= 1;
			return true;
		},
	};
}

/** Creates a budget. */
export function createLogBudget(rates: LogRates): LogBudget {
	const routine = createBucket(rates.routinePerSecond);
	const failures = createBucket(rates.failuresPerSecond);
	let omittedByMessage = new Map<string, number>();
	let lastReportedAt = Number.NEGATIVE_INFINITY;

	return {
		admit(message, isFailure, now) {
			if ((isFailure ? failures : routine).take(now)) {
				return true;
			}

			const key = omittedByMessage.has(message) || omittedByMessage.size < MAXIMUM_COUNTED_MESSAGES ? message : 'others';
			omittedByMessage.set(key, (omittedByMessage.get(key) ?? 0) + 1);
			return false;
		},
		takeOmitted(now) {
			if (omittedByMessage.size === 0 || now - lastReportedAt < SECOND_MS) {
				return undefined;
			}

			lastReportedAt = now;
			const omitted = Object.fromEntries(omittedByMessage);
			omittedByMessage = new Map();
			return omitted;
		},
	};
}

/** Whether the fields of a line describe a failure. */
function describesFailure(fields: LogFields | undefined): boolean {
	return fields !== undefined && ('reason' in fields || 'brokenBy' in fields || 'problem' in fields);
}

/** Creates a log that writes the lines that the budget admits. */
export function createBudgetedLog(inner: Log, budget: LogBudget, clock: Clock): Log {
	function write(method: 'debug' | 'info' | 'warn' | 'error', message: string, fields: LogFields | undefined): void {
		const now = clock.monotonic();
		const isFailure = method === 'warn' || method === 'error' || describesFailure(fields);
		if (budget.admit(message, isFailure, now)) {
			inner[method](message, fields);
		}

		const leftOut = budget.takeOmitted(now);
		if (leftOut !== undefined) {
			inner.warn('log lines left out', {leftOut});
		}
	}

	return {
		debug(message, fields) {
			inner.debug(message, fields);
		},
		info(message, fields) {
			write('info', message, fields);
		},
		warn(message, fields) {
			write('warn', message, fields);
		},
		error(message, fields) {
			write('error', message, fields);
		},
		child: fields => createBudgetedLog(inner.child(fields), budget, clock),
	};
}
