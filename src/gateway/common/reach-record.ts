/** Records for how long a daemon has or has not reached something, so that it does not act on links that come and go. */

/** The record of one reach. */
export type ReachRecord = {
	/** Records whether it is reached now. */
	readonly record: (isReached: boolean, now: number) => void;
	/** Time since which it has not been reached, in milliseconds; 0 while it is reached. */
	readonly lostForMs: (now: number) => number;
	/** Time since which it has been reached, in milliseconds; 0 while it is not, infinite if it was never lost. */
	readonly reachedForMs: (now: number) => number;
};

/** Creates the record of something that has not been lost yet. */
export function createReachRecord(): ReachRecord {
	let reachedSince: number | undefined = Number.NEGATIVE_INFINITY;
	let lostSince: number | undefined;
	return {
		record(isReached, now) {
			reachedSince = isReached ? reachedSince ?? now : undefined;
			lostSince = isReached ? undefined : lostSince ?? now;
		},
		lostForMs: now => (lostSince === undefined ? 0 : now - lostSince),
		reachedForMs: now => (reachedSince === undefined ? 0 : now - reachedSince),
	};
}
