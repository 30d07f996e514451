/**
 * Measures how fast a pool processes its requests. The run time of a request is modelled as a constant plus a term linear
 * in its cost, fitted to completed requests. As long as all completed requests had the same cost, the slope is unknown and
 * other costs are predicted to take the same time.
 */

/** Requests that are still to be processed. */
export type Work = {
	readonly requests: number;
	/** Sum of the costs of the requests. */
	readonly cost: number;
};

/** The measured speed of a pool. */
export type DrainRate = {
	/** Adds a completed request to the fit. */
	readonly recordCompletion: (cost: number, runMs: number) => void;
	/** Discards all measurements when the next request completes, because run times have changed. */
	readonly restart: () => void;
	/** Returns the time in which most requests of the given cost complete, in milliseconds. */
	readonly runMs: (cost: number) => number;
	/** Returns the expected time until the work is done with `concurrency` requests at once, in milliseconds. */
	readonly waitMs: (work: Work, concurrency: number) => number;
};

/** Weight of the newest request in the running means, once the warm-up is over. */
const MINIMUM_GAIN = 0.05;
/** Number of mean deviations above the mean in which most requests complete. */
const DEVIATIONS_ABOVE_MEAN = 2;
/** Number of requests for which plain averages are used before the exponential running means. */
const WARM_UP_REQUESTS = 1 / MINIMUM_GAIN;

/** Creates a drain rate that assumes `initialRunMs` per request until the first request has completed. */
export function createDrainRate(initialRunMs: number): DrainRate {
	let meanRunMs = initialRunMs;
	let meanCost = 1;
	let deviationMs = 0;
	/** Running variance of the cost, and covariance of cost and run time. */
	let costVariance = 0;
	let covariance = 0;
	let count = 0;
	let isStale = false;

	function resetToRunMs(runMs: number): void {
		isStale = false;
		count = 0;
		meanRunMs = runMs;
		deviationMs = 0;
		costVariance = 0;
		covariance = 0;
	}

	/** Run time per unit of cost; at most the mean run time over the mean cost, which is the slope without a constant term. */
	function msPerCost(): number {
		return costVariance === 0 ? 0 : Math.min(meanRunMs / meanCost, Math.max(0, covariance / costVariance));
	}

	function expectRunMs(cost: number): number {
		return meanRunMs + (msPerCost() * (cost - meanCost));
	}

	function updateFit(cost: number, runMs: number, gain: number): void {
		const costError = cost - meanCost;
		const runError = runMs - meanRunMs;
		costVariance += gain * (((1 - gain) * (costError ** 2)) - costVariance);
		covariance += gain * (((1 - gain) * costError * runError) - covariance);
		meanRunMs += gain * runError;
		meanCost += gain * costError;
	}

	return {
		recordCompletion(cost, runMs) {
			if (isStale) {
				resetToRunMs(runMs);
			}

			count += 1;
			const gain = Math.max(MINIMUM_GAIN, 1 / Math.min(count, WARM_UP_REQUESTS));
			deviationMs += gain * (Math.abs(runMs - expectRunMs(cost)) - deviationMs);
			updateFit(cost, runMs, gain);
		},
		restart() {
			isStale = true;
		},
		runMs: cost => count === 0 ? initialRunMs : expectRunMs(cost) + (DEVIATIONS_ABOVE_MEAN * deviationMs),
		waitMs({requests, cost}, concurrency) {
			const total = count === 0 ? initialRunMs * Math.sign(requests) : requests * expectRunMs(cost / Math.max(1, requests));
			return total / Math.max(1, concurrency);
		},
	};
}
