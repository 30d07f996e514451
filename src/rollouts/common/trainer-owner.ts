/**
 * Owns one trainer while this daemon holds the trainer's shard: opens steps, generates their samples, and delivers each sample
 * exactly once.
 *
 * Generation is safe without ownership, because a text has no effect until it is delivered. Delivery requires ownership:
 * the ledger is written with the fencing number of the holding before a batch is sent, and the holding is checked again
 * immediately before the answer.
 */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Holding} from '../../leases/common/shards.js';
import {decidePull} from './pull-decision.js';
import {
	findStep, assignBatch, isClosed, openStep, type Ledger, type StepEntry,
} from './ledger.js';
import type {LedgerStore} from './ledger-store.js';
import type {Batch, PullRequest, StepRequest} from './step.js';
import type {StepRun} from './step-run.js';
import type {SlotBudget, TrainerDemand} from './slot-division.js';

/** Dependencies and settings of an owner. */
export type TrainerOwnerOptions = {
	readonly trainer: string;
	readonly ledgerStore: LedgerStore;
	readonly loop: Pick<Loop, 'after'>;
	readonly monotonic: () => number;
	/** Returns the holding of the trainer's shard; checked again immediately before each answer. */
	readonly holding: (now: number) => Holding | undefined;
	/** Returns the slots that the trainer may use, and those that no trainer needs. */
	readonly slots: (now: number) => SlotBudget;
	/** Number of streams that one engine runs concurrently. */
	readonly slotsPerEngine: number;
	/** Returns the ids of the engines whose version satisfies the staleness bound of a step. */
	readonly allowed: (request: StepRequest, weightVersion: number) => readonly string[];
	/** Creates the run of a step that completes with `required` complete groups. */
	readonly createRun: (request: StepRequest, required: number) => StepRun;
	/** Maximum number of samples of a batch, unless a single group has more. */
	readonly maximumBatch: number;
};

/** The owner of one trainer. */
export type TrainerOwner = {
	/** Opens a step and returns its number of samples. Idempotent. */
	readonly postStep: (request: StepRequest) => Promise<Result<number, Failure>>;
	readonly pull: (request: PullRequest) => Promise<Result<Batch, Failure>>;
	/** Starts and cancels streams as the schedules of the open steps decide. */
	readonly run: (now: number) => void;
	readonly demand: (now: number) => TrainerDemand;
	readonly dispose: () => void;
};

type OpenStep = {
	readonly run: StepRun;
	weightVersion: number;
};

type PullAnswer = {
	readonly batch: Batch;
	readonly isFinal: boolean;
};

const RETRY_AFTER_MS = 1000;

