/** Decides whether a failed attempt is followed by another one. */
import type {Failure, FailureCode} from '../../base/common/failure.js';
import type {RetryBudget} from './retry-budget.js';

/** What the decision rests on. */
export type RetryInputs = {
	readonly failure: Failure;
	/** Whether running the request a second time does no harm. */
	readonly repeatable: boolean;
	/** Attempts so far, the failed one included. */
	readonly attempts: number;
	readonly maximumAttempts: number;
	readonly now: number;
	readonly deadline: number;
	/** Time that a further attempt is expected to take. */
	readonly expectedRunMs: number;
};

const transientCodes = new Set<FailureCode>(['incomplete', 'overloaded', 'unavailable']);

/** Returns whether to try again. Takes from the budget only if so. */
export function decideRetry(inputs: RetryInputs, budget: RetryBudget): boolean {
	const isSafe = inputs.failure.effect === 'notRun' || inputs.repeatable;
	const isInTime = inputs.now + inputs.expectedRunMs < inputs.deadline;
	return isSafe && isInTime && transientCodes.has(inputs.failure.code) && inputs.attempts < inputs.maximumAttempts && budget.spend();
}
