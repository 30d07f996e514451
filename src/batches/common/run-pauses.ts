/** Pauses between the runs of one item, so that runs that add nothing do not follow one another at once. */

/** The pauses of one item. */
export type RunPauses = {
	/** Milliseconds until the next run; `hasAdded` tells whether the last one made an event. */
	readonly next: (hasAdded: boolean) => number;
};

/** Runs in a row that may add nothing before the next one waits: others may have taken the first choice's last place. */
const FRUITLESS_RUNS = 2;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1000;

/** Creates the pauses of an item. */
export function createRunPauses(): RunPauses {
	let fruitless = 0;
	return {
		next(hasAdded) {
			fruitless = hasAdded ? 0 : fruitless + 1;
			return fruitless < FRUITLESS_RUNS ? 0 : Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * (2 ** (fruitless - FRUITLESS_RUNS)));
		},
	};
}
