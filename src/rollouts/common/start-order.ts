/**
 * The order in which samples are started. Among the groups that are needed to complete the step, the longest samples start
 * first, because the whole step would wait for a long sample that starts late. Surplus groups are not started. These are the
 * groups with the longest expected samples; one is started only when another group becomes longer than it.
 */

/** A sample that is waiting for a stream. */
export type StartCandidate = {
	readonly index: number;
	readonly group: number;
	/** Expected remaining tokens of the sample. */
	readonly remaining: number;
};

/** A group that is not complete yet. */
export type OpenGroup = {
	readonly group: number;
	/** Expected remaining tokens of its longest sample. */
	readonly longest: number;
};

/** Returns the surplus groups: all but the `required` shortest open ones. */
export function chooseSurplus(openGroups: readonly OpenGroup[], required: number): ReadonlySet<number> {
	const ordered = openGroups.toSorted((a, b) => a.longest - b.longest || a.group - b.group);
	return new Set(ordered.slice(Math.max(0, required)).map(entry => entry.group));
}

/** Orders samples: those of groups in `needed` first, then by descending expected remaining tokens. */
export function orderStarts<T extends StartCandidate>(candidates: readonly T[], needed: ReadonlySet<number>): readonly T[] {
	return candidates.toSorted((a, b) =>
		Number(needed.has(b.group)) - Number(needed.has(a.group))
		|| b.remaining - a.remaining
		|| a.index - b.index);
}
