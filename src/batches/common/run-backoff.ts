/**
 * Delays between the runs of one item, so that runs without events do not follow one another immediately, and the engine for an
 * item under which engines break off one after the other.
 */

/** The end of one run of an item. */
export type RunEnd = {
	readonly serverId: string;
	/** Whether the run generated an event. */
	readonly hasAdded: boolean;
	/** Whether the engine had the request and closed the connection without a complete response. */
	readonly hasBroken: boolean;
};

/** The delays of one item. */
export type RunBackoff = {
	/** Records the end of a run; returns the milliseconds until the next one. */
	readonly recordEnd: (end: RunEnd) => number;
	/** The engine to which an item is confined under which engines have broken off; undefined for any other item. */
	readonly confinedTo: () => string | undefined;
};

/** The delay begins after this many consecutive runs without an event. The first such run may have lost the last free slot of its engine to another request. */
const RUNS_BEFORE_BACKOFF = 2;
const INITIAL_DELAY_MS = 50;
const MAXIMUM_DELAY_MS = 1000;
/** Consecutive runs without an event under which the engine broke off, from which on the item itself may be the cause. */
const BROKEN_RUNS_BEFORE_CONFINEMENT = 3;
/** Delay between the runs of a confined item: an engine is back some 3 s after a crash, and an item must not be without an engine for 5 s. */
const CONFINED_DELAY_MS = 4000;

/** Creates the delays of an item. */
export function createRunBackoff(): RunBackoff {
	let runsWithoutEvent = 0;
	let brokenRuns = 0;
	let lastBrokenBy: string | undefined;
	const isConfined = (): boolean => brokenRuns >= BROKEN_RUNS_BEFORE_CONFINEMENT;

	return {
		recordEnd({serverId, hasAdded, hasBroken}) {
			runsWithoutEvent = hasAdded ? 0 : runsWithoutEvent + 1;
			if (hasAdded) {
				brokenRuns = 0;
			} else if (hasBroken) {
				brokenRuns += 1;
				lastBrokenBy = serverId;
			}

			if (isConfined()) {
				return CONFINED_DELAY_MS;
			}

			return runsWithoutEvent < RUNS_BEFORE_BACKOFF ? 0 : Math.min(MAXIMUM_DELAY_MS, INITIAL_DELAY_MS * (2 ** (runsWithoutEvent - RUNS_BEFORE_BACKOFF)));
		},
		confinedTo: () => (isConfined() ? lastBrokenBy : undefined),
	};
}
