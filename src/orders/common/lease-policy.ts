/** When a daemon may take, must renew, and may use the lease on orders to engines. */

/** Time parameters of the lease, in milliseconds. */
export type LeaseTimes = {
	/** Time after its last renewal at which a silent holder's lease has lapsed. */
	readonly lapseMs: number;
	/** Time between renewals. */
	readonly renewMs: number;
	/** Time before the lapse at which the holder itself stops. */
	readonly marginMs: number;
};

/** Renewals that may fail before the lease lapses. */
const RENEWALS_PER_LAPSE = 3;
/** Share of the lapse by which clocks and pauses may differ. */
const MARGIN_SHARE = 0.15;

/** Derives the times from the time after which the platform counts a silent holder as gone. */
export function createLeaseTimes(leaseMs: number): LeaseTimes {
	const lapseMs = 2 * leaseMs;
	return {lapseMs, renewMs: lapseMs / RENEWALS_PER_LAPSE, marginMs: lapseMs * MARGIN_SHARE};
}

/** Whether the holder may still give orders. `renewedAt` is the time before its last successful renewal was sent. */
export function mayOrder(renewedAt: number, now: number, times: LeaseTimes): boolean {
	return now < renewedAt + times.lapseMs - times.marginMs;
}

/** What another daemon knows of the holder. */
export type HolderSight = {
	/** Monotonic time at which the lease object was first seen at its present revision. */
	readonly seenAt: number;
	/** The holder's process has certainly ended. */
	readonly isProcessGone: boolean;
	/** The holder gave the lease up. */
	readonly isReleased: boolean;
};

/** Whether another daemon may take the lease. */
export function mayTake(sight: HolderSight, now: number, times: LeaseTimes): boolean {
	return sight.isProcessGone || sight.isReleased || now - sight.seenAt >= times.lapseMs;
}
