/** Measures how fast a pool works off requests: the work completed per second and the time that one request takes. */

/** The measured speed of a pool. */
export type DrainRate = {
	readonly completed: (cost: number, runMs: number) => void;
	/** Forgets what was measured when the next request completes, because times have changed. */
	readonly restart: () => void;
	/** Time within which most requests of the given cost run, in milliseconds. */
	readonly runMs: (cost: number) => number;
	/** Expected time until `costAhead` is worked off by `concurrency` requests at once, in milliseconds. */
	readonly waitMs: (costAhead: number, concurrency: number) => number;
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
	let count = 0;
	let isStale = false;

	function forget(runMs: number): void {
		isStale = false;
		count = 0;
		meanRunMs = runMs;
		deviationMs = 0;
	}

	return {
		completed(cost, runMs) {
			if (isStale) {
				forget(runMs);
			}

			count += 1;
			const gain = Math.max(GAIN, 1 / Math.min(count, WARM_UP));
			deviationMs += gain * (Math.abs(runMs - meanRunMs) - deviationMs);
			meanRunMs += gain * (runMs - meanRunMs);
			meanCost += gain * (cost - meanCost);
		},
		restart() {
			isStale = true;
		},
		runMs: cost => count === 0 ? initialRunMs : (meanRunMs + (DEVIATIONS * deviationMs)) * cost / meanCost,
		waitMs: (costAhead, concurrency) => (count === 0 ? initialRunMs * Math.sign(costAhead) : meanRunMs * costAhead / meanCost) / Math.max(1, concurrency),
	};
}
