/**
 * Bounds the lines a daemon logs per second. Routine lines run out first; lines of failures have a budget of their own.
 * What was left out is counted and said once a second.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Log, LogFields} from './log.js';

/** Lines per second, by what they say. */
export type LogRates = {
	/** Decisions that went as they should. */
	readonly routinePerSecond: number;
	/** Warnings, errors, and decisions that end in a failure. */
	readonly failuresPerSecond: number;
};

/** Decides which lines are written. Does no I/O. */
export type LogBudget = {
	/** Whether a line may be written. */
	readonly admit: (message: string, isFailure: boolean, now: number) => boolean;
	/** Lines left out since the last call, by message; undefined when there is nothing to say yet. */
	readonly takeLeftOut: (now: number) => Readonly<Record<string, number>> | undefined;
};

const SECOND_MS = 1000;
/** Different messages that are counted apart; others are counted together. */
const LARGEST_TALLY = 30;

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
	let leftOut = new Map<string, number>();
	let saidAt = Number.NEGATIVE_INFINITY;

	return {
		admit(message, isFailure, now) {
			if ((isFailure ? failures : routine).take(now)) {
				return true;
			}

			const key = leftOut.has(message) || leftOut.size < LARGEST_TALLY ? message : 'others';
			leftOut.set(key, (leftOut.get(key) ?? 0) + 1);
			return false;
		},
		takeLeftOut(now) {
			if (leftOut.size === 0 || now - saidAt < SECOND_MS) {
				return undefined;
			}

			saidAt = now;
			const taken = Object.fromEntries(leftOut);
			leftOut = new Map();
			return taken;
		},
	};
}

/** Whether the fields of a line tell of a failure. */
function tellsFailure(fields: LogFields | undefined): boolean {
	return fields !== undefined && ('reason' in fields || 'brokenBy' in fields || 'problem' in fields);
}

/** Creates a log that writes what the budget admits. */
export function createBudgetedLog(inner: Log, budget: LogBudget, clock: Clock): Log {
	function write(method: 'debug' | 'info' | 'warn' | 'error', message: string, fields: LogFields | undefined): void {
		const now = clock.monotonic();
		const isFailure = method === 'warn' || method === 'error' || tellsFailure(fields);
		if (budget.admit(message, isFailure, now)) {
			inner[method](message, fields);
		}

		const leftOut = budget.takeLeftOut(now);
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
