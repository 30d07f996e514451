/**
 * Decides whether the holder of the lease on orders may call the duties API. The lease may pass from one daemon to another and back within
 * a second, and a call of the former holder may be carried out late, so a new holder first makes no calls for a while.
 */

/** What a daemon may do at a time. */
export type DutyTerm = {
	/** Records the fencing number of the lease, undefined when it is not held. Returns the number, or undefined while no call may be made. */
	readonly observe: (fencing: number | undefined, now: number) => number | undefined;
	/** Begins the time without calls anew, because the clocks of this daemon show that it may have been suspended. */
	readonly restart: (now: number) => void;
	/** Time for which the present fencing number has been held, in milliseconds. */
	readonly heldForMs: (now: number) => number;
	/** Records that a subject has seen a higher fencing number. */
	readonly recordFenced: (subject: string, fencing: number) => void;
	/** Whether a subject must not be called with a fencing number any more. */
	readonly isFenced: (subject: string, fencing: number) => boolean;
};

/** Multiple of `leaseMs` for which a new holder waits if the platform does not check fencing numbers, so that late calls of the former holder come before its own. */
const UNCHECKED_FACTOR = 2;

/** Time from taking the lease until the first call. */
export function computeQuietMs(leaseMs: number, checksFencing: boolean): number {
	return checksFencing ? leaseMs : UNCHECKED_FACTOR * leaseMs;
}

/** Creates the state of a daemon that has not held the lease. */
export function createDutyTerm(quietMs: number): DutyTerm {
	let term: {readonly fencing: number; readonly since: number} | undefined;
	const fencedBySubject = new Map<string, number>();
	return {
		observe(fencing, now) {
			// The same number again means that nobody else has held the lease meanwhile.
			if (fencing !== undefined && fencing !== term?.fencing) {
				term = {fencing, since: now};
			}

			return fencing !== undefined && now - (term?.since ?? now) >= quietMs ? fencing : undefined;
		},
		restart(now) {
			term = term === undefined ? undefined : {...term, since: now};
		},
		heldForMs: now => (term === undefined ? 0 : now - term.since),
		recordFenced(subject, fencing) {
			fencedBySubject.set(subject, Math.max(fencing, fencedBySubject.get(subject) ?? fencing));
		},
		isFenced: (subject, fencing) => fencing <= (fencedBySubject.get(subject) ?? Number.NEGATIVE_INFINITY),
	};
}
