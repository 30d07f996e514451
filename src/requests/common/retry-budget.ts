/** Bounds retries to a share of the traffic, so that failing backend servers are not met with more load. */

/** The budget of one pool. */
export type RetryBudget = {
	/** Counts a first attempt, which earns a share of a retry. */
	readonly earn: () => void;
	/** Takes one retry; false when the budget is used up. */
	readonly spend: () => boolean;
};

/** Retries that can be saved up, and that a daemon without traffic has at hand. */
const LARGEST_RESERVE = 10;

/** Creates a budget of `share` retries per first attempt. */
export function createRetryBudget(share: number): RetryBudget {
	let reserve = share > 0 ? LARGEST_RESERVE : 0;

	return {
		earn() {
			reserve = Math.min(LARGEST_RESERVE, reserve + share);
		},
		spend() {
			if (reserve < 1) {
				return false;
			}

			reserve -= 1;
			return true;
		},
	};
}
