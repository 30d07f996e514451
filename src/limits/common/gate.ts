/** Admission on one daemon: the share of the plan's grant first, then a fair place in the queue of the pool. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Random} from '../../base/common/random.js';
import type {Grant} from '../../plans/common/lists.js';
import type {Admission, AdmissionRequest, Ticket} from './admission.js';
import {createDrainRate} from './drain-rate.js';
import {createLimitQueue, type Allowance, type LimitQueue} from './limit-queue.js';
import {createPoolQueue, type PoolQueue} from './pool-queue.js';

/** What admission rests on. */
export type GateParts = {
	readonly grantOf: (plan: string, pool: string) => Grant | undefined;
	readonly weightOf: (plan: string) => number;
	/** This daemon's share of a grant, from 0 to 1. */
	readonly fractionOf: (plan: string, pool: string, now: number) => number;
	/** Requests of the pool that this daemon may run at once. */
	readonly concurrencyOf: (pool: string, running: number) => number;
	readonly random: Random;
};

/** Demand for one grant at this daemon. */
export type GrantDemand = {
	readonly plan: string;
	readonly pool: string;
	/** Demand as a fraction of the whole grant; above 1 when callers ask for more. */
	readonly fraction: number;
	/** Whether a demand above the burst is not paid for yet, so that the share must not be given up. */
	readonly inDebt: boolean;
};

/** The admission of a daemon with its controls. */
export type Gate = Admission & {
	/** Applies changed shares and limits, starts what may start and refuses what is too late. */
	readonly tick: (now: number) => void;
	readonly demands: (now: number) => readonly GrantDemand[];
	readonly waiting: (pool: string) => number;
};

type Limited = {
	readonly plan: string;
	readonly pool: string;
	readonly queue: LimitQueue;
};

const INITIAL_RUN_MS = 200;

/** Returns what a fraction of a grant allows. A burst has room for at least one request of the whole grant. */
export function allowanceOf(grant: Grant, fraction: number): Allowance {
	return {
		requestsPerSecond: grant.requestsPerSecond * fraction,
		tokensPerSecond: grant.tokensPerSecond === undefined ? undefined : grant.tokensPerSecond * fraction,
		burstRequests: Math.max(1, grant.requestsPerSecond * grant.burstSeconds) * fraction,
		burstTokens: (grant.tokensPerSecond ?? 0) * grant.burstSeconds * fraction,
	};
}

function remember<T>(known: Map<string, T>, key: string, create: () => T): T {
	const found = known.get(key) ?? create();
	known.set(key, found);
	return found;
}

/** Creates the admission of a daemon. */
export function createGate(parts: GateParts): Gate {
	const limits = new Map<string, Limited>();
	const pools = new Map<string, PoolQueue>();
	let latest = 0;

	function configure(limited: Limited, grant: Grant | undefined, now: number): void {
		const fraction = grant === undefined ? 0 : parts.fractionOf(limited.plan, limited.pool, now);
		const effective = grant ?? {
			plan: limited.plan, pool: limited.pool, requestsPerSecond: 0, burstSeconds: 1,
		};
		limited.queue.configure(allowanceOf(effective, fraction), now);
	}

	function limitOf(request: AdmissionRequest, grant: Grant, now: number): LimitQueue {
		const {plan, pool} = request;
		const limited = remember(limits, `${plan}/${pool}`, () => ({plan, pool, queue: createLimitQueue(`${plan}/${pool}`, parts.random)}));
		configure(limited, grant, now);
		return limited.queue;
	}

	function queueOf(pool: string): PoolQueue {
		return remember(pools, pool, () => createPoolQueue(pool, createDrainRate(INITIAL_RUN_MS), parts.random));
	}

	function createTicket(limit: LimitQueue, end: (now: number) => void, reserved: number): Ticket {
		let open = true;
		return {
			release(now, tokens) {
				if (!open) {
					return;
				}

				open = false;
				end(now);
				limit.giveBackTokens(Math.max(0, reserved - tokens), now);
			},
		};
	}

	function demandOf(limited: Limited, now: number): GrantDemand {
		const grant = parts.grantOf(limited.plan, limited.pool);
		const demand = limited.queue.demand(now);
		const requests = grant && grant.requestsPerSecond > 0 ? demand.requestsPerSecond / grant.requestsPerSecond : 0;
		const tokens = grant?.tokensPerSecond ? demand.tokensPerSecond / grant.tokensPerSecond : 0;
		return {
			plan: limited.plan, pool: limited.pool, fraction: Math.max(requests, tokens), inDebt: limited.queue.inDebt(now),
		};
	}

	async function enterPool(request: AdmissionRequest, limit: LimitQueue, signal: AbortSignal): Promise<Result<Ticket, Failure>> {
		// The wait for the share has taken time.
		const now = latest;
		const queue = queueOf(request.pool);
		queue.setConcurrency(parts.concurrencyOf(request.pool, queue.running()));
		const place = await queue.enter({
			plan: request.plan, weight: parts.weightOf(request.plan), cost: Math.max(1, request.tokens), deadline: request.deadline,
		}, now, signal);
		if (place.isErr()) {
			limit.giveBack(request.tokens, now);
			return err(place.error);
		}

		return ok(createTicket(limit, place.value.end, request.tokens));
	}

	return {
		async admit(request, now, signal) {
			latest = Math.max(latest, now);
			const grant = parts.grantOf(request.plan, request.pool);
			if (grant === undefined) {
				return err(createNotRun('unauthorized', {step: 'check grant', peer: request.pool}, `plan ${request.plan} has no grant for the pool`));
			}

			const limit = limitOf(request, grant, now);
			const within = await limit.enter(request.tokens, request.deadline, now, signal);
			return within.isErr() ? err(within.error) : enterPool(request, limit, signal);
		},
		tick(now) {
			latest = Math.max(latest, now);
			[...limits.values()].forEach(limited => {
				configure(limited, parts.grantOf(limited.plan, limited.pool), now);
				limited.queue.tick(now);
			});
			[...pools].forEach(([pool, queue]) => {
				queue.setConcurrency(parts.concurrencyOf(pool, queue.running()));
				queue.tick(now);
			});
		},
		demands: now => [...limits.values()].map(limited => demandOf(limited, now)),
		waiting: pool => pools.get(pool)?.waiting() ?? 0,
	};
}
