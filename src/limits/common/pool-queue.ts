/**
 * The queue of one pool on one daemon, with weighted fair scheduling between plans, bounded concurrency and deadlines. A
 * request that would miss its deadline is refused at once, so that no capacity is spent on an answer that comes too late.
 */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {DrainRate, Work} from './drain-rate.js';
import {VirtualFinishQueue, type FairOptions} from './virtual-finish-queue.js';

/** A request that enters the queue. */
export type QueueRequest = {
	readonly plan: string;
	readonly weight: number;
	/** Work of the request, in the unit of the drain rate. */
	readonly cost: number;
	/** Monotonic time by which the complete answer is needed. */
	readonly deadline: number;
};

/** A request that was started. Only the first call of `end` has an effect. */
export type RunningRequest = {
	readonly end: (now: number) => void;
};

/** The queue of a pool. */
export type PoolQueue = {
	/** Resolves when the request may run; refusals have code `overloaded`, aborts code `aborted`. */
	readonly enter: (request: QueueRequest, now: number, signal: AbortSignal) => Promise<Result<RunningRequest, Failure>>;
	readonly setConcurrency: (concurrency: number) => void;
	/** Advances the time and refuses requests that can no longer finish in time. Must be called often. */
	readonly tick: (now: number) => void;
	readonly running: () => number;
	readonly waiting: () => number;
	/** Number of requests that run or wait, which would all run at once without the concurrency limit. */
	readonly demand: () => number;
};

type WaitingRequest = QueueRequest & {
	readonly enteredAt: number;
	readonly settle: (result: Result<RunningRequest, Failure>) => void;
};

/** Share by which the retry-after time is randomized. */
const RETRY_JITTER_SHARE = 0.25;
const MINIMUM_RETRY_AFTER_MS = 250;
/** Requests are refused when the predicted time exceeds this share of the time left, as a margin for prediction errors. */
const USABLE_DEADLINE_SHARE = 0.9;

function addRequest(work: Work, request: QueueRequest): Work {
	return {requests: work.requests + 1, cost: work.cost + request.cost};
}

function sumWork(requests: readonly QueueRequest[]): Work {
	return requests.reduce(addRequest, {requests: 0, cost: 0});
}

/** Creates an empty queue for the pool. Each call passes the current time; `tick` advances it between calls. */
export function createPoolQueue(pool: string, drainRate: DrainRate, random: Random): PoolQueue {
	const queue = new PQueue<VirtualFinishQueue, FairOptions>({queueClass: VirtualFinishQueue, concurrency: 1});
	const waiting = new Set<WaitingRequest>();
	let latestTime = 0;
	let running = 0;

	function refuse(waitMs: number): Failure {
		const retryAfterMs = jitter(Math.max(MINIMUM_RETRY_AFTER_MS, waitMs), RETRY_JITTER_SHARE, random);
		return createNotRun('overloaded', {step: 'admit request', peer: pool}, 'the predicted wait exceeds the deadline', retryAfterMs);
	}

	/** Work that runs before a new request of the plan: the plan's own backlog divided by its share, at most the complete backlog. */
	function workAhead(request: QueueRequest): Work {
		const all = [...waiting];
		const own = sumWork(all.filter(other => other.plan === request.plan));
		const total = sumWork(all);
		const weights = new Map([...all, request].map(other => [other.plan, other.weight]));
		const share = request.weight / [...weights.values()].reduce((sum, weight) => sum + weight, 0);
		return total.cost <= own.cost / share ? total : {requests: own.requests / share, cost: own.cost / share};
	}

	function predictWait(request: QueueRequest): number {
		return running < queue.concurrency && waiting.size === 0
			? 0
			: drainRate.waitMs(addRequest(workAhead(request), request), queue.concurrency);
	}

	/**
	 * Whether nothing runs or waits. One request is then admitted whatever the prediction is: otherwise a prediction that
	 * has become too long would refuse all requests, and no completed request could correct it.
	 */
	function isIdle(): boolean {
		return running === 0 && waiting.size === 0;
	}

	function createRunningRequest(request: QueueRequest, startedAt: number, release: () => void): RunningRequest {
		const isExpectedLate = startedAt + drainRate.runMs(request.cost) > request.deadline;
		let isOpen = true;
		return {
			end(now) {
				if (!isOpen) {
					return;
				}

				isOpen = false;
				latestTime = Math.max(latestTime, now);
				running -= 1;
				if (isExpectedLate) {
					drainRate.restart();
				}

				drainRate.recordCompletion(request.cost, now - startedAt);
				release();
			},
		};
	}

	async function run(entry: WaitingRequest): Promise<void> {
		waiting.delete(entry);
		if (latestTime + drainRate.runMs(entry.cost) > entry.deadline && !isIdle()) {
			entry.settle(err(refuse(drainRate.waitMs(workAhead(entry), queue.concurrency))));
			return;
		}

		running += 1;
		await new Promise<void>(resolve => {
			entry.settle(ok(createRunningRequest(entry, latestTime, resolve)));
		});
	}

	async function wait(request: QueueRequest, signal: AbortSignal): Promise<Result<RunningRequest, Failure>> {
		const controller = new AbortController();
		return new Promise(resolve => {
			function onAbort(): void {
				controller.abort();
				entry.settle(err(createNotRun('aborted', {step: 'admit request', peer: pool}, 'the caller aborted the request')));
			}

			const entry: WaitingRequest = {
				...request,
				enteredAt: latestTime,
				settle(result) {
					signal.removeEventListener('abort', onAbort);
					if (waiting.delete(entry)) {
						controller.abort();
					}

					resolve(result);
				},
			};
			waiting.add(entry);
			signal.addEventListener('abort', onAbort, {once: true});
			const {plan, weight, cost} = request;
			// A rejection only reports the abort, with which the entry is already settled.
			queue.add(async () => run(entry), {
				plan, weight, cost, signal: controller.signal,
			}).catch(() => undefined);
		});
	}

	return {
		async enter(request, now, signal) {
			latestTime = Math.max(latestTime, now);
			if (signal.aborted) {
				return err(createNotRun('aborted', {step: 'admit request', peer: pool}, 'the caller aborted the request'));
			}

			if (isIdle()) {
				return wait(request, signal);
			}

			const waitMs = predictWait(request);
			const neededMs = waitMs + drainRate.runMs(request.cost);
			return neededMs > USABLE_DEADLINE_SHARE * (request.deadline - now) ? err(refuse(waitMs)) : wait(request, signal);
		},
		setConcurrency(concurrency) {
			queue.concurrency = Math.max(1, Math.floor(concurrency));
		},
		tick(now) {
			latestTime = Math.max(latestTime, now);
			[...waiting].filter(entry => now + drainRate.runMs(entry.cost) > entry.deadline).forEach(entry => {
				entry.settle(err(refuse(predictWait(entry))));
			});
		},
		running: () => running,
		waiting: () => waiting.size,
		demand: () => running + waiting.size,
	};
}
