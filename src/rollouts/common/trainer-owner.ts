/**
 * Owns one trainer while this daemon holds the trainer's shard: opens steps, generates their samples, and hands them over
 * exactly once.
 *
 * Generation needs no ownership: a text is harmless until it is handed over. Handing over does, so the ledger is written
 * under the fencing number of the holding before a batch is sent, and the holding is looked at again right before the
 * answer.
 */
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Holding} from '../../leases/common/shards.js';
import {decideHandOver} from './hand-over.js';
import {
	findStep, fixBatch, isClosed, openStep, type Ledger, type StepEntry,
} from './ledger.js';
import type {LedgerKeeper} from './ledger-keeper.js';
import type {Batch, PullRequest, StepRequest} from './step.js';
import type {StepRun} from './step-run.js';
import type {SlotBudget, TrainerDemand} from './slot-division.js';

/** What an owner needs. */
export type TrainerOwnerOptions = {
	readonly trainer: string;
	readonly keeper: LedgerKeeper;
	readonly loop: Pick<Loop, 'after'>;
	readonly monotonic: () => number;
	/** The holding of the trainer's shard; asked again immediately before each answer. */
	readonly holding: (now: number) => Holding | undefined;
	/** Streams that the trainer may have under way, and those that no trainer needs. */
	readonly slots: (now: number) => SlotBudget;
	/** Streams that one engine runs at once. */
	readonly slotsPerEngine: number;
	/** Engines on a version that is young enough for a step of this trainer. */
	readonly allowed: (request: StepRequest, weightVersion: number) => readonly string[];
	readonly createRun: (request: StepRequest, required: number) => StepRun;
	readonly maximumBatch: number;
};

/** The owner of one trainer. */
export type TrainerOwner = {
	/** Opens a step and returns its number of samples. Repeating it is harmless. */
	readonly postStep: (request: StepRequest) => Promise<Result<number, Failure>>;
	readonly pull: (request: PullRequest) => Promise<Result<Batch, Failure>>;
	/** Starts and cancels streams that are due. */
	readonly run: (now: number) => void;
	readonly demand: (now: number) => TrainerDemand;
	readonly dispose: () => void;
};

type OpenStep = {
	readonly run: StepRun;
	weightVersion: number;
};

type Answer = {
	readonly batch: Batch;
	readonly isFinal: boolean;
};

const RETRY_AFTER_MS = 1000;

