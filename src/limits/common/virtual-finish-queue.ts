/**
 * A queue class for `p-queue` that divides capacity between plans in proportion to their weights, by self-clocked fair
 * queueing. Each plan has a first-in first-out queue, and the head with the lowest virtual finish time is dequeued next.
 */
import type PQueue from 'p-queue';

type RunFunction = () => Promise<unknown>;

/** Options of one queued request. */
export type FairOptions = {
	readonly plan: string;
	/** Weight of the plan relative to other plans. */
	readonly weight: number;
	/** Work of the request, in any unit that all requests of the queue share. */
	readonly cost: number;
} & NonNullable<Parameters<PQueue['add']>[1]>;

type Entry = {
	readonly id: string | undefined;
	readonly run: RunFunction;
	readonly weight: number;
	readonly cost: number;
};

type PlanQueue = {
	entries: readonly Entry[];
	/** Virtual finish time of the plan's last dequeued request. */
	finished: number;
};

function headFinishTime(queue: PlanQueue): number {
	const [head] = queue.entries;
	return head === undefined ? Number.POSITIVE_INFINITY : queue.finished + (head.cost / head.weight);
}

/** The queue class; `p-queue` constructs it. */
export class VirtualFinishQueue {
	readonly #plans = new Map<string, PlanQueue>();
	#virtualTime = 0;

	get size(): number {
		return [...this.#plans.values()].reduce((sum, queue) => sum + queue.entries.length, 0);
	}

	enqueue(run: RunFunction, options: Partial<FairOptions> = {}): void {
		const {plan = '', weight = 1, cost = 1, id} = options;
		const queue = this.#plans.get(plan) ?? {entries: [], finished: 0};
		if (queue.entries.length === 0) {
			// An idle plan doesn't accumulate capacity, so its virtual time starts at the queue's.
			queue.finished = Math.max(queue.finished, this.#virtualTime);
		}

		queue.entries = [...queue.entries, {
			id, run, weight, cost,
		}];
		this.#plans.set(plan, queue);
	}

	dequeue(): RunFunction | undefined {
		const next = [...this.#plans.values()].toSorted((a, b) => headFinishTime(a) - headFinishTime(b)).at(0);
		const head = next?.entries.at(0);
		if (next === undefined || head === undefined) {
			return undefined;
		}

		next.finished = headFinishTime(next);
		next.entries = next.entries.slice(1);
		this.#virtualTime = next.finished;
		this.#dropIdlePlans();
		return head.run;
	}

	filter(options: Readonly<Partial<FairOptions>>): RunFunction[] {
		return (this.#plans.get(options.plan ?? '')?.entries ?? []).map(entry => entry.run);
	}

	/** Unsupported, because the weights of the plans decide the order. */
	setPriority(): void {
		throw new Error('VirtualFinishQueue has no priorities; the weights of plans decide the order');
	}

	remove(id: string): void {
		[...this.#plans.values()].forEach(queue => {
			queue.entries = queue.entries.filter(entry => entry.id !== id);
		});
	}

	#dropIdlePlans(): void {
		[...this.#plans]
			.filter(([, queue]) => queue.entries.length === 0 && queue.finished <= this.#virtualTime)
			.forEach(([plan]) => {
				this.#plans.delete(plan);
			});
	}
}
