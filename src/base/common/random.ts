/** A source of random numbers, passed as an argument so that tests can use a seeded one. */

/** Returns a number from 0 (included) to 1 (excluded). */
export type Random = () => number;

/** Randomises a duration by up to ±`share` of its length, so that many daemons do not act at the same moment. */
export function jitter(durationMs: number, share: number, random: Random): number {
	return durationMs * (1 + (share * ((2 * random()) - 1)));
}
