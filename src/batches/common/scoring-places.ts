/** How many scoring calls one daemon has under way at once. */

/** Fewest calls at once, on deployments of a few servers. */
const FEWEST_CALLS = 8;
/** Share of all places of plain servers that the scoring of one daemon takes: callers' own requests go first on the rest, and at the servers. */
const PLACES_SHARE = 0.5;

/** The number of calls for so many places of all plain servers together. */
export function countScoringCalls(places: number): number {
	return Math.max(FEWEST_CALLS, Math.floor(places * PLACES_SHARE));
}
