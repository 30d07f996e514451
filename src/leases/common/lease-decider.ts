/**
 * Decides when one daemon acquires, renews and releases the lease of one shard.
 *
 * A holder measures its lease on its own monotonic clock, from before the write was sent, and subtracts a margin. Other
 * daemons don't see that clock: they take a lease over only after the object's version was unchanged for the complete
 * duration plus a margin on their own clock. So clock rates may differ by as much as the margins cover.
 */
import type {LeaseRecord, LeaseSnapshot} from './lease-record.js';

/** The identity of the deciding daemon. */
export type LeaseCandidate = {
	readonly daemonId: string;
	readonly incarnation: number;
	readonly address: string;
	readonly peerPort: number;
};

/** Times of a lease, in milliseconds. */
export type LeaseTimes = {
	readonly durationMs: number;
	readonly renewMs: number;
	readonly marginMs: number;
	/** Delay per rank in the order of preference before a less preferred daemon takes a free lease. */
	readonly standbyDelayMs: number;
};

/** A write that was sent, kept until its outcome is known. */
type SentWrite = {
	readonly sequence: string;
	readonly kind: LeaseWrite['kind'];
	readonly sentAt: number;
};

/** The complete state of a decider. */
export type LeaseState = {
	/** The newest known version of the lease object, and the monotonic time at which it was first seen. */
	readonly observed: (LeaseSnapshot & {readonly since: number}) | undefined;
	readonly lastReadAt: number;
	/** Whether the object must be read before the next write. */
	readonly mustRead: boolean;
	/** Time before which no call is sent, after a call of the store has failed. */
	readonly retryAt: number;
	readonly held: {readonly fencing: number; readonly renewedAt: number; readonly validUntil: number} | undefined;
	/** The pending write. */
	readonly pending: SentWrite | undefined;
	/** Writes with an unknown outcome, because their answers were lost. */
	readonly doubtful: readonly SentWrite[];
};

/** A conditional write of the lease object. */
export type LeaseWrite = {
	readonly kind: 'acquire' | 'renew' | 'release';
	readonly sequence: string;
	readonly ifVersion: number;
	readonly record: LeaseRecord;
};

/** The next action of the daemon. */
export type LeaseAction
	= | {readonly kind: 'none'}
		| {readonly kind: 'read'}
		| {readonly kind: 'write'; readonly write: LeaseWrite};

/** The outcome of a write. */
export type LeaseOutcome
	= | {readonly kind: 'written'; readonly version: number}
		/** The object had another version than `ifVersion`. */
		| {readonly kind: 'conflict'}
		/** The write certainly had no effect. */
		| {readonly kind: 'failed'}
		/** The answer was lost; the write may have taken effect or may still take effect later. */
		| {readonly kind: 'unknown'};

/** The daemon's current role in the shard. */
export type LeaseRole = {
	/** Rank in the order of preference, 0 for the preferred daemon; undefined when the daemon must not acquire the lease. */
	readonly rank: number | undefined;
	/** Whether a held lease must be released. */
	readonly mustRelease: boolean;
};

/** The decider of one shard. */
export type LeaseDecider = {
	/** Returns the next action; `sequence` identifies the write if the action is one. */
	readonly decide: (role: LeaseRole, sequence: string, now: number) => LeaseAction;
	/** Applies the result of a read, which may be outdated. */
	readonly observe: (snapshot: LeaseSnapshot, now: number) => void;
	/** Applies the outcome of the pending write. */
	readonly settle: (outcome: LeaseOutcome, record: LeaseRecord, now: number) => void;
	/** The fencing number and end of the lease, if it is held at `now`. */
	readonly held: (now: number) => {readonly fencing: number; readonly validUntil: number} | undefined;
	readonly state: () => LeaseState;
};

/** Maximum number of writes with unknown outcome that are kept. */
const MAXIMUM_DOUBTFUL_WRITES = 8;

/** The state before the first read. */
export const initialLeaseState: LeaseState = {
	observed: undefined,
	lastReadAt: Number.NEGATIVE_INFINITY,
	mustRead: false,
	retryAt: Number.NEGATIVE_INFINITY,
	held: undefined,
	pending: undefined,
	doubtful: [],
};

/** Number of daemons, in order of preference, that watch a lease and take it over. Bounds the load on the store. */
export const CANDIDATES_PER_SHARD = 3;

/** Interval after a failed call, and between attempts of a read that must precede the next write. */
const RETRY_INTERVAL_MS = 500;

