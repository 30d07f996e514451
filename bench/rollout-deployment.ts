/**
 * One deployment under virtual time: trainers that share engines through the real owners, schedules, divisions, waves and
 * routing, with slow, stalled and crashed engines on the way. What differs between two runs is the policy only.
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
import {createEngineModel, createLengths, type EngineModel} from './engine-model.js';
import {createRoundRobin, createRouting, SLOTS} from './rollout-routing.js';

export type Policy = {
	readonly isRoundRobin: boolean;
	readonly canHedge: boolean;
	readonly canResume: boolean;
	readonly longestFirst: boolean;
	readonly stallMs: number;
	readonly waveShare: number;
	readonly concurrentLoads: number;
	/** Time for which a needed engine may put off a load, in milliseconds. */
	readonly deferralMs: number;
	readonly division: SlotDivision;
	readonly measure: 'idle' | 'staleness';
	/** Whether trainers post their next step before they train, so that its samples can be generated meanwhile. */
	readonly postsAhead: boolean;
};

export type TrainerPlan = {
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
	readonly trainers: readonly TrainerPlan[];
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
	/** Seconds from the publication of a sample's oldest version to its hand-over. */
	readonly ages: readonly number[];
	readonly overBound: number;
	/** The samples handed over in each step, per trainer in the order of the steps. */
	readonly work: ReadonlyArray<readonly StepWork[]>;
	readonly steps: number;
	readonly generated: number;
	/** What the engines did while trainers waited. */
	readonly shares: IdleShares;
};

const ENGINE_TOKENS_PER_SECOND = 480;
/** Tokens per second of one stream in a small batch. */
export const STREAM_TOKENS_PER_SECOND = 48;
const SHARES_PERIOD_MS = 200;
const LOADS_SUSTAINED = 2;
const LOAD_MS = 6000;
const MAXIMUM_TOKENS = 1024;
const held: Holding = {shard: 0, fencing: 1, validUntil: Number.POSITIVE_INFINITY};

/** Tokens per second of all engines together. */
export function tokenRateOf(deployment: Deployment): number {
	return deployment.engines * ENGINE_TOKENS_PER_SECOND;
}

