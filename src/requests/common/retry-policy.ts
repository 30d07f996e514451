/** Decides whether a failed attempt is retried. */
import type {Failure, FailureCode} from '../../base/common/failure.js';
import type {RetryBudget} from './retry-budget.js';

/** What the decision depends on. */
export type RetryInputs = {
	readonly failure: Failure;
	/** Whether the request may safely run a second time. */
	readonly repeatable: boolean;
	/** Attempts so far, including the failed one. */
	readonly attempts: number;
	readonly maximumAttempts: number;
	/** Monotonic times in milliseconds. */
	readonly now: number;
	readonly deadline: number;
	/** Expected duration of another attempt. */
	readonly expectedRunMs: number;
};

const transientCodes = new Set<FailureCode>(['incomplete', 'overloaded', 'unavailable']);

/** Returns whether to retry. Takes from the budget only when the result is true. */
export function decideRetry(inputs: RetryInputs, budget: RetryBudget): boolean {
	const isSafe = inputs.failure.effect === 'notRun' || inputs.repeatable;
	const isInTime = inputs.now + inputs.expectedRunMs < inputs.deadline;
	return isSafe && isInTime && transientCodes.has(inputs.failure.code) && inputs.attempts < inputs.maximumAttempts && budget.spend();
}
