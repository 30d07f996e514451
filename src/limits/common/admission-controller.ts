/** Admission on one daemon: checks this daemon's share of the plan's grant first, then enters the fair queue of the pool. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Random} from '../../base/common/random.js';
import type {Grant} from '../../plans/common/lists.js';
import type {Admission, AdmissionRequest, Ticket} from './admission.js';
import {createDrainRate} from './drain-rate.js';
import {createLimitQueue, type Allowance, type LimitQueue} from './limit-queue.js';
import {createPoolQueue, type PoolQueue} from './pool-queue.js';

/** Dependencies of admission. */
export type AdmissionControllerDependencies = {
	readonly grantOf: (plan: string, pool: string) => Grant | undefined;
	/** Weight of a plan in the fair queues of the pools. */
	readonly weightOf: (plan: string) => number;
	/** This daemon's share of a grant, from 0 to 1. */
	readonly fractionOf: (plan: string, pool: string, now: number) => number;
	/** Requests of the pool that this daemon may run at once. */
	readonly concurrencyOf: (pool: string, running: number) => number;
	readonly random: Random;
};

/** Demand for one grant on this daemon. */
export type GrantDemand = {
	readonly plan: string;
	readonly pool: string;
	/** Demand as a fraction of the complete grant; above 1 when callers ask for more than the grant. */
	readonly fraction: number;
	/** Whether a bucket is in debt from a demand above the burst, in which case the share must not be lowered. */
	readonly inDebt: boolean;
};

/** Admission with the operations that its daemon calls periodically. */
export type AdmissionController = Admission & {
	/** Applies changed shares and limits, starts the requests that may start and refuses those that can no longer finish in time. */
	readonly tick: (now: number) => void;
	readonly demands: (now: number) => readonly GrantDemand[];
	readonly waiting: (pool: string) => number;
};

type GrantEntry = {
	readonly plan: string;
	readonly pool: string;
	readonly queue: LimitQueue;
};

const INITIAL_RUN_MS = 200;

/** Returns the allowance for a fraction of a grant. The burst of the complete grant is at least one request. */
export function allowanceOf(grant: Grant, fraction: number): Allowance {
	return {
		requestsPerSecond: grant.requestsPerSecond * fraction,
		tokensPerSecond: grant.tokensPerSecond === undefined ? undefined : grant.tokensPerSecond * fraction,
		burstRequests: Math.max(1, grant.requestsPerSecond * grant.burstSeconds) * fraction,
		burstTokens: (grant.tokensPerSecond ?? 0) * grant.burstSeconds * fraction,
	};
}

function getOrCreate<T>(known: Map<string, T>, key: string, create: () => T): T {
	const found = known.get(key) ?? create();
	known.set(key, found);
	return found;
}

/** Creates the admission controller of a daemon. */
export function createAdmissionController(dependencies: AdmissionControllerDependencies): AdmissionController {
	const grantEntries = new Map<string, GrantEntry>();
	const pools = new Map<string, PoolQueue>();
	let latestTime = 0;

	function configure(entry: GrantEntry, grant: Grant | undefined, now: number): void {
		const fraction = grant === undefined ? 0 : dependencies.fractionOf(entry.plan, entry.pool, now);
		const effective = grant ?? {
			plan: entry.plan, pool: entry.pool, requestsPerSecond: 0, burstSeconds: 1,
		};
		entry.queue.configure(allowanceOf(effective, fraction), now);
	}

	function limitOf(request: AdmissionRequest, grant: Grant, now: number): LimitQueue {
		const {plan, pool} = request;
		const entry = getOrCreate(grantEntries, `${plan}/${pool}`, () => ({plan, pool, queue: createLimitQueue(`${plan}/${pool}`, dependencies.random)}));
		configure(entry, grant, now);
		return entry.queue;
	}

	function queueOf(pool: string): PoolQueue {
		return getOrCreate(pools, pool, () => createPoolQueue(pool, createDrainRate(INITIAL_RUN_MS), dependencies.random));
	}

	function createTicket(limit: LimitQueue, end: (now: number) => void, reserved: number): Ticket {
		let isOpen = true;
		return {
			release(now, tokens) {
				if (!isOpen) {
					return;
				}

				isOpen = false;
				end(now);
				limit.refundTokens(Math.max(0, reserved - tokens), now);
			},
		};
	}

	function demandOf(entry: GrantEntry, now: number): GrantDemand {
		const grant = dependencies.grantOf(entry.plan, entry.pool);
		const demand = entry.queue.demand(now);
		const requests = grant && grant.requestsPerSecond > 0 ? demand.requestsPerSecond / grant.requestsPerSecond : 0;
		const tokens = grant?.tokensPerSecond ? demand.tokensPerSecond / grant.tokensPerSecond : 0;
		return {
			plan: entry.plan, pool: entry.pool, fraction: Math.max(requests, tokens), inDebt: entry.queue.inDebt(now),
		};
	}

	async function enterPool(request: AdmissionRequest, limit: LimitQueue, signal: AbortSignal): Promise<Result<Ticket, Failure>> {
		// Waiting for the share may have taken time, so the time at which the caller entered is outdated.
		const now = latestTime;
		const queue = queueOf(request.pool);
		queue.setConcurrency(dependencies.concurrencyOf(request.pool, queue.running()));
		const started = await queue.enter({
			plan: request.plan, weight: dependencies.weightOf(request.plan), cost: Math.max(1, request.tokens), deadline: request.deadline,
		}, now, signal);
		if (started.isErr()) {
			limit.refund(request.tokens, now);
			return err(started.error);
		}

		return ok(createTicket(limit, started.value.end, request.tokens));
	}

	return {
		async admit(request, now, signal) {
			latestTime = Math.max(latestTime, now);
			const grant = dependencies.grantOf(request.plan, request.pool);
			if (grant === undefined) {
				return err(createNotRun('unauthorized', {step: 'check grant', peer: request.pool}, `plan ${request.plan} has no grant for the pool`));
			}

			const limit = limitOf(request, grant, now);
			const within = await limit.enter(request.tokens, request.deadline, now, signal);
			return within.isErr() ? err(within.error) : enterPool(request, limit, signal);
		},
		tick(now) {
			latestTime = Math.max(latestTime, now);
			[...grantEntries.values()].forEach(entry => {
				configure(entry, dependencies.grantOf(entry.plan, entry.pool), now);
				entry.queue.tick(now);
			});
			[...pools].forEach(([pool, queue]) => {
				queue.setConcurrency(dependencies.concurrencyOf(pool, queue.running()));
				queue.tick(now);
			});
		},
		demands: now => [...grantEntries.values()].map(entry => demandOf(entry, now)),
		waiting: pool => pools.get(pool)?.waiting() ?? 0,
	};
}
