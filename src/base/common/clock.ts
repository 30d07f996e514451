/** Time as the outermost layer reads it. Deciders never hold a clock: they are given the present time as an argument. */

/** A source of the present time, in milliseconds. */
export type Clock = {
	/** Milliseconds since an arbitrary start; never goes back. Use it for durations, leases and deadlines. */
	readonly monotonic: () => number;
	/** Milliseconds since the Unix epoch; may jump. Use it only in records meant for people. */
	readonly wall: () => number;
};
