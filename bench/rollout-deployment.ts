/**
 * Simulates one deployment in virtual time: trainers share engines through the real owners, schedules, slot divisions, load
 * waves and routing, while some engines are slow, stall or crash. Two runs with the same seed differ only in the policy.
 */
import {ok} from 'neverthrow';
import type {Holding} from '../src/leases/common/shards.js';
import {createMemoryStore} from '../src/adapters/common/memory-store.js';
import {createGenerationRunner, type GenerationRunnerOptions} from '../src/rollouts/common/generation-runner.js';
import {createEngineChoice} from '../src/rollouts/common/engine-choice.js';
import {createLedgerStore} from '../src/rollouts/common/ledger-store.js';
import {createLengthForecast} from '../src/rollouts/common/length-forecast.js';
import {budgetOf, isWaitingForSamples, type SlotDivision} from '../src/rollouts/common/slot-division.js';
import {createStalenessRule} from '../src/rollouts/common/staleness.js';
import type {Batch, StepRequest} from '../src/rollouts/common/step.js';
import {createStepRun} from '../src/rollouts/common/step-run.js';
import {createStepSchedule} from '../src/rollouts/common/step-schedule.js';
import {createTrainerOwner, type TrainerOwner} from '../src/rollouts/common/trainer-owner.js';
import {createPoolOwner} from '../src/weights/common/pool-owner.js';
import {createSeededRandom, createVirtualTime, type VirtualTime} from '../test/fakes/virtual-loop.js';
import {addIdleShares, noIdleShares, type IdleShares} from './idle-shares.js';
import {createEngineModel, createLengthDistribution, type EngineModel} from './engine-model.js';
import {createRoundRobinRouting, createDispatcherRouting, SLOTS_PER_ENGINE} from './rollout-routing.js';

export type Policy = {
	readonly isRoundRobin: boolean;
	readonly canHedge: boolean;
	readonly canResume: boolean;
	readonly longestFirst: boolean;
	readonly stallMs: number;
	readonly waveShare: number;
	readonly concurrentLoads: number;
	/** Time for which an engine that trainers wait for may defer a load. */
	readonly deferralMs: number;
	readonly division: SlotDivision;
	readonly measure: 'idle' | 'staleness';
	/** Whether trainers post their next step before they train, so that its samples can be generated during the training. */
	readonly postsAhead: boolean;
};

export type TrainerProfile = {
	readonly name: string;
	readonly groups: number;
	readonly samplesPerGroup: number;
	readonly meanTokens: number;
	readonly trainMs: number;
};

export type Deployment = {
	readonly name: string;
	readonly zones: ReadonlyArray<{readonly zone: string; readonly region: string}>;
	readonly engines: number;
	readonly trainers: readonly TrainerProfile[];
	readonly stalenessBound: number;
	readonly enough: number;
	readonly durationMs: number;
	readonly seed: number;
};

export type StepWork = {
	readonly tokens: number;
	/** Tokens of the longest sample. */
	readonly longest: number;
};

export type Outcome = {
	readonly idleMs: number;
	/** Seconds from the publication of the oldest weight version in a sample to the delivery of the sample. */
	readonly agesSeconds: readonly number[];
	readonly overBound: number;
	/** The samples delivered in each step, per trainer in the order of the steps. */
	readonly workByTrainer: ReadonlyArray<readonly StepWork[]>;
	readonly steps: number;
	readonly generatedTokens: number;
	/** What the engines did while trainers waited for samples. */
	readonly idleShares: IdleShares;
};

const ENGINE_TOKENS_PER_SECOND = 480;
/** Tokens per second of one stream in a small batch. */
export const STREAM_TOKENS_PER_SECOND = 48;
const IDLE_SHARES_PERIOD_MS = 200;
const SUSTAINED_CONCURRENT_LOADS = 2;
const LOAD_MS = 6000;
const MAXIMUM_TOKENS = 1024;
const benchHolding: Holding = {shard: 0, fencing: 1, validUntil: Number.POSITIVE_INFINITY};

/** Returns the tokens per second of all engines together. */
export function tokenRateOf(deployment: Deployment): number {
	return deployment.engines * ENGINE_TOKENS_PER_SECOND;
}

