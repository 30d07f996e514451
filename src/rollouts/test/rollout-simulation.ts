/** Simulates daemons that own a trainer, engines, a store and the trainer itself in one process under virtual time. */
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createMemoryStore} from '../../adapters/common/memory-store.js';
import type {StepRequest} from '../common/step.js';
import type {TrainerOwner} from '../common/trainer-owner.js';
import type {ReceivedBatch} from './delivery-checker.js';
import {
	createRolloutDaemon, neverResolves, trainer, type BrokenMechanisms, type Daemon,
} from './rollout-daemon.js';
import {createRolloutEngines, createRolloutRouter} from './rollout-engines.js';

export type SimulationOptions = {
	readonly seed: number;
	readonly engines?: number;
	readonly groups?: number;
	readonly samplesPerGroup?: number;
	readonly enough?: number;
	readonly stalenessBound?: number;
	readonly maximumBatch?: number;
	readonly steps?: number;
	/** Whether the trainer posts the next step before it pulls the current one. */
	readonly postsAhead?: boolean;
	readonly broken?: BrokenMechanisms;
};

const PULL_TIMEOUT_MS = 1200;

export type RolloutSimulation = ReturnType<typeof createRolloutSimulation>;

export function createRolloutSimulation(options: SimulationOptions) {
	const random = createSeededRandom(options.seed);
	const time = createVirtualTime(random);
	const memory = createMemoryStore();
	const answers: ReceivedBatch[] = [];
	const failures: string[] = [];
	const bound = options.stalenessBound ?? 1;
	let fencing = 0;
	let weightVersion = 1;
	let crashes = 0;

	const engines = createRolloutEngines(time.loop, options.engines ?? 3);
	const router = createRolloutRouter(engines);

	function createDaemon(index: number): Daemon {
		return createRolloutDaemon(`${index}-${crashes}`, {
			time, memory, engines, router, stalenessBound: bound, maximumBatch: options.maximumBatch ?? 8, broken: options.broken ?? {},
		});
	}

	const daemons = [createDaemon(0), createDaemon(1)];

	function grantHolding(index: number): void {
		fencing += 1;
		daemons[index]!.holding = {shard: 0, fencing, validUntil: Number.POSITIVE_INFINITY};
	}

	function ownerIndex(): number {
		return daemons.findIndex(daemon => daemon.holding?.fencing === fencing);
	}

	const createRequest = (step: number): StepRequest => ({
		trainer,
		step,
		weightVersion,
		prompts: Array.from({length: options.groups ?? 6}, (_, group) => `prompt ${step} ${group}`),
		samplesPerGroup: options.samplesPerGroup ?? 2,
		stalenessBound: bound,
		enough: options.enough,
		maximumTokens: 400,
		deadlineMs: undefined,
	});

	/** Calls the current owner on behalf of the trainer. Gives up after `PULL_TIMEOUT_MS`; a later answer goes to `onLate`. */
	async function callOwner<T>(call: (owner: TrainerOwner) => Promise<T>, onLate: (answer: T) => void): Promise<T | undefined> {
		const daemon = daemons[ownerIndex()];
		let isLate = false;
		const answer = daemon === undefined || daemon.isCrashed ? neverResolves<T>() : call(daemon.owner).then(async value => daemon.whenResumed().then(() => value));
		void answer.then(value => {
			if (isLate) {
				onLate(value);
			}
		});
		const winner = await Promise.race([answer.then(value => ({value})), time.loop.sleep(PULL_TIMEOUT_MS).then(() => undefined)]);
		isLate = winner === undefined;
		return winner?.value;
	}

	async function pullAll(request: StepRequest, cursor: number): Promise<void> {
		const version = weightVersion;
		const recordAnswer = (pulled: Awaited<ReturnType<TrainerOwner['pull']>>) => {
			pulled.match(batch => answers.push({weightVersion: version, batch}), failure => failures.push(failure.code));
		};

		const pulled = await callOwner(async owner => owner.pull({
			trainer, step: request.step, cursor, weightVersion: version, waitMs: 500,
		}), recordAnswer);
		if (pulled !== undefined) {
			recordAnswer(pulled);
		}

		if (pulled?.isOk() && pulled.value.done) {
			return;
		}

		if (pulled === undefined || pulled.isErr()) {
			await time.loop.sleep(200);
			await callOwner(async owner => owner.postStep(request), () => undefined);
		}

		// A restarted trainer resumes from its last checkpoint, here after half of the batches that it had received.
		const reached = pulled?.isOk() ? pulled.value.batch : cursor;
		const isRestarted = random() < 0.05;
		await pullAll(request, isRestarted ? Math.floor(reached / 2) : reached);
	}

	async function postAll(requests: readonly StepRequest[]): Promise<void> {
		await requests.reduce(async (previous, request) => {
			await previous;
			await callOwner(async owner => owner.postStep(request), () => undefined);
		}, Promise.resolve());
	}

	async function runTrainer(step = 1, request = createRequest(1)): Promise<void> {
		const next = step < (options.steps ?? 1) ? [createRequest(step + 1)] : [];
		await postAll(options.postsAhead === true ? [request, ...next] : [request]);
		await pullAll(request, 0);
		await next.reduce(async (previous, following) => previous.then(async () => runTrainer(step + 1, following)), Promise.resolve());
	}

	grantHolding(0);
	return {
		time, random, engines, answers, failures, daemons, memory,
		finished: false,
		start() {
			void runTrainer().then(() => {
				this.finished = true;
			});
		},
		ownerIndex,
		/** Pauses the owner. The other daemon takes over after the lease has lapsed, and the old owner resumes after `pausedMs`. */
		pauseOwner(pausedMs = 3000) {
			const old = daemons[ownerIndex()];
			if (old !== undefined) {
				old.isPaused = true;
			}

			time.loop.after(1000, () => {
				const next = daemons.findIndex(daemon => daemon !== old);
				if (old !== undefined) {
					old.holding = undefined;
				}

				grantHolding(next);
			});
			time.loop.after(pausedMs, () => {
				old?.resume();
			});
		},
		/** Crashes the owner, which loses its memory. The other daemon takes over, and a new daemon replaces the crashed one. */
		crashOwner() {
			const index = ownerIndex();
			const old = daemons[index];
			if (old === undefined) {
				return;
			}

			old.isCrashed = true;
			old.owner.dispose();
			crashes += 1;
			time.loop.after(1000, () => {
				grantHolding(1 - index);
				daemons[index] = createDaemon(index);
			});
		},
		/** Publishes the next version during a step; the engines load it one after another. */
		publish() {
			weightVersion += 1;
			const version = weightVersion;
			engines.forEach((model, index) => {
				time.loop.after(index * 1700, () => {
					void model.engine.order({
						orderId: `o-${version}-${index}`, fencing: version, kind: 'load-version', model: 'm', version,
					});
				});
			});
		},
		expectation: () => ({
			stalenessBound: bound,
			samplesPerGroup: options.samplesPerGroup ?? 2,
			requiredGroups: Math.ceil((options.groups ?? 6) * (options.enough ?? 1)),
			steps: Array.from({length: options.steps ?? 1}, (_, index) => index + 1),
		}),
	};
}
