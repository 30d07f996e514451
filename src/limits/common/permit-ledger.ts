/**
 * Grants permits for single requests to one server with a limit, on behalf of all daemons. Permits are whole requests, so that a
 * limit below one request a second can be divided as well, and so that many daemons do not need a burst each.
 *
 * Callers' requests are granted before background requests, which no caller waits for directly. One background request is granted
 * after every `CALLERS_PER_BACKGROUND` requests of callers, so that neither kind stops completely.
 */
import {createTokenBucket} from './token-bucket.js';

/** Who waits for a request: a caller, or nobody directly. */
export type PermitUrgency = 'caller' | 'background';

/** A request that waits for a permit. */
export type PermitWait = {
	readonly urgency: PermitUrgency;
	/** Time for which the request has already waited, in milliseconds. */
	readonly waitedMs: number;
	/** Time for which it can go on waiting, in milliseconds. */
	readonly patienceMs: number;
};

/** A decision on a request. */
export type PermitDecision = {
	readonly isGranted: boolean;
	/** Expected time until the next request of the same urgency would be granted, in milliseconds. */
	readonly waitMs: number;
};

/** The permits of one server. */
export type PermitLedger = {
	/** Sets the limit of the server, in requests a second, and the share of it that this ledger grants. */
	readonly configure: (perSecond: number, share: number, now: number) => void;
	/** Adds a request. `onDecided` is called once, immediately or by a later `settle`. */
	readonly request: (wait: PermitWait, onDecided: (decision: PermitDecision) => void, now: number) => void;
	/** Grants what is due, and denies what cannot be granted within its patience. Returns the time of the next change; infinite when nothing waits. */
	readonly settle: (now: number) => number;
	/** Denies all waiting requests, because the limit has ended or another daemon grants the permits from now on. */
	readonly close: (now: number) => void;
};

/** Burst of a server, in seconds of its limit. */
const BURST_SECONDS = 0.25;
/** Minimum burst, in requests. */
const MINIMUM_BURST = 3.5;
/** Permits that background requests leave to callers. */
const CALLERS_RESERVE = 2;
/** Requests of callers that are granted for one background request while both kinds wait. */
const CALLERS_PER_BACKGROUND = 4;

type Entry = {
	readonly urgency: PermitUrgency;
	readonly requestedAt: number;
	readonly expiresAt: number;
	readonly onDecided: (decision: PermitDecision) => void;
};

/** Creates a ledger that grants nothing until it is configured. The first permit is granted once it has accumulated. */
export function createPermitLedger(): PermitLedger {
	const bucket = createTokenBucket();
	let perSecond = 0;
	let capacity = 1;
	/** Waiting requests, oldest first. */
	let entries: readonly Entry[] = [];
	/** Requests of callers that were granted since the last background request, while one waited. */
	let callersInRow = 0;

	const listOf = (urgency: PermitUrgency): readonly Entry[] => entries.filter(entry => entry.urgency === urgency);
	const isBackgroundDue = (): boolean => callersInRow >= CALLERS_PER_BACKGROUND;

	function chooseNext(): Entry | undefined {
		const caller = listOf('caller').at(0);
		const background = listOf('background').at(0);
		return background === undefined || (caller !== undefined && !isBackgroundDue()) ? caller : background;
	}

	function unitsFor(urgency: PermitUrgency): number {
		return urgency === 'caller' || isBackgroundDue() ? 1 : 1 + Math.min(CALLERS_RESERVE, capacity - 1);
	}

	/** Expected time until a request with `ahead` others of its kind before it is granted. */
	function expectWait(urgency: PermitUrgency, ahead: number, now: number): number {
		const background = listOf('background').length;
		const others = urgency === 'caller'
			? Math.min(background, Math.floor((callersInRow + ahead) / CALLERS_PER_BACKGROUND))
			: Math.min(listOf('caller').length, CALLERS_PER_BACKGROUND * (ahead + 1));
		const units = ahead + others + unitsFor(urgency);
		// The bucket holds less than a long queue needs, so the rest is computed from the rate.
		const beyondBurst = Math.max(0, units - capacity);
		return bucket.waitMs(units - beyondBurst, now) + (beyondBurst === 0 ? 0 : beyondBurst * 1000 / perSecond);
	}

	function nextWait(urgency: PermitUrgency, now: number): number {
		return expectWait(urgency, listOf(urgency).length, now);
	}

	function grantDue(now: number): void {
		const next = chooseNext();
		if (next === undefined || bucket.waitMs(unitsFor(next.urgency), now) > 0) {
			return;
		}

		bucket.take(1, now);
		entries = entries.filter(entry => entry !== next);
		callersInRow = next.urgency === 'caller' && listOf('background').length > 0 ? callersInRow + 1 : 0;
		next.onDecided({isGranted: true, waitMs: nextWait(next.urgency, now)});
		grantDue(now);
	}

	function deny(denied: readonly Entry[], now: number): void {
		entries = entries.filter(entry => !denied.includes(entry));
		denied.forEach(entry => {
			entry.onDecided({isGranted: false, waitMs: nextWait(entry.urgency, now)});
		});
	}

	function settle(now: number): number {
		grantDue(now);
		deny(entries.filter(entry => entry.expiresAt <= now), now);
		const next = chooseNext();
		return next === undefined ? Number.POSITIVE_INFINITY : Math.min(now + bucket.waitMs(unitsFor(next.urgency), now), ...entries.map(entry => entry.expiresAt));
	}

	return {
		configure(limit, share, now) {
			perSecond = limit * share;
			capacity = Math.max(1, MINIMUM_BURST * share, perSecond * BURST_SECONDS);
			bucket.configure(perSecond, capacity, now);
		},
		request({urgency, waitedMs, patienceMs}, onDecided, now) {
			const requestedAt = now - waitedMs;
			const waitMs = expectWait(urgency, listOf(urgency).filter(entry => entry.requestedAt <= requestedAt).length, now);
			if (waitMs > patienceMs) {
				onDecided({isGranted: false, waitMs});
				return;
			}

			entries = [...entries, {
				urgency, requestedAt, expiresAt: now + patienceMs, onDecided,
			}].toSorted((a, b) => a.requestedAt - b.requestedAt);
			settle(now);
		},
		settle,
		close(now) {
			deny(entries, now);
		},
	};
}
