/**
 * The order in which samples are started. Among the groups that are to end the step the longest samples go first, because
 * a long sample that starts late ends the step alone. Groups beyond those that are enough are not started: they are the
 * ones that are expected to take longest, and stand in for others only when these fall behind them.
 */

/** A sample that waits to be started. */
export type StartCandidate = {
	readonly index: number;
	readonly group: number;
	/** Tokens that the sample is expected to need still. */
	readonly remaining: number;
};

/** A group that is not whole yet. */
export type OpenGroup = {
	readonly group: number;
	/** Tokens that its longest sample is expected to need still. */
	readonly longest: number;
};

/** Returns the groups that are more than enough: the longest of the open ones. */
export function chooseSurplus(open: readonly OpenGroup[], required: number): ReadonlySet<number> {
	const ordered = open.toSorted((a, b) => a.longest - b.longest || a.group - b.group);
	return new Set(ordered.slice(Math.max(0, required)).map(entry => entry.group));
}

/** Orders samples: those of batches that the trainer waits for, then the longest first. */
export function orderStarts<T extends StartCandidate>(candidates: readonly T[], needed: ReadonlySet<number>): readonly T[] {
	return candidates.toSorted((a, b) =>
		Number(needed.has(b.group)) - Number(needed.has(a.group))
		|| b.remaining - a.remaining
		|| a.index - b.index);
}