/** Creates the owner of one trainer. */
export function createTrainerOwner(options: TrainerOwnerOptions): TrainerOwner {
	const {trainer, ledgerStore, monotonic, loop} = options;
	const openSteps = new Map<number, OpenStep>();
	const progress = createEmitter<void>();
	const queue = new PQueue({concurrency: 1});
	let pulls = 0;
	let isDecisionScheduled = false;

	const origin = (step: string) => ({step, peer: trainer});

	function createNotOwner(step: string): Failure {
		return createNotRun('notOwner', origin(step), 'this daemon does not own the trainer', RETRY_AFTER_MS);
	}

	async function openLedger(step: string): Promise<Result<{readonly held: Holding; readonly ledger: Ledger}, Failure>> {
		const held = options.holding(monotonic());
		if (held === undefined) {
			return err(createNotOwner(step));
		}

		const ledger = await ledgerStore.open(held.fencing);
		return ledger.map(value => ({held, ledger: value}));
	}

	/** Whether the shard is still held with the fencing number under which an answer was prepared. */
	function isHeld(held: Holding): boolean {
		return options.holding(monotonic())?.fencing === held.fencing;
	}

	function disposeRetired(ledger: Ledger): void {
		[...openSteps].filter(([step]) => findStep(ledger, step) === undefined).forEach(([step, open]) => {
			open.run.dispose();
			openSteps.delete(step);
		});
	}

	function runAll(now: number): void {
		const {slots, spare} = options.slots(now);
		[...openSteps.values()].reduce((left, open) => {
			const allowed = options.allowed(open.run.request, open.weightVersion);
			open.run.run(now, {
				slots: Math.max(0, Math.min(left, allowed.length * options.slotsPerEngine)), spare, allowed, weightVersion: open.weightVersion,
			});
			return left - open.run.running();
		}, slots);
	}

	/** Schedules one run of all steps; several events before it runs share it. */
	function scheduleDecision(): void {
		if (isDecisionScheduled) {
			return;
		}

		isDecisionScheduled = true;
		loop.after(0, now => {
			isDecisionScheduled = false;
			runAll(now);
		});
	}

	function startStep(request: StepRequest, entry: StepEntry): void {
		if (openSteps.has(request.step)) {
			return;
		}

		const run = options.createRun(request, entry.required);
		run.schedule.setAssignedGroups(entry.batches.flat(), []);
		run.onDidProgress(() => {
			scheduleDecision();
			progress.fire();
		});
		openSteps.set(request.step, {run, weightVersion: request.weightVersion});
		scheduleDecision();
	}

	async function postStepExclusively(request: StepRequest): Promise<Result<number, Failure>> {
		const opened = await openLedger('post step');
		if (opened.isErr()) {
			return err(opened.error);
		}

		const changed = openStep(opened.value.ledger, request);
		if (changed.isErr()) {
			return err(changed.error);
		}

		const ledger = changed.value === opened.value.ledger ? ok(changed.value) : await ledgerStore.commit(changed.value);
		return ledger.map(value => {
			disposeRetired(value);
			const entry = findStep(value, request.step);
			if (entry !== undefined) {
				startStep(request, entry);
			}

			return request.prompts.length * request.samplesPerGroup;
		});
	}

	function findOpen(ledger: Ledger, request: PullRequest): Result<{readonly entry: StepEntry; readonly open: OpenStep}, Failure> {
		const entry = findStep(ledger, request.step);
		const open = openSteps.get(request.step);
		if (entry === undefined) {
			return request.step <= ledger.retiredThrough
				? err(createNotRun('conflict', origin('pull'), `step ${request.step} is retired and no longer stored`))
				: err(createNotRun('notFound', origin('pull'), `step ${request.step} was not posted`));
		}

		return open === undefined
			? err(createNotRun('notFound', origin('pull'), `this daemon does not have the prompts of step ${request.step}; post the step again`))
			: ok({entry, open});
	}

	async function assignNewBatch(ledger: Ledger, step: number, groups: readonly number[]): Promise<Result<StepEntry, Failure>> {
		const written = await ledgerStore.commit(assignBatch(ledger, step, groups));
		return written.andThen(value => {
			const entry = findStep(value, step);
			return entry === undefined ? err(createNotRun('conflict', origin('fix batch'), 'the step is no longer in the ledger')) : ok(entry);
		});
	}

	async function answerPull(request: PullRequest): Promise<Result<PullAnswer, Failure>> {
		const opened = await openLedger('pull');
		const found = opened.andThen(({ledger}) => findOpen(ledger, request));
		if (opened.isErr() || found.isErr()) {
			return err(opened.isErr() ? opened.error : found._unsafeUnwrapErr());
		}

		const {entry, open} = found.value;
		const {held, ledger} = opened.value;
		open.weightVersion = request.weightVersion;
		const decision = decidePull(entry, open.run.schedule, {...request, maximumBatch: options.maximumBatch}, monotonic());
		const empty: Batch = {
			step: request.step, batch: request.cursor, samples: [], done: decision.kind === 'finished',
		};
		if (decision.kind === 'unknownCursor') {
			return err(createNotRun('conflict', origin('pull'), `batch ${request.cursor} does not exist in the ledger`));
		}

		if (decision.kind !== 'batch') {
			scheduleDecision();
			return isHeld(held) ? ok({batch: empty, isFinal: empty.done}) : err(createNotOwner('pull'));
		}

		const assigned = decision.isNew ? await assignNewBatch(ledger, request.step, decision.groups) : ok(entry);
		return assigned.andThen(after => {
			open.run.schedule.setAssignedGroups(after.batches.flat(), after.batches.slice(request.cursor + 1).flat());
			scheduleDecision();
			const batch: Batch = {
				step: request.step,
				batch: request.cursor + 1,
				samples: open.run.samples(decision.groups),
				done: isClosed(after) && request.cursor + 1 === after.batches.length,
			};
			return isHeld(held) ? ok({batch, isFinal: true}) : err(createNotOwner('pull'));
		});
	}

	async function waitForProgress(waitMs: number): Promise<void> {
		return new Promise(resolve => {
			const timer = loop.after(waitMs, () => {
				subscription.dispose();
				resolve();
			});
			const subscription = progress.event(() => {
				subscription.dispose();
				timer.dispose();
				resolve();
			});
		});
	}

	async function pullUntil(request: PullRequest, until: number): Promise<Result<Batch, Failure>> {
		const answer = await queue.add(async () => answerPull(request));
		const now = monotonic();
		if (answer.isErr() || answer.value.isFinal || now >= until) {
			return answer.map(value => value.batch);
		}

		await waitForProgress(until - now);
		return pullUntil(request, until);
	}

	return {
		postStep: async request => queue.add(async () => postStepExclusively(request)),
		async pull(request) {
			pulls += 1;
			const answer = await pullUntil(request, monotonic() + request.waitMs);
			pulls -= 1;
			return answer;
		},
		run: runAll,
		demand() {
			const demands = [...openSteps.values()].map(open => open.run.schedule.demand());
			return {
				trainer,
				samples: demands.reduce((sum, demand) => sum + demand.samples, 0),
				tokens: demands.reduce((sum, demand) => sum + demand.tokens, 0),
				isWaiting: pulls > 0,
			};
		},
		dispose() {
			[...openSteps.values()].forEach(open => {
				open.run.dispose();
			});
			openSteps.clear();
		},
	};
}
