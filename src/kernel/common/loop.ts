/** Schedules the daemon's periodic tasks and delays, all on one thread. Tests use a loop over virtual time. */
import type {Disposable} from '../../base/common/disposable.js';

/** A periodic task. */
export type Task = {
	/** Names the task in logs and metrics. */
	readonly name: string;
	readonly periodMs: number;
	/** Random variation of each wait, as a share of the period from 0 to 1. */
	readonly jitterShare?: number;
	/** Runs the task; `now` is the current monotonic time. The next wait starts after the task has finished. */
	readonly run: (now: number) => Promise<void> | void;
};

/** Schedules work. */
export type Loop = {
	/** Repeats a task until disposed; the first run comes after one period. */
	readonly every: (task: Task) => Disposable;
	/** Runs `action` once after a delay, unless disposed before. */
	readonly after: (delayMs: number, action: (now: number) => void) => Disposable;
	/** Resolves after a delay. */
	readonly sleep: (delayMs: number) => Promise<void>;
};