/** The same faults in every run of a seed: slow, stalled and crashed engines. */
function scheduleFaults(time: VirtualTime, engines: readonly EngineModel[], deployment: Deployment): void {
	const random = createSeededRandom(deployment.seed);
	const count = Math.floor(deployment.durationMs / 45_000);
	Array.from({length: count}, (_, index) => index).forEach(index => {
		const engine = engines[Math.floor(random() * engines.length)]!;
		const kind = random();
		const lengthMs = 10_000 + (random() * 20_000);
		time.loop.after((index * 45_000) + (random() * 40_000), () => {
			if (kind < 0.2) {
				engine.crash(lengthMs);
				return;
			}

			engine.setSpeed(kind < 0.6 ? 0.25 : 0);
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
	const weightStore = {loads: 0, concurrent: LOADS_SUSTAINED};
	const lengths = new Map(deployment.trainers.map(trainer => [trainer.name, createLengths(trainer.meanTokens, MAXIMUM_TOKENS)]));
	const engines = Array.from({length: deployment.engines}, (_, index) => createEngineModel({
		id: `engine-${index}`,
		loop,
		models,
		slots: SLOTS,
		tokensPerSecond: ENGINE_TOKENS_PER_SECOND,
		streamTokensPerSecond: STREAM_TOKENS_PER_SECOND,
		prefillTokensPerSecond: 8000,
		loadMs: LOAD_MS,
		fencing: 'checked',
		startVersion: 1,
		weightStore,
		lengthOf: (prompt, seed) => lengths.get(prompt.split(' ', 1)[0]!)!(prompt, seed),
	}));
	const routing = policy.isRoundRobin ? createRoundRobin(engines, deployment.zones) : createRouting(time, engines, deployment);
	const memory = createMemoryStore().open();
	const published = new Map<string, number>(models.map(model => [`${model}/1`, 0]));
	const ages: number[] = [];
	const work: StepWork[][] = deployment.trainers.map(() => []);
	const owners = new Map<string, TrainerOwner>();
	const waiting = new Set<string>();
	let shares = noIdleShares;
	let idleMs = 0;
	let overBound = 0;

	const pool = createPoolOwner({
		pool: 'p', daemonId: 'd', models, fencing: 'checked', leaseMs: 6000, monotonic, holding: () => held, record: () => undefined, onFailure: () => undefined,
		limits: {
			waveShare: policy.waveShare, concurrentLoads: policy.concurrentLoads, loadTimeoutMs: 60_000, pollMs: 500, toleratedLag: () => 1, deferralMs: policy.deferralMs,
		},
		engines: () => engines.map(engine => ({id: engine.id, engine: engine.engine})),
		isNeeded: (serverId, now) => [...owners.values()].some(owner => isWaitingForSamples(owner.demand(now))) && routing.load(serverId, now).requests > 0,
	}, held, 0);

	function createOwner(trainer: TrainerPlan): TrainerOwner {
		const forecast = createLengthForecast();
		const choice = createEngineChoice(policy.measure);
		const runner = createGenerationRunner({
			admission: {admit: async () => ok({release: () => undefined})},
			router: {...routing, engine: server => engines.find(engine => engine.id === server.id)!.engine},
			monotonic, pool: 'p', model: trainer.name, plan: () => 'plan', deadlineMs: 240_000, onFailure: () => undefined,
		});
		return createTrainerOwner({
			trainer: trainer.name,
			ledgerStore: createLedgerStore(memory, trainer.name, 'd'),
			loop, monotonic, holding: () => held, maximumBatch: 64, slotsPerEngine: SLOTS,
			slots(now) {
				const usable = pool.versionTable.engines(trainer.name).filter(engine => engine.usable).length;
				return budgetOf(policy.division, usable * SLOTS, [...owners.values()].map(owner => owner.demand(now)), trainer.name);
			},
			allowed: (_request, weightVersion) => choice.choose({
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

	function noteBatch(trainer: TrainerPlan, batch: Batch, weightVersion: number): void {
		batch.samples.forEach(sample => {
			ages.push((monotonic() - published.get(`${trainer.name}/${sample.oldestVersion}`)!) / 1000);
			overBound += sample.oldestVersion < weightVersion - deployment.stalenessBound ? 1 : 0;
		});
	}

	/** Pulls until the step is done; returns what was handed over. */
	async function pullAll(trainer: TrainerPlan, request: StepRequest, cursor: number, before: StepWork): Promise<StepWork> {
		const pulled = await owners.get(trainer.name)!.pull({
			trainer: trainer.name, step: request.step, cursor, weightVersion: request.weightVersion, waitMs: 1000,
		});
		if (pulled.isErr()) {
			throw new Error(pulled.error.message);
		}

		noteBatch(trainer, pulled.value, request.weightVersion);
		const sum = pulled.value.samples.reduce<StepWork>(({tokens, longest}, sample) => ({tokens: tokens + sample.tokens, longest: Math.max(longest, sample.tokens)}), before);
		return pulled.value.done ? sum : pullAll(trainer, request, pulled.value.batch, sum);
	}

	function createRequest(trainer: TrainerPlan, step: number, weightVersion: number): StepRequest {
		return {
			trainer: trainer.name,
			step,
			weightVersion,
			samplesPerGroup: trainer.samplesPerGroup,
			stalenessBound: undefined,
			enough: deployment.enough,
			maximumTokens: MAXIMUM_TOKENS,
			deadlineMs: undefined,
			// Prompts come again, as over the epochs of a training run.
			prompts: Array.from({length: trainer.groups}, (_, group) => `${trainer.name} ${(step % 3)} ${group}`),
		};
	}

	async function runTrainer(trainer: TrainerPlan, index: number, step: number): Promise<void> {
		const begun = monotonic();
		const owner = owners.get(trainer.name)!;
		const isPosted = policy.postsAhead && step > 1;
		if (!isPosted) {
			await owner.postStep(createRequest(trainer, step, step));
		}

		waiting.add(trainer.name);
		const delivered = await pullAll(trainer, createRequest(trainer, step, step), 0, {tokens: 0, longest: 0});
		waiting.delete(trainer.name);
		idleMs += monotonic() - begun;
		work[index]!.push(delivered);
		if (policy.postsAhead) {
			await owner.postStep(createRequest(trainer, step + 1, step));
		}

		await loop.sleep(trainer.trainMs);
		published.set(`${trainer.name}/${step + 1}`, monotonic());
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
			[...owners.values()].forEach(owner => {
				owner.run(now);
			});
		},
	});
	loop.every({
		name: 'shares', periodMs: SHARES_PERIOD_MS, run() {
			const conditions = engines.map(engine => engine.condition());
			shares = [...waiting].reduce((sum, trainer) => addIdleShares(sum, trainer, conditions, SHARES_PERIOD_MS), shares);
		},
	});
	scheduleFaults(time, engines, deployment);
	await time.advance(2000);
	deployment.trainers.forEach((trainer, index) => {
		owners.set(trainer.name, createOwner(trainer));
		void runTrainer(trainer, index, 1);
	});
	await time.advance(deployment.durationMs);
	const generated = engines.reduce((sum, engine) => sum + engine.generated(), 0);
	return {
		idleMs, ages, overBound, work, steps: work.flat().length, generated, shares,
	};
}
