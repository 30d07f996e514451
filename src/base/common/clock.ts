/** Access to the time. Code that only decides has no clock but receives the current time as an argument. */

/** A source of the current time, in milliseconds. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never decreases. Use it for durations, leases and deadlines. */
	readonly monotonic: () => number;
	/** Milliseconds since the Unix epoch; may jump. Use it only in records for people. */
	readonly wall: () => number;
};