/** Creates the decider of one shard; `initial` resumes from a recorded state. */
export function createLeaseDecider(self: LeaseCandidate, times: LeaseTimes, initial: LeaseState = initialLeaseState): LeaseDecider {
	let state = initial;

	function update(changes: Partial<LeaseState>): void {
		state = {...state, ...changes};
	}

	function held(now: number) {
		return state.held && now < state.held.validUntil ? state.held : undefined;
	}

	function isOwn(record: LeaseRecord): boolean {
		return record.daemonId === self.daemonId && record.incarnation === self.incarnation;
	}

	/** The time from which any daemon may take the lease; undefined before the first read. */
	function availableAt(): number | undefined {
		const {observed} = state;
		if (observed === undefined) {
			return undefined;
		}

		const {record} = observed;
		// This process knows that it no longer acts on its own expired lease, so it doesn't wait for the duration.
		return record === undefined || record.released || isOwn(record)
			? observed.since
			: observed.since + record.durationMs + times.marginMs;
	}

	function createRecord(released: boolean, fencing: number | undefined): LeaseRecord {
		return {
			...state.observed?.record, ...self, durationMs: times.durationMs, released, fencing,
		};
	}

	function send(kind: LeaseWrite['kind'], record: LeaseRecord, sequence: string, now: number): LeaseAction {
		update({pending: {sequence, kind, sentAt: now}});
		const ifVersion = state.observed?.version ?? 0;
		return {
			kind: 'write', write: {
				kind, sequence, ifVersion, record,
			},
		};
	}

	function decideHolder(role: LeaseRole, sequence: string, now: number): LeaseAction {
		const current = state.held;
		if (current === undefined) {
			return {kind: 'none'};
		}

		if (role.mustRelease) {
			// The lease ends before the release is sent, so that this daemon no longer acts when another one takes it.
			update({held: undefined});
			return send('release', createRecord(true, current.fencing), sequence, now);
		}

		return now - current.renewedAt >= times.renewMs
			? send('renew', createRecord(false, current.fencing), sequence, now)
			: {kind: 'none'};
	}

	function decideCandidate(rank: number, sequence: string, now: number): LeaseAction {
		if (rank >= CANDIDATES_PER_SHARD) {
			return {kind: 'none'};
		}

		const available = availableAt();
		if (available !== undefined && now >= available + (rank * times.standbyDelayMs)) {
			return send('acquire', createRecord(false, undefined), sequence, now);
		}

		return now - state.lastReadAt >= times.renewMs ? startRead(now) : {kind: 'none'};
	}

	function startRead(now: number): LeaseAction {
		update({lastReadAt: now});
		return {kind: 'read'};
	}

	function recordHeld(write: SentWrite, version: number, fencing: number): void {
		const isRenewal = write.kind === 'renew' && state.held !== undefined;
		update({
			held: {
				fencing: isRenewal ? fencing : version,
				renewedAt: write.sentAt,
				validUntil: write.sentAt + times.durationMs - times.marginMs,
			},
		});
	}

	/** Applies a write of this daemon that is known to have taken effect. */
	function applyOwnWrite(write: SentWrite, version: number): void {
		if (write.kind === 'release') {
			update({held: undefined});
			return;
		}

		// A renewal extends a lease only while it is still held. Without a held lease it is not applied, and the daemon must acquire again.
		if (write.kind === 'acquire' || state.held !== undefined) {
			recordHeld(write, version, state.held?.fencing ?? version);
		}
	}

	function settleWritten(write: SentWrite, version: number, record: LeaseRecord, now: number): void {
		// A read may have returned a later version, by another daemon, before the answer to this write arrived.
		if (state.observed && version < state.observed.version) {
			return;
		}

		update({
			observed: {
				version, record, ownSequence: write.sequence, since: now,
			}, doubtful: [],
		});
		applyOwnWrite(write, version);
	}

	return {
		decide(role, sequence, now) {
			if (state.held && now >= state.held.validUntil) {
				update({held: undefined});
			}

			if (state.pending !== undefined || now < state.retryAt) {
				return {kind: 'none'};
			}

			if (state.mustRead) {
				update({retryAt: now + RETRY_INTERVAL_MS});
				return startRead(now);
			}

			if (state.held) {
				return decideHolder(role, sequence, now);
			}

			return role.rank === undefined ? {kind: 'none'} : decideCandidate(role.rank, sequence, now);
		},
		observe(snapshot, now) {
			update({mustRead: false});
			// An outdated read must not replace a newer version.
			if (state.observed && snapshot.version <= state.observed.version) {
				return;
			}

			const own = [...state.doubtful, ...(state.pending ? [state.pending] : [])].find(write => write.sequence === snapshot.ownSequence);
			update({observed: {...snapshot, since: now}, doubtful: []});
			if (own) {
				applyOwnWrite(own, snapshot.version);
			} else if (snapshot.ownSequence === undefined) {
				update({held: undefined});
			}
		},
		settle(outcome, record, now) {
			const {pending} = state;
			if (pending === undefined) {
				return;
			}

			update({pending: undefined});
			if (outcome.kind === 'written') {
				settleWritten(pending, outcome.version, record, now);
			} else if (outcome.kind === 'failed') {
				update({retryAt: now + RETRY_INTERVAL_MS});
			} else {
				const doubtful = outcome.kind === 'unknown' ? [...state.doubtful, pending].slice(-MAXIMUM_DOUBTFUL_WRITES) : state.doubtful;
				update({doubtful, mustRead: true});
			}
		},
		held,
		state: () => state,
	};
}