/** Creates the owner of one trainer. */
export function createTrainerOwner(options: TrainerOwnerOptions): TrainerOwner {
	const {trainer, keeper, monotonic, loop} = options;
	const steps = new Map<number, OpenStep>();
	const progress = createEmitter<void>();
	const queue = new PQueue({concurrency: 1});
	let pulls = 0;
	let isDecisionDue = false;

	const origin = (step: string) => ({step, peer: trainer});

	function createNotOwner(step: string): Failure {
		return createNotRun('notOwner', origin(step), 'this daemon does not own the trainer', RETRY_AFTER_MS);
	}

	async function openLedger(step: string): Promise<Result<{readonly held: Holding; readonly ledger: Ledger}, Failure>> {
		const held = options.holding(monotonic());
		if (held === undefined) {
			return err(createNotOwner(step));
		}

		const ledger = await keeper.open(held.fencing);
		return ledger.map(value => ({held, ledger: value}));
	}

	/** Whether the holding under which an answer was prepared is still in force. */
	function isHeld(held: Holding): boolean {
		return options.holding(monotonic())?.fencing === held.fencing;
	}

	function dropRetired(ledger: Ledger): void {
		[...steps].filter(([step]) => findStep(ledger, step) === undefined).forEach(([step, open]) => {
			open.run.dispose();
			steps.delete(step);
		});
	}

	function runAll(now: number): void {
		const {slots, spare} = options.slots(now);
		[...steps.values()].reduce((left, open) => {
			const allowed = options.allowed(open.run.request, open.weightVersion);
			open.run.run(now, {
				slots: Math.max(0, Math.min(left, allowed.length * options.slotsPerEngine)), spare, allowed, weightVersion: open.weightVersion,
			});
			return left - open.run.running();
		}, slots);
	}

	/** Joins the decisions that several events of one moment ask for. */
	function decideSoon(): void {
		if (isDecisionDue) {
			return;
		}

		isDecisionDue = true;
		loop.after(0, now => {
			isDecisionDue = false;
			runAll(now);
		});
	}

	function start(request: StepRequest, entry: StepEntry): void {
		if (steps.has(request.step)) {
			return;
		}

		const run = options.createRun(request, entry.required);
		run.schedule.setFixed(entry.batches.flat(), []);
		run.onDidProgress(() => {
			decideSoon();
			progress.fire();
		});
		steps.set(request.step, {run, weightVersion: request.weightVersion});
		decideSoon();
	}

	async function postOpened(request: StepRequest): Promise<Result<number, Failure>> {
		const opened = await openLedger('post step');
		if (opened.isErr()) {
			return err(opened.error);
		}

		const changed = openStep(opened.value.ledger, request);
		if (changed.isErr()) {
			return err(changed.error);
		}

		const ledger = changed.value === opened.value.ledger ? ok(changed.value) : await keeper.commit(changed.value);
		return ledger.map(value => {
			dropRetired(value);
			const entry = findStep(value, request.step);
			if (entry !== undefined) {
				start(request, entry);
			}

			return request.prompts.length * request.samplesPerGroup;
		});
	}

	function findOpen(ledger: Ledger, request: PullRequest): Result<{readonly entry: StepEntry; readonly open: OpenStep}, Failure> {
		const entry = findStep(ledger, request.step);
		const open = steps.get(request.step);
		if (entry === undefined) {
			return request.step <= ledger.retiredThrough
				? err(createNotRun('conflict', origin('pull'), `step ${request.step} is not kept any more`))
				: err(createNotRun('notFound', origin('pull'), `step ${request.step} was not posted`));
		}

		return open === undefined
			? err(createNotRun('notFound', origin('pull'), `the prompts of step ${request.step} are not here; post the step again`))
			: ok({entry, open});
	}

	async function fix(ledger: Ledger, step: number, groups: readonly number[]): Promise<Result<StepEntry, Failure>> {
		const written = await keeper.commit(fixBatch(ledger, step, groups));
		return written.andThen(value => {
			const entry = findStep(value, step);
			return entry === undefined ? err(createNotRun('conflict', origin('fix batch'), 'the step is gone')) : ok(entry);
		});
	}

	async function handOver(request: PullRequest): Promise<Result<Answer, Failure>> {
		const opened = await openLedger('pull');
		const found = opened.andThen(({ledger}) => findOpen(ledger, request));
		if (opened.isErr() || found.isErr()) {
			return err(opened.isErr() ? opened.error : found._unsafeUnwrapErr());
		}

		const {entry, open} = found.value;
		const {held, ledger} = opened.value;
		open.weightVersion = request.weightVersion;
		const decision = decideHandOver(entry, open.run.schedule, {...request, maximumBatch: options.maximumBatch}, monotonic());
		const empty: Batch = {
			step: request.step, batch: request.cursor, samples: [], done: decision.kind === 'finished',
		};
		if (decision.kind === 'unknownCursor') {
			return err(createNotRun('conflict', origin('pull'), `batch ${request.cursor} was never handed out`));
		}

		if (decision.kind === 'hopeless') {
			return err(createNotRun('suspect', origin('pull'), 'engines died under too many of the groups'));
		}

		if (decision.kind !== 'batch') {
			decideSoon();
			return isHeld(held) ? ok({batch: empty, isFinal: empty.done}) : err(createNotOwner('pull'));
		}

		const fixed = decision.isNew ? await fix(ledger, request.step, decision.groups) : ok(entry);
		return fixed.andThen(after => {
			open.run.schedule.setFixed(after.batches.flat(), after.batches.slice(request.cursor + 1).flat());
			decideSoon();
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
		const answer = await queue.add(async () => handOver(request));
		const now = monotonic();
		if (answer.isErr() || answer.value.isFinal || now >= until) {
			return answer.map(value => value.batch);
		}

		await waitForProgress(until - now);
		return pullUntil(request, until);
	}

	return {
		postStep: async request => queue.add(async () => postOpened(request)),
		async pull(request) {
			pulls += 1;
			const answer = await pullUntil(request, monotonic() + request.waitMs);
			pulls -= 1;
			return answer;
		},
		run: runAll,
		demand() {
			const demands = [...steps.values()].map(open => open.run.schedule.demand());
			return {
				trainer,
				samples: demands.reduce((sum, demand) => sum + demand.samples, 0),
				tokens: demands.reduce((sum, demand) => sum + demand.tokens, 0),
				isWaiting: pulls > 0,
			};
		},
		dispose() {
			[...steps.values()].forEach(open => {
				open.run.dispose();
			});
			steps.clear();
		},
	};
}
