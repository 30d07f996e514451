/**
 * The queue of one pool on one daemon: weighted fair between plans, of bounded concurrency, and aware of deadlines. A
 * request that would not be answered in time is refused at once instead of being worked on in vain.
 */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {jitter, type Random} from '../../base/common/random.js';
import type {DrainRate} from './drain-rate.js';
import {VirtualFinishQueue, type FairOptions} from './virtual-finish-queue.js';

/** A request for a place. */
export type QueueRequest = {
	readonly plan: string;
	readonly weight: number;
	readonly cost: number;
	/** Monotonic time by which the whole answer is needed. */
	readonly deadline: number;
};

/** A place in progress; ends once. */
export type Place = {
	readonly end: (now: number) => void;
};

/** The queue of a pool. */
export type PoolQueue = {
	readonly enter: (request: QueueRequest, now: number, signal: AbortSignal) => Promise<Result<Place, Failure>>;
	readonly setConcurrency: (concurrency: number) => void;
	/** Starts what may start and refuses what cannot be answered in time any more; call it often. */
	readonly tick: (now: number) => void;
	readonly running: () => number;
	readonly waiting: () => number;
	/** Running requests, those that wait included, that could run at once if concurrency allowed. */
	readonly demand: () => number;
};

type Waiting = QueueRequest & {
	readonly enteredAt: number;
	readonly settle: (result: Result<Place, Failure>) => void;
};

/** Share by which the time to return is spread. */
const RETRY_JITTER = 0.25;
const SHORTEST_RETRY_MS = 250;
/** Distrust of the predicted wait: refusals begin when the prediction exceeds this share of the time left. */
const DEADLINE_SHARE = 0.9;

/** Creates an empty queue for the pool. The present time passes in with each call; `tick` moves it on in between. */
export function createPoolQueue(pool: string, drainRate: DrainRate, random: Random): PoolQueue {
	const queue = new PQueue<VirtualFinishQueue, FairOptions>({queueClass: VirtualFinishQueue, concurrency: 1});
	const waiting = new Set<Waiting>();
	let latest = 0;
	let running = 0;

	function refuse(waitMs: number): Failure {
		const retryAfterMs = jitter(Math.max(SHORTEST_RETRY_MS, waitMs), RETRY_JITTER, random);
		return createNotRun('overloaded', {step: 'admit request', peer: pool}, 'the predicted wait passes the deadline', retryAfterMs);
	}

	/** Work that goes before a new request of the plan: its own backlog at the plan's share, at most the whole backlog. */
	function costAhead(request: QueueRequest): number {
		const all = [...waiting];
		const own = all.filter(other => other.plan === request.plan).reduce((sum, other) => sum + other.cost, 0);
		const total = all.reduce((sum, other) => sum + other.cost, 0);
		const weights = new Map([...all, request].map(other => [other.plan, other.weight]));
		const share = request.weight / [...weights.values()].reduce((sum, weight) => sum + weight, 0);
		return Math.min(total, own / share);
	}

	function predictWait(request: QueueRequest): number {
		return running < queue.concurrency && waiting.size === 0
			? 0
			: drainRate.waitMs(costAhead(request) + request.cost, queue.concurrency);
	}

	/**
	 * With nothing under way, no run would ever correct a prediction that has become too long. So one request goes ahead
	 * whatever is predicted.
	 */
	function isProbe(): boolean {
		return running === 0 && waiting.size === 0;
	}

	function createPlace(request: QueueRequest, startedAt: number, release: () => void): Place {
		const isDoubtful = startedAt + drainRate.runMs(request.cost) > request.deadline;
		let open = true;
		return {
			end(now) {
				if (!open) {
					return;
				}

				open = false;
				latest = Math.max(latest, now);
				running -= 1;
				if (isDoubtful) {
					drainRate.restart();
				}

				drainRate.completed(request.cost, now - startedAt);
				release();
			},
		};
	}

	async function run(entry: Waiting): Promise<void> {
		waiting.delete(entry);
		if (latest + drainRate.runMs(entry.cost) > entry.deadline && !isProbe()) {
			entry.settle(err(refuse(drainRate.waitMs(costAhead(entry), queue.concurrency))));
			return;
		}

		running += 1;
		await new Promise<void>(resolve => {
			entry.settle(ok(createPlace(entry, latest, resolve)));
		});
	}

	async function wait(request: QueueRequest, signal: AbortSignal): Promise<Result<Place, Failure>> {
		const controller = new AbortController();
		return new Promise(resolve => {
			function giveUp(): void {
				controller.abort();
				entry.settle(err(createNotRun('aborted', {step: 'admit request', peer: pool}, 'the caller went away')));
			}

			const entry: Waiting = {
				...request,
				enteredAt: latest,
				settle(result) {
					signal.removeEventListener('abort', giveUp);
					if (waiting.delete(entry)) {
						controller.abort();
					}

					resolve(result);
				},
			};
			waiting.add(entry);
			signal.addEventListener('abort', giveUp, {once: true});
			const {plan, weight, cost} = request;
			// The rejection only reports the abort, which the entry has been settled with already.
			queue.add(async () => run(entry), {
				plan, weight, cost, signal: controller.signal,
			}).catch(() => undefined);
		});
	}

	return {
		async enter(request, now, signal) {
			latest = Math.max(latest, now);
			if (signal.aborted) {
				return err(createNotRun('aborted', {step: 'admit request', peer: pool}, 'the caller went away'));
			}

			if (isProbe()) {
				return wait(request, signal);
			}

			const waitMs = predictWait(request);
			const neededMs = waitMs + drainRate.runMs(request.cost);
			return neededMs > DEADLINE_SHARE * (request.deadline - now) ? err(refuse(waitMs)) : wait(request, signal);
		},
		setConcurrency(concurrency) {
			queue.concurrency = Math.max(1, Math.floor(concurrency));
		},
		tick(now) {
			latest = Math.max(latest, now);
			[...waiting].filter(entry => now + drainRate.runMs(entry.cost) > entry.deadline).forEach(entry => {
				entry.settle(err(refuse(predictWait(entry))));
			});
		},
		running: () => running,
		waiting: () => waiting.size,
		demand: () => running + waiting.size,
	};
}
