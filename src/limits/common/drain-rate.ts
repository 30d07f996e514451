/**
 * Measures how fast a pool works off requests. The time that a request takes is a part that all have in common and a part
 * that grows with its cost, fitted to those that completed; from requests of one cost nothing follows for another cost.
 */

/** Requests to be worked off. */
export type Work = {
	readonly requests: number;
	/** Their costs together. */
	readonly cost: number;
};

/** The measured speed of a pool. */
export type DrainRate = {
	readonly completed: (cost: number, runMs: number) => void;
	/** Forgets what was measured when the next request completes, because times have changed. */
	readonly restart: () => void;
	/** Time within which most requests of the given cost run, in milliseconds. */
	readonly runMs: (cost: number) => number;
	/** Expected time until the work is done by `concurrency` requests at once, in milliseconds. */
	readonly waitMs: (work: Work, concurrency: number) => number;
};

/** Weight of the newest request in the running means. */
const GAIN = 0.05;
/** Mean deviations above the mean within which most requests run. */
const DEVIATIONS = 2;
/** Requests after which the running means are trusted fully; before, plain averages are taken. */
const WARM_UP = 1 / GAIN;

/** Creates a measure that assumes `initialRunMs` per request until requests have completed. */
export function createDrainRate(initialRunMs: number): DrainRate {
	let meanRunMs = initialRunMs;
	let meanCost = 1;
	let deviationMs = 0;
	/** Running variance of the cost, and covariance of cost and time. */
	let costVariance = 0;
	let covariance = 0;
	let count = 0;
	let isStale = false;

	function forget(runMs: number): void {
		isStale = false;
		count = 0;
		meanRunMs = runMs;
		deviationMs = 0;
		costVariance = 0;
		covariance = 0;
	}

	/** Time per unit of cost; at most what all of the time would come to. */
	function slope(): number {
		return costVariance === 0 ? 0 : Math.min(meanRunMs / meanCost, Math.max(0, covariance / costVariance));
	}

	function expectRunMs(cost: number): number {
		return meanRunMs + (slope() * (cost - meanCost));
	}

	function fit(cost: number, runMs: number, gain: number): void {
		const costError = cost - meanCost;
		const runError = runMs - meanRunMs;
		costVariance += gain * (((1 - gain) * (costError ** 2)) - costVariance);
		covariance += gain * (((1 - gain) * costError * runError) - covariance);
		meanRunMs += gain * runError;
		meanCost += gain * costError;
	}

	return {
		completed(cost, runMs) {
			if (isStale) {
				forget(runMs);
			}

			count += 1;
			const gain = Math.max(GAIN, 1 / Math.min(count, WARM_UP));
			deviationMs += gain * (Math.abs(runMs - expectRunMs(cost)) - deviationMs);
			fit(cost, runMs, gain);
		},
		restart() {
			isStale = true;
		},
		runMs: cost => count === 0 ? initialRunMs : expectRunMs(cost) + (DEVIATIONS * deviationMs),
		waitMs({requests, cost}, concurrency) {
			const total = count === 0 ? initialRunMs * Math.sign(requests) : requests * expectRunMs(cost / Math.max(1, requests));
			return total / Math.max(1, concurrency);
		},
	};
}
