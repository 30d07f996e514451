/**
 * Keeps the actions that only the holder of a lease may perform within its term: an action starts only during the term, learns how long the term
 * still lasts, and the term is not handed on while an action is under way or may take effect later.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';

/** The permission to act as the only one, until the term ends. */
export type Permission = {
	readonly fencing: number;
	/** Whether the term still lasts. To be asked again immediately before the first byte is sent. */
	readonly isCurrent: () => boolean;
	/** Aborts when the term ends; an action that has no answer by then is given up. */
	readonly signal: AbortSignal;
};

/** An action that only one daemon may perform. */
export type ExclusiveAction<T> = (permission: Permission) => Promise<Result<T, Failure>>;

/** The actions of one daemon. */
export type ExclusiveActions = {
	/** Performs an action of the present term. */
	readonly perform: <T>(permission: Permission, action: ExclusiveAction<T>, readTime: () => number) => Promise<Result<T, Failure>>;
	/** Resolves when no action is under way. */
	readonly whenIdle: () => Promise<void>;
	/** Whether an action since the start of the term got no answer, so that its effect may still come. */
	readonly hasUnanswered: () => boolean;
	/** Number of actions that were begun so far. */
	readonly count: () => number;
	/** Monotonic time of the last start or end of an action; undefined before the first. */
	readonly lastActedAt: () => number | undefined;
	readonly startTerm: () => void;
};

/** Creates the record of a daemon that has not acted. */
export function createExclusiveActions(): ExclusiveActions {
	const underWay = new Set<Promise<unknown>>();
	let unansweredOfTerm = new Set<symbol>();
	let lastActedAt: number | undefined;
	let count = 0;
	return {
		async perform(permission, action, readTime) {
			const unanswered = unansweredOfTerm;
			const id = Symbol('action');
			unanswered.add(id);
			lastActedAt = readTime();
			count += 1;
			const running = action(permission);
			underWay.add(running);
			try {
				const result = await running;
				if (result.isOk() || result.error.effect === 'notRun') {
					unanswered.delete(id);
				}

				return result;
			} finally {
				lastActedAt = readTime();
				underWay.delete(running);
			}
		},
		async whenIdle() {
			await Promise.allSettled(underWay);
		},
		hasUnanswered: () => unansweredOfTerm.size > 0,
		count: () => count,
		lastActedAt: () => lastActedAt,
		startTerm() {
			unansweredOfTerm = new Set();
		},
	};
}
