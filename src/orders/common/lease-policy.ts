/** Decides when a daemon may take, must renew and may use the lease on orders to engines. */

import {computeElapsedMs, type ClockReading} from '../../base/common/clock.js';

/** Time parameters of the lease, in milliseconds. */
export type LeaseTimes = {
	/** Lapse time of a lease whose holder acts all the time: short, because orders rest for it when the holder is lost. */
	readonly busyLapseMs: number;
	/** Lapse time of a lease whose holder acts rarely: longer, because each renewal is a call to the store. */
	readonly idleLapseMs: number;
	/** Shortest time between the last action of a term and the first of the same daemon's next term, if another daemon has held the lease between. */
	readonly turnMs: number;
	/** Time without a way to the engines after which the holder stops. */
	readonly lostReachMs: number;
	/** Time for which a daemon must have reached the engines before it takes the lease. */
	readonly soundReachMs: number;
	/** Time after its last renewal at which a holder that could not renew the lease no longer counts as one. */
	readonly expiryMs: number;
};

/** Shares of `leaseMs` after which the lease of a busy holder lapses, and that of another. */
const BUSY_SHARE = 2 / 3;
const IDLE_SHARE = 1.2;
/** Actions from one renewal to the next from which on a holder is busy. */
const BUSY_ACTIONS = 4;
/** Share of the lapse time between renewals; a renewal and one repetition of it fit into the rest. */
const RENEWAL_SHARE = 0.75;
/**
 * Share of the lapse time that covers differences between clocks, pauses of processes and the way of the last action to its server: the holder
 * stops this long before the lapse, and all that it has sent is answered or given up by then.
 */
const MARGIN_SHARE = 0.15;
/** Share of `leaseMs` for which a way to the engines must be lost, or found, before the lease moves, so that links that come and go do not move it. */
const REACH_SHARE = 0.4;
const EXPIRY_FACTOR = 4;
/** Earlier builds do not store the lapse time of their leases: it is this multiple of `leaseMs`. */
const EARLIER_LAPSE_FACTOR = 2;

/** Derives the times from `leaseMs`, within which holders must not take turns. */
export function createLeaseTimes(leaseMs: number): LeaseTimes {
	return {
		busyLapseMs: leaseMs * BUSY_SHARE,
		idleLapseMs: leaseMs * IDLE_SHARE,
		turnMs: leaseMs,
		lostReachMs: leaseMs * REACH_SHARE,
		soundReachMs: leaseMs * REACH_SHARE,
		expiryMs: leaseMs * EXPIRY_FACTOR,
	};
}

/** The lapse time with which a holder renews the lease after it has begun so many actions since the last renewal. */
export function chooseLapseMs(actions: number, {busyLapseMs, idleLapseMs}: LeaseTimes): number {
	return actions >= BUSY_ACTIONS ? busyLapseMs : idleLapseMs;
}

/** The lapse time of a stored lease: its holder's own, because the daemons of a fleet may run different builds. */
export function readLapseMs(storedLapseMs: number | undefined, times: LeaseTimes): number {
	return storedLapseMs ?? times.turnMs * EARLIER_LAPSE_FACTOR;
}

/** Time between renewals of a lease. */
export function computeRenewalMs(lapseMs: number): number {
	return lapseMs * RENEWAL_SHARE;
}

/** Time for which the holder may still act; 0 or less if it may not. `renewedAt` is the time at which it sent its last successful renewal. */
export function computeRemainingMs(renewedAt: ClockReading, now: ClockReading, lapseMs: number): number {
	return (lapseMs * (1 - MARGIN_SHARE)) - computeElapsedMs(renewedAt, now);
}

/** What another daemon knows about the lease. */
export type ObservedTerm = {
	/** Latest monotonic time at which the last renewal can have been sent. */
	readonly renewedBy: number;
	readonly lapseMs: number;
	/** The holder has released the lease, and all that it had sent was answered. */
	readonly isReleased: boolean;
};

/**
 * Whether another daemon may take the lease. Nothing but a release and the time decides: neither a refused connection, which a partition causes
 * as well, nor another run of the holder's process, which may answer while the last order of the run before is still under way.
 */
export function canTake({renewedBy, lapseMs, isReleased}: ObservedTerm, now: number): boolean {
	return isReleased || now - renewedBy >= lapseMs;
}

/** Number of earlier holders that the lease names. */
const REMEMBERED_HOLDERS = 4;

/** Names of the daemons that have held a lease, the last one first, after one more has held it. */
export function addHolder(holder: string | undefined, earlier: readonly string[]): readonly string[] {
	return [...(holder === undefined ? [] : [holder]), ...earlier.filter(name => name !== holder)].slice(0, REMEMBERED_HOLDERS);
}

/** Earliest monotonic time at which a daemon may act in a new term. `lastActedAt` is that of its last action, or of its start if it has not acted since. */
export function computeFirstActionAt(self: string, earlierHolders: readonly string[], lastActedAt: number, {turnMs}: LeaseTimes): number {
	return earlierHolders.indexOf(self) > 0 ? lastActedAt + turnMs : Number.NEGATIVE_INFINITY;
}
