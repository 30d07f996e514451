/** Lease deciders with one mechanism switched off each. */
import {CANDIDATES_PER_SHARD, createLeaseDecider, type LeaseDecider} from '../../src/leases/common/lease-decider.js';

/** Creates the decider of a shard. */
export type DeciderFactory = typeof createLeaseDecider;

/** Takes a lease over without waiting for the old holder's end. */
export const impatient: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {
		...inner,
		observe(snapshot, now) {
			const record = snapshot.record && {...snapshot.record, durationMs: -times.marginMs};
			inner.observe({...snapshot, record}, now);
		},
	};
};

/** Goes on holding a lease past its end until the store has shown another holder. */
export const endless: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	let last: ReturnType<LeaseDecider['held']>;
	return {
		...inner,
		held(now) {
			const held = inner.held(now) ?? last;
			last = held;
			return held;
		},
	};
};

/** Takes a free lease at once, so that nothing but the margins keeps two holders apart. */
export const prompt: DeciderFactory = (self, times, initial) => createLeaseDecider(self, {...times, standbyDelayMs: 0}, initial);

/** Counts the lease without its margin, against a takeover without its margin. */
export const marginless: DeciderFactory = (self, times, initial) => prompt(self, {...times, marginMs: 0}, initial);

/** Leaves a free lease to the preferred daemon. */
export const unassisted: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {...inner, decide: (role, sequence, now) => inner.decide({...role, rank: role.rank === 0 ? 0 : undefined}, sequence, now)};
};

/** Contends for every lease, whatever its place. */
export const contending: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {
		...inner,
		decide: (role, sequence, now) => inner.decide({...role, rank: role.rank && Math.min(role.rank, CANDIDATES_PER_SHARD - 1)}, sequence, now),
	};
};

/** Keeps its leases on leaving. */
export const keeping: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {...inner, decide: (role, sequence, now) => inner.decide({...role, mustRelease: false}, sequence, now)};
};

/** Goes on after a write without an answer or with a conflict as if the object had not changed. */
export const blind: DeciderFactory = (self, times, initial) => {
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
