/**
 * Decides what happens to a request whose servers limit how many requests they take: it is sent to a server that takes it now, waits
 * for the server that will take it first, or is refused at once with the time after which it may come back.
 *
 * A caller's request waits only as long as it can still be answered within its target time, so that requests do not all become late
 * when more arrive than the servers take. A background request, such as a scoring call, waits until its own deadline.
 */
import type {PermitUrgency} from './permit-ledger.js';

/** A server that could take a request. */
export type PermitOption = {
	readonly serverId: string;
	/** Expected time until the server takes the request, in milliseconds. */
	readonly waitMs: number;
};

/** What happens to a request. */
export type PermitPlan
	= | {readonly kind: 'send'; readonly serverIds: readonly string[]}
	/** The servers to wait for, the first to take the request first. */
		| {readonly kind: 'wait'; readonly serverIds: readonly string[]}
		| {readonly kind: 'refuse'; readonly retryAfterMs: number};

/** The times of a request, in milliseconds. */
export type RequestTimes = {
	readonly elapsedMs: number;
	readonly remainingMs: number;
	/** Target response time; 0 when there is none. */
	readonly goalMs: number;
};

/** Share of the target response time that a caller's request may wait; the rest is left for its run. */
const CALLER_WAIT_SHARE = 0.6;
/** Share of the time to its deadline that a caller's request may wait when it has no target. */
const UNTARGETED_WAIT_SHARE = 0.25;
/** Time that a run needs at least before the deadline. */
const MINIMUM_RUN_MS = 20;

/** Returns how long a request may wait for a permit from now on, in milliseconds. */
export function computePatience(urgency: PermitUrgency, {elapsedMs, remainingMs, goalMs}: RequestTimes): number {
	const untilDeadline = Math.max(0, remainingMs - MINIMUM_RUN_MS);
	const target = goalMs > 0 ? (CALLER_WAIT_SHARE * goalMs) - elapsedMs : UNTARGETED_WAIT_SHARE * remainingMs;
	return urgency === 'background' ? untilDeadline : Math.max(0, Math.min(untilDeadline, target));
}

/** Plans a request; `options` are the servers that may get it. */
export function planPermit(options: readonly PermitOption[], patienceMs: number): PermitPlan {
	const ready = options.filter(option => option.waitMs <= 0);
	if (ready.length > 0) {
		return {kind: 'send', serverIds: ready.map(option => option.serverId)};
	}

	const sorted = options.toSorted((a, b) => a.waitMs - b.waitMs);
	const patient = sorted.filter(option => option.waitMs <= patienceMs);
	return patient.length > 0
		? {kind: 'wait', serverIds: patient.map(option => option.serverId)}
		: {kind: 'refuse', retryAfterMs: sorted[0]?.waitMs ?? 0};
}
