/** Random numbers as deciders see them: a function passed in, so that tests can seed it. */

/** Returns a number from 0 (included) to 1 (excluded). */
export type Random = () => number;

/** Spreads a duration over ±`share` of itself so that many daemons do not act at the same moment. */
export function jitter(durationMs: number, share: number, random: Random): number {
	return durationMs * (1 + (share * ((2 * random()) - 1)));
}
