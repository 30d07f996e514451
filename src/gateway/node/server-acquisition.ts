/** Chooses the server of a request and obtains the permit that the request needs if the server limits its requests. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {PermitUrgency} from '../../limits/common/permit-ledger.js';
import {planPermit} from '../../limits/common/permit-plan.js';
import type {ServerPermits} from '../../limits/common/server-permits.js';
import type {Dispatch} from '../../routing/common/router.js';

/** A request that needs a server. */
export type ServerWish = {
	/** Ids of the servers that may get the request. */
	readonly serverIds: () => readonly string[];
	/** Dispatches to one of the allowed servers that is usable, by load. */
	readonly dispatch: (allowed: readonly string[], now: number) => Result<Dispatch, Failure>;
	readonly urgency: PermitUrgency;
	/** Monotonic time at which the request arrived. */
	readonly arrivedAt: number;
	/** Time for which the request can wait from now on, in milliseconds. */
	readonly patienceMs: (now: number) => number;
};

/** Acquires servers for the requests of one daemon. */
export type ServerAcquisition = {
	/** Resolves with a dispatch to a server that takes the request, or with a refusal that says when to return. */
	readonly acquire: (wish: ServerWish) => Promise<Result<Dispatch, Failure>>;
};

/** Dependencies of the acquisition. */
export type ServerAcquisitionDependencies = {
	readonly permits: ServerPermits;
	/** Whether a server takes new requests, as far as this daemon knows. */
	readonly isUsable: (serverId: string, now: number) => boolean;
	readonly clock: Clock;
	readonly random: Random;
};

/** Number of servers that a request asks for a permit before it is refused. A background request returns later, so it asks fewer. */
const MAXIMUM_TRIES = {caller: 4, background: 2};
/** Minimum time after which a refused caller may return, in milliseconds. */
const MINIMUM_RETRY_AFTER_MS = 50;
/** Random variation of the time to return, so that refused callers do not return together. */
const RETRY_AFTER_JITTER = 0.2;

/** Creates the acquisition. */
export function createServerAcquisition({
	permits, isUsable, clock, random,
}: ServerAcquisitionDependencies): ServerAcquisition {
	function refuse(retryAfterMs: number): Result<Dispatch, Failure> {
		return err(createNotRun('overloaded', {step: 'obtain permit', peer: 'backend servers'}, 'all backend servers have reached their request limits', Math.max(MINIMUM_RETRY_AFTER_MS, jitter(retryAfterMs, RETRY_AFTER_JITTER, random))));
	}

	async function tryAcquire(wish: ServerWish, triesLeft: number): Promise<Result<Dispatch, Failure>> {
		const now = clock.monotonic();
		const options = wish.serverIds().map(serverId => ({serverId, waitMs: permits.waitMs(serverId, wish.urgency, now)}));
		const patienceMs = wish.patienceMs(now);
		const ready = options.filter(option => option.waitMs <= 0).map(option => option.serverId);
		const atOnce = wish.dispatch(ready, now);
		if (atOnce.isOk()) {
			// While other servers have no limit, the request does not wait for this one.
			const hasUnlimited = options.some(option => !permits.isLimited(option.serverId));
			return permits.isLimited(atOnce.value.server.id) ? confirm(atOnce.value, hasUnlimited ? 0 : patienceMs, wish, triesLeft) : atOnce;
		}

		// No server that could take the request now is usable, so the request waits for one that can take it later.
		const plan = planPermit(options.filter(option => option.waitMs > 0), patienceMs);
		if (plan.kind === 'refuse') {
			return plan.retryAfterMs > 0 ? refuse(plan.retryAfterMs) : atOnce;
		}

		const later = plan.serverIds.reduce<Result<Dispatch, Failure>>((chosen, serverId) => chosen.orElse(() => wish.dispatch([serverId], now)), atOnce);
		return later.isOk() ? confirm(later.value, patienceMs, wish, triesLeft) : later;
	}

	async function confirm(dispatch: Dispatch, patienceMs: number, wish: ServerWish, triesLeft: number): Promise<Result<Dispatch, Failure>> {
		const startedAt = clock.monotonic();
		const decision = await permits.obtain(dispatch.server.id, {urgency: wish.urgency, waitedMs: startedAt - wish.arrivedAt, patienceMs});
		// The server may have started to leave while the request waited.
		if (decision.isGranted && isUsable(dispatch.server.id, clock.monotonic())) {
			return ok(dispatch);
		}

		dispatch.end(clock.monotonic(), 'cancelled');
		return triesLeft > 1 ? tryAcquire(wish, triesLeft - 1) : refuse(decision.waitMs);
	}

	return {acquire: async wish => tryAcquire(wish, MAXIMUM_TRIES[wish.urgency])};
}
