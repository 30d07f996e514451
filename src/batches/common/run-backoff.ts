/** Delays between the runs of one item, so that runs without events do not follow one another immediately. */

/** The delays of one item. */
export type RunBackoff = {
	/** Milliseconds until the next run; `hasAdded` tells whether the last one generated an event. */
	readonly nextDelayMs: (hasAdded: boolean) => number;
};

/** The delay begins after this many consecutive runs without an event. The first such run may have lost the last free slot of its engine to another request. */
const RUNS_BEFORE_BACKOFF = 2;
const INITIAL_DELAY_MS = 50;
const MAXIMUM_DELAY_MS = 1000;

/** Creates the delays of an item. */
export function createRunBackoff(): RunBackoff {
	let runsWithoutEvent = 0;
	return {
		nextDelayMs(hasAdded) {
			runsWithoutEvent = hasAdded ? 0 : runsWithoutEvent + 1;
			return runsWithoutEvent < RUNS_BEFORE_BACKOFF ? 0 : Math.min(MAXIMUM_DELAY_MS, INITIAL_DELAY_MS * (2 ** (runsWithoutEvent - RUNS_BEFORE_BACKOFF)));
		},
	};
}
