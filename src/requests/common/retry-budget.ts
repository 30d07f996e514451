/** Limits retries to a share of the traffic, so that retries don't overload backend servers that already fail. */

/** The retry budget of one pool. */
export type RetryBudget = {
	/** Counts a first attempt, which adds a fraction of a retry to the budget. */
	readonly earn: () => void;
	/** Takes one retry from the budget; false when less than one is left. */
	readonly spend: () => boolean;
};

/** Retries that the budget can hold, and that it starts with. */
const MAXIMUM_SAVED_RETRIES = 10;

/** Creates a full budget that gains `share` retries per first attempt; a share of 0 allows no retry. */
export function createRetryBudget(share: number): RetryBudget {
	let savedRetries = share > 0 ? MAXIMUM_SAVED_RETRIES : 0;

	return {
		earn() {
			savedRetries = Math.min(MAXIMUM_SAVED_RETRIES, savedRetries + share);
		},
		spend() {
			if (savedRetries < 1) {
				return false;
			}

			savedRetries -= 1;
			return true;
		},
	};
}
