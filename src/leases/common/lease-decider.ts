/**
 * Decides when one daemon acquires, renews and releases the lease of one shard.
 *
 * A holder counts its lease on its own monotonic clock from before the write was sent, less a margin. Nobody else sees
 * that clock: another daemon takes a lease over only after it has seen the object's version unchanged for the whole
 * duration plus a margin on its own clock. So clocks may run at rates that differ by as much as the margins cover.
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
	/** Delay, per place in the order of preference, before a less preferred daemon takes a free lease. */
	readonly standbyDelayMs: number;
};

/** A write that was sent and whose outcome matters later. */
type SentWrite = {
	readonly sequence: string;
	readonly kind: LeaseWrite['kind'];
	readonly sentAt: number;
};

/** All that the decider knows. */
export type LeaseState = {
	readonly observed: (LeaseSnapshot & {readonly since: number}) | undefined;
	readonly lastReadAt: number;
	/** Whether the object must be read before the next write. */
	readonly mustRead: boolean;
	/** Time before which nothing is sent to a store that has just failed. */
	readonly retryAt: number;
	readonly held: {readonly fencing: number; readonly renewedAt: number; readonly validUntil: number} | undefined;
	/** The write under way. */
	readonly pending: SentWrite | undefined;
	/** Writes whose answers were lost. */
	readonly doubtful: readonly SentWrite[];
};

/** A conditional write of the lease object. */
export type LeaseWrite = {
	readonly kind: 'acquire' | 'renew' | 'release';
	readonly sequence: string;
	readonly ifVersion: number;
	readonly record: LeaseRecord;
};

/** What to do next. */
export type LeaseAction
	= | {readonly kind: 'none'}
		| {readonly kind: 'read'}
		| {readonly kind: 'write'; readonly write: LeaseWrite};

/** How a write ended. */
export type LeaseOutcome
	= | {readonly kind: 'written'; readonly version: number}
		/** The version was another. */
		| {readonly kind: 'conflict'}
		/** The write certainly had no effect. */
		| {readonly kind: 'failed'}
		/** The answer was lost; the write may even take effect later. */
		| {readonly kind: 'unknown'};

/** The daemon's part in the shard at present. */
export type LeaseRole = {
	/** Place in the order of preference, 0 for the preferred daemon; undefined when the daemon must not acquire. */
	readonly rank: number | undefined;
	/** Whether a held lease is to be given up. */
	readonly yields: boolean;
};

/** Decides for one shard. */
export type LeaseDecider = {
	readonly decide: (role: LeaseRole, sequence: string, now: number) => LeaseAction;
	/** Takes in a read, whose answer may be old. */
	readonly observe: (snapshot: LeaseSnapshot, now: number) => void;
	/** Takes in the end of the write under way. */
	readonly settle: (outcome: LeaseOutcome, record: LeaseRecord, now: number) => void;
	/** The fencing number and end of the lease, if it is held at `now`. */
	readonly held: (now: number) => {readonly fencing: number; readonly validUntil: number} | undefined;
	readonly state: () => LeaseState;
};

/** Doubtful writes that are remembered. */
const MAXIMUM_DOUBTFUL = 8;

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

/** Places in the order of preference that watch a lease and take it over. Bounds the load on the store. */
export const CANDIDATES_PER_SHARD = 3;

/** Wait after a failed call, and between two reads that must precede a write. */
const RETRY_MS = 500;

/** Creates the decider of one shard; `initial` resumes a recorded state. */
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

	/** The time from which anyone may take the lease. */
	function freeAt(): number | undefined {
		const {observed} = state;
		if (observed === undefined) {
			return undefined;
		}

		const {record} = observed;
		// This very process knows that it has stopped acting on its own lapsed lease.
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

		if (role.yields) {
			// From before the release is sent, this daemon no longer acts.
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

		const free = freeAt();
		if (free !== undefined && now >= free + (rank * times.standbyDelayMs)) {
			return send('acquire', createRecord(false, undefined), sequence, now);
		}

		return now - state.lastReadAt >= times.renewMs ? startRead(now) : {kind: 'none'};
	}

	function startRead(now: number): LeaseAction {
		update({lastReadAt: now});
		return {kind: 'read'};
	}

	function hold(write: SentWrite, version: number, fencing: number): void {
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
	function applyOwn(write: SentWrite, version: number): void {
		if (write.kind === 'release') {
			update({held: undefined});
			return;
		}

		// A renewal continues a lease only while it is still held; otherwise the lease is taken anew.
		if (write.kind === 'acquire' || state.held !== undefined) {
			hold(write, version, state.held?.fencing ?? version);
		}
	}

	function settleWritten(write: SentWrite, version: number, record: LeaseRecord, now: number): void {
		// A read may have shown a later version, of another daemon, before the answer to this write came.
		if (state.observed && version < state.observed.version) {
			return;
		}

		update({
			observed: {
				version, record, ownSequence: write.sequence, since: now,
			}, doubtful: [],
		});
		applyOwn(write, version);
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
				update({retryAt: now + RETRY_MS});
				return startRead(now);
			}

			if (state.held) {
				return decideHolder(role, sequence, now);
			}

			return role.rank === undefined ? {kind: 'none'} : decideCandidate(role.rank, sequence, now);
		},
		observe(snapshot, now) {
			update({mustRead: false});
			// A store that answers an old read must not bring an older version back.
			if (state.observed && snapshot.version <= state.observed.version) {
				return;
			}

			const own = [...state.doubtful, ...(state.pending ? [state.pending] : [])].find(write => write.sequence === snapshot.ownSequence);
			update({observed: {...snapshot, since: now}, doubtful: []});
			if (own) {
				applyOwn(own, snapshot.version);
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
				update({retryAt: now + RETRY_MS});
			} else {
				const doubtful = outcome.kind === 'unknown' ? [...state.doubtful, pending].slice(-MAXIMUM_DOUBTFUL) : state.doubtful;
				update({doubtful, mustRead: true});
			}
		},
		held,
		state: () => state,
	};
}
