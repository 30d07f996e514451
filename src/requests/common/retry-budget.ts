/** Bounds retries to a share of the traffic, so that failing backend servers are not met with more load. */

/** The budget of one pool. */
export type RetryBudget = {
	/** Counts a first attempt, which earns a share of a retry. */
	readonly earn: () => void;
	/** Takes one retry; false when the budget is used up. */
	readonly spend: () => boolean;
};

/** Retries that can be saved up, and that a daemon without traffic has at hand. */
const MAXIMUM_SAVED_RETRIES = 10;

/** Creates a budget of `share` retries per first attempt. */
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
