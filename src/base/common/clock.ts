/** Access to the time. Code that only decides has no clock but receives the current time as an argument. */

/** A source of the current time, in milliseconds. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never decreases. Use it for durations, leases and deadlines. */
	readonly monotonic: () => number;
	/** Milliseconds since the Unix epoch; may jump. Use it in records for people, and beside the monotonic time where a suspension of the VM matters. */
	readonly wall: () => number;
};

/** One reading of both clocks of a daemon. */
export type ClockReading = {
	readonly monotonic: number;
	readonly wall: number;
};

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
	return {monotonic: clock.monotonic(), wall: clock.wall()};
}

/**
 * The time that has passed by the clock on which more has. The monotonic clock stands still while a VM is suspended and the wall clock
 * may be set back, so what is valid for a limited time is only trusted while both say so. A wall clock set forward ends it early.
 */
export function computeElapsedMs(since: ClockReading, now: ClockReading): number {
	return Math.max(now.monotonic - since.monotonic, now.wall - since.wall);
}