/** Schedules slow, stalled and crashed engines; the same faults in every run with the same seed. */
function scheduleFaults(time: VirtualTime, engines: readonly EngineModel[], deployment: Deployment): void {
	const random = createSeededRandom(deployment.seed);
	const count = Math.floor(deployment.durationMs / 45_000);
	Array.from({length: count}, (_, index) => index).forEach(index => {
		const engine = engines[Math.floor(random() * engines.length)]!;
		const draw = random();
		const lengthMs = 10_000 + (random() * 20_000);
		time.loop.after((index * 45_000) + (random() * 40_000), () => {
			if (draw < 0.2) {
				engine.crash(lengthMs);
				return;
			}

			engine.setSpeed(draw < 0.6 ? 0.25 : 0);
			time.loop.after(lengthMs, () => {
				engine.setSpeed(1);
			});
		});
	});
}

export async function runDeployment(deployment: Deployment, policy: Policy): Promise<Outcome> {
	const time = createVirtualTime(createSeededRandom(deployment.seed + 2));
	const {loop, clock: {monotonic}} = time;
	const models = deployment.trainers.map(trainer => trainer.name);
	const weightStore = {activeLoads: 0, concurrentLoads: SUSTAINED_CONCURRENT_LOADS};
	const lengthsByTrainer = new Map(deployment.trainers.map(trainer => [trainer.name, createLengthDistribution(trainer.meanTokens, MAXIMUM_TOKENS)]));
	const engines = Array.from({length: deployment.engines}, (_, index) => createEngineModel({
		id: `engine-${index}`,
		loop,
		models,
		slots: SLOTS_PER_ENGINE,
		tokensPerSecond: ENGINE_TOKENS_PER_SECOND,
		streamTokensPerSecond: STREAM_TOKENS_PER_SECOND,
		prefillTokensPerSecond: 8000,
		loadMs: LOAD_MS,
		fencing: 'checked',
		startVersion: 1,
		weightStore,
		lengthOf: (prompt, seed) => lengthsByTrainer.get(prompt.split(' ', 1)[0]!)!(prompt, seed),
	}));
	const routing = policy.isRoundRobin ? createRoundRobinRouting(engines, deployment.zones) : createDispatcherRouting(time, engines, deployment);
	const memory = createMemoryStore().open();
	const publishedAtByVersion = new Map<string, number>(models.map(model => [`${model}/1`, 0]));
	const agesSeconds: number[] = [];
	const workByTrainer: StepWork[][] = deployment.trainers.map(() => []);
	const ownerByTrainer = new Map<string, TrainerOwner>();
	const waitingTrainers = new Set<string>();
	let idleShares = noIdleShares;
	let idleMs = 0;
	let overBound = 0;

	const pool = createPoolOwner({
		pool: 'p', daemonId: 'd', models, fencing: 'checked', leaseMs: 6000, monotonic, holding: () => benchHolding, record: () => undefined, onFailure: () => undefined,
		limits: {
			waveShare: policy.waveShare, concurrentLoads: policy.concurrentLoads, loadTimeoutMs: 60_000, pollMs: 500, toleratedLag: () => 1, deferralMs: policy.deferralMs,
		},
		engines: () => engines.map(engine => ({id: engine.id, engine: engine.engine})),
		isNeeded: (serverId, now) => [...ownerByTrainer.values()].some(owner => isWaitingForSamples(owner.demand(now))) && routing.load(serverId, now).requests > 0,
	}, benchHolding, 0);

	function createOwner(trainer: TrainerProfile): TrainerOwner {
		const forecast = createLengthForecast();
		const engineChoice = createEngineChoice(policy.measure);
		const runner = createGenerationRunner({
			admission: {admit: async () => ok({release: () => undefined})},
			router: {...routing, engine: server => engines.find(engine => engine.id === server.id)!.engine},
			monotonic, pool: 'p', model: trainer.name, plan: () => 'plan', deadlineMs: 240_000, onFailure: () => undefined,
		});
		return createTrainerOwner({
			trainer: trainer.name,
			ledgerStore: createLedgerStore(memory, trainer.name, 'd'),
			loop, monotonic, holding: () => benchHolding, maximumBatch: 64, slotsPerEngine: SLOTS_PER_ENGINE,
			slots(now) {
				const usable = pool.versionTable.engines(trainer.name).filter(engine => engine.usable).length;
				return budgetOf(policy.division, usable * SLOTS_PER_ENGINE, [...ownerByTrainer.values()].map(owner => owner.demand(now)), trainer.name);
			},
			allowed: (_request, weightVersion) => engineChoice.choose({
				pool: 'p', model: trainer.name, target: pool.versionTable.target(trainer.name), engines: pool.versionTable.engines(trainer.name),
			}, {oldestAllowed: createStalenessRule(deployment.stalenessBound).oldestAllowed(weightVersion), weightVersion}, monotonic()),
			createRun: (request, required) => createStepRun({
				request, runner, scores: undefined, monotonic,
				schedule: createStepSchedule({
					...policy, request, required, forecast, stalenessBound: deployment.stalenessBound, attemptPrefix: `${trainer.name}.${request.step}`,
				}),
			}),
		});
	}

	function recordBatch(trainer: TrainerProfile, batch: Batch, weightVersion: number): void {
		batch.samples.forEach(sample => {
			agesSeconds.push((monotonic() - publishedAtByVersion.get(`${trainer.name}/${sample.oldestVersion}`)!) / 1000);
			overBound += sample.oldestVersion < weightVersion - deployment.stalenessBound ? 1 : 0;
		});
	}

	/** Pulls batches until the step is done; returns the work of the delivered samples. */
	async function pullAll(trainer: TrainerProfile, request: StepRequest, cursor: number, before: StepWork): Promise<StepWork> {
		const pulled = await ownerByTrainer.get(trainer.name)!.pull({
			trainer: trainer.name, step: request.step, cursor, weightVersion: request.weightVersion, waitMs: 1000,
		});
		if (pulled.isErr()) {
			throw new Error(pulled.error.message);
		}

		recordBatch(trainer, pulled.value, request.weightVersion);
		const sum = pulled.value.samples.reduce<StepWork>(({tokens, longest}, sample) => ({tokens: tokens + sample.tokens, longest: Math.max(longest, sample.tokens)}), before);
		return pulled.value.done ? sum : pullAll(trainer, request, pulled.value.batch, sum);
	}

	function createRequest(trainer: TrainerProfile, step: number, weightVersion: number): StepRequest {
		return {
			trainer: trainer.name,
			step,
			weightVersion,
			samplesPerGroup: trainer.samplesPerGroup,
			stalenessBound: undefined,
			enough: deployment.enough,
			maximumTokens: MAXIMUM_TOKENS,
			deadlineMs: undefined,
			// The prompts repeat every three steps, like the epochs of a training run.
			prompts: Array.from({length: trainer.groups}, (_, group) => `${trainer.name} ${(step % 3)} ${group}`),
		};
	}

	async function runTrainer(trainer: TrainerProfile, index: number, step: number): Promise<void> {
		const startedAt = monotonic();
		const owner = ownerByTrainer.get(trainer.name)!;
		const isPosted = policy.postsAhead && step > 1;
		if (!isPosted) {
			await owner.postStep(createRequest(trainer, step, step));
		}

		waitingTrainers.add(trainer.name);
		const delivered = await pullAll(trainer, createRequest(trainer, step, step), 0, {tokens: 0, longest: 0});
		waitingTrainers.delete(trainer.name);
		idleMs += monotonic() - startedAt;
		workByTrainer[index]!.push(delivered);
		if (policy.postsAhead) {
			await owner.postStep(createRequest(trainer, step + 1, step));
		}

		await loop.sleep(trainer.trainMs);
		publishedAtByVersion.set(`${trainer.name}/${step + 1}`, monotonic());
		pool.setTargets([{model: trainer.name, version: step + 1}]);
		await runTrainer(trainer, index, step + 1);
	}

	pool.setTargets(models.map(model => ({model, version: 1})));
	loop.every({
		name: 'pool', periodMs: 500, run(now) {
			pool.run(now);
		},
	});
	loop.every({
		name: 'owners', periodMs: 200, run(now) {
			[...ownerByTrainer.values()].forEach(owner => {
				owner.run(now);
			});
		},
	});
	loop.every({
		name: 'shares', periodMs: IDLE_SHARES_PERIOD_MS, run() {
			const conditions = engines.map(engine => engine.condition());
			idleShares = [...waitingTrainers].reduce((sum, trainer) => addIdleShares(sum, trainer, conditions, IDLE_SHARES_PERIOD_MS), idleShares);
		},
	});
	scheduleFaults(time, engines, deployment);
	await time.advance(2000);
	deployment.trainers.forEach((trainer, index) => {
		ownerByTrainer.set(trainer.name, createOwner(trainer));
		void runTrainer(trainer, index, 1);
	});
	await time.advance(deployment.durationMs);
	const generatedTokens = engines.reduce((sum, engine) => sum + engine.generatedTokens(), 0);
	return {
		idleMs, agesSeconds, overBound, workByTrainer, steps: workByTrainer.flat().length, generatedTokens, idleShares,
	};
}
