/** Lease deciders that each have one mechanism switched off. */
import {CANDIDATES_PER_SHARD, createLeaseDecider, type LeaseDecider} from '../../src/leases/common/lease-decider.js';

/** Creates the decider of a shard. */
export type DeciderFactory = typeof createLeaseDecider;

/** Takes a lease over without waiting until the lease of the previous holder has expired. */
export const withoutTakeoverWait: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {
		...inner,
		observe(snapshot, now) {
			const record = snapshot.record && {...snapshot.record, durationMs: -times.marginMs};
			inner.observe({...snapshot, record}, now);
		},
	};
};

/** Continues to hold an expired lease until the store shows another holder. */
export const withoutExpiry: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	let lastHeld: ReturnType<LeaseDecider['held']>;
	return {
		...inner,
		held(now) {
			const held = inner.held(now) ?? lastHeld;
			lastHeld = held;
			return held;
		},
	};
};

/** Takes a free lease without the standby delay, so that only the margins prevent two holders at the same time. */
export const withoutStandbyDelay: DeciderFactory = (self, times, initial) => createLeaseDecider(self, {...times, standbyDelayMs: 0}, initial);

/** Omits the margins of the holder and of the daemon that takes over, and the standby delay. */
export const withoutMargins: DeciderFactory = (self, times, initial) => withoutStandbyDelay(self, {...times, marginMs: 0}, initial);

/** Lets only the preferred daemon take a free lease. */
export const withoutStandbys: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {...inner, decide: (role, sequence, now) => inner.decide({...role, rank: role.rank === 0 ? 0 : undefined}, sequence, now)};
};

/** Tries to acquire every lease, whatever the daemon's rank. */
export const withoutCandidateLimit: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {
		...inner,
		decide: (role, sequence, now) => inner.decide({...role, rank: role.rank && Math.min(role.rank, CANDIDATES_PER_SHARD - 1)}, sequence, now),
	};
};

/** Doesn't release the leases of a daemon that leaves. */
export const withoutRelease: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {...inner, decide: (role, sequence, now) => inner.decide({...role, mustRelease: false}, sequence, now)};
};

/** Continues after a conflict or a lost answer as if the object had not changed, without reading it back. */
export const withoutReadBack: DeciderFactory = (self, times, initial) => {
	let inner = createLeaseDecider(self, times, initial);
	return {
		decide: (role, sequence, now) => inner.decide(role, sequence, now),
		observe(snapshot, now) {
			inner.observe(snapshot, now);
		},
		settle(outcome, record, now) {
			inner.settle(outcome, record, now);
			inner = createLeaseDecider(self, times, {...inner.state(), mustRead: false});
		},
		held: now => inner.held(now),
		state: () => inner.state(),
	};
};
