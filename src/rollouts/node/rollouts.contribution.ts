/** Plug-in: opens steps for trainers, generates their samples on the engines, and delivers them. */
import {joinDisposables} from '../../base/common/disposable.js';
import {formatFailure, type Failure} from '../../base/common/failure.js';
import type {Context} from '../../kernel/common/contribution.js';
import {registerContribution} from '../../kernel/common/registry.js';
import {shardOf, shardsKey} from '../../leases/common/shards.js';
import {admissionKey} from '../../limits/common/admission.js';
import {membershipKey} from '../../membership/common/membership.js';
import {peersKey} from '../../peers/common/peers.js';
import {configurationKey} from '../../plans/common/configuration.js';
import {adaptersKey} from '../../adapters/common/adapters.js';
import {storeKey} from '../../adapters/common/store.js';
import {weightStoreKey} from '../../adapters/common/weight-store.js';
import {frontKey} from '../../requests/common/front.js';
import {routerKey} from '../../routing/common/router.js';
import {settingsKey, type TrainerProfile} from '../../settings/common/settings.js';
import {engineVersionsKey} from '../../weights/common/engine-versions.js';
import {createDemandTable} from '../common/demand-table.js';
import {createEngineChoice, type EngineChoice} from '../common/engine-choice.js';
import {createGenerationRunner} from '../common/generation-runner.js';
import {createLedgerStore} from '../common/ledger-store.js';
import {createLengthForecast} from '../common/length-forecast.js';
import {createScoreRetries} from '../common/score-retries.js';
import {
	budgetOf, isWaitingForSamples, ShortestFirstDivision, type SlotBudget, type TrainerDemand,
} from '../common/slot-division.js';
import {createStalenessRule} from '../common/staleness.js';
import type {StepRequest} from '../common/step.js';
import {createStepRun, type StepRun} from '../common/step-run.js';
import {createStepSchedule} from '../common/step-schedule.js';
import {createTrainerHandler, createTrainerOwners} from '../common/trainer-handler.js';
import {createTrainerOwner, type TrainerOwner} from '../common/trainer-owner.js';
import {createRolloutClient, serveRollouts} from './rollouts-rpc.js';
import {registerTrainerRoutes} from './trainer-routes.js';

const DECIDE_PERIOD_MS = 200;
const SPREAD_PERIOD_MS = 500;

function start(context: Context) {
	const settings = context.use(settingsKey);
	const shards = context.use(shardsKey);
	const router = context.use(routerKey);
	const versions = context.use(engineVersionsKey);
	const findVersions = versions.find;
	const admission = context.use(admissionKey);
	const configuration = context.use(configurationKey);
	const membership = context.use(membershipKey);
	const peers = context.use(peersKey);
	const adapters = context.use(adaptersKey);
	const store = context.use(storeKey);
	const {monotonic} = context.clock;
	const {id: daemonId, incarnation} = membership.self();
	const writer = `${daemonId}-${incarnation}`;
	const demandTable = createDemandTable(membership, monotonic);
	const division = new ShortestFirstDivision();

	function createFailureReporter(message: string): (failure: Failure) => void {
		return failure => {
			context.metrics.count('rollouts.failures', 1, {code: failure.code});
			context.log.debug(message, {failure: formatFailure(failure)});
		};
	}

	function findTrainer(name: string): TrainerProfile | undefined {
		return settings.trainers.find(trainer => trainer.name === name);
	}

	/** Returns the demands of the trainers of a pool. */
	function demandsOf(poolName: string, now: number): readonly TrainerDemand[] {
		const names = new Set(settings.trainers.filter(trainer => trainer.pool === poolName).map(trainer => trainer.name));
		return demandTable.demands(now).filter(demand => names.has(demand.trainer));
	}

	function slotsOf(trainer: TrainerProfile, now: number): SlotBudget {
		const pool = settings.pools.find(candidate => candidate.name === trainer.pool);
		const {engines} = findVersions(trainer.pool, trainer.model);
		const usable = engines.filter(engine => engine.usable).length;
		return budgetOf(division, usable * (pool?.slots ?? 0), demandsOf(trainer.pool, now), trainer.name);
	}

	function chooseAllowed(trainer: TrainerProfile, choice: EngineChoice, request: StepRequest, weightVersion: number): readonly string[] {
		const rule = createStalenessRule(request.stalenessBound ?? trainer.stalenessBound);
		const modelVersions = findVersions(trainer.pool, trainer.model);
		return choice.choose(modelVersions, {oldestAllowed: rule.oldestAllowed(weightVersion), weightVersion}, monotonic());
	}

	function createRun(trainer: TrainerProfile, forecast: ReturnType<typeof createLengthForecast>, request: StepRequest, required: number): StepRun {
		const scoring = settings.scoring.find(candidate => candidate.name === trainer.scoring);
		const schedule = createStepSchedule({
			request,
			required,
			forecast,
			stalenessBound: request.stalenessBound ?? trainer.stalenessBound,
			attemptPrefix: `${writer}.${request.trainer}.${request.step}`,
			stallMs: settings.rollouts.stallMs,
			canHedge: true,
			canResume: true,
			longestFirst: true,
		});
		const runner = createGenerationRunner({
			admission,
			router,
			monotonic,
			pool: trainer.pool,
			model: trainer.model,
			plan: () => configuration.current().lists.plans.find(plan => plan.trainers.includes(trainer.name))?.name,
			deadlineMs: request.deadlineMs ?? settings.rollouts.stepDeadlineMs,
			onFailure: createFailureReporter('sample not generated'),
		});
		const scores = scoring && createScoreRetries(adapters.scorers.get(scoring.kind)(scoring), context.loop, createFailureReporter('sample not scored'));
		return createStepRun({
			request, schedule, runner, scores, monotonic,
		});
	}

	function createOwner(name: string): TrainerOwner {
		const trainer = findTrainer(name);
		if (trainer === undefined) {
			throw new Error(`trainer ${name} is not in the settings`);
		}

		const forecast = createLengthForecast();
		const choice = createEngineChoice(settings.rollouts.measure);
		const shard = shardOf('trainer', name, shards.count);
		return createTrainerOwner({
			trainer: name,
			ledgerStore: createLedgerStore(store, name, writer),
			loop: context.loop,
			monotonic,
			holding: now => shards.holding(shard, now),
			slots: now => slotsOf(trainer, now),
			slotsPerEngine: settings.pools.find(pool => pool.name === trainer.pool)?.slots ?? 1,
			allowed: (request, weightVersion) => chooseAllowed(trainer, choice, request, weightVersion),
			createRun: (request, required) => createRun(trainer, forecast, request, required),
			maximumBatch: settings.rollouts.maximumBatch,
		});
	}

	const owners = createTrainerOwners(createOwner);
	const trainerHandler = createTrainerHandler({
		daemonId,
		shards,
		loop: context.loop,
		monotonic,
		local: name => owners.get(name),
		remote: owner => createRolloutClient(peers, owner),
	});

	/** Drops the owners of trainers that another daemon now owns. While no owner is known, generation continues here. */
	function dropReassigned(now: number): void {
		[...owners.all().keys()].forEach(name => {
			const shard = shardOf('trainer', name, shards.count);
			const owner = shards.owner(shard, now);
			if (shards.holding(shard, now) === undefined && owner !== undefined && owner.daemonId !== daemonId) {
				owners.drop(name);
			}
		});
	}

	// An engine with running requests is needed while a trainer of its pool is idle, so its weight loads are deferred.
	versions.setNeedCheck((poolName, serverId, now) => demandsOf(poolName, now).some(demand => isWaitingForSamples(demand)) && router.load(serverId, now).requests > 0);
	serveRollouts(peers, {
		postStep: async request => owners.get(request.trainer).postStep(request),
		pull: async request => owners.get(request.trainer).pull(request),
	});
	registerTrainerRoutes(context.use(frontKey), {
		trainers: settings.trainers,
		trainerHandler,
		versions,
		weightStore: settings.weightStore === undefined ? undefined : context.use(weightStoreKey),
	});

	return joinDisposables([
		demandTable,
		context.loop.every({
			name: 'rollout steps',
			periodMs: DECIDE_PERIOD_MS,
			run(now) {
				dropReassigned(now);
				[...owners.all().values()].forEach(owner => {
					owner.run(now);
				});
			},
		}),
		context.loop.every({
			name: 'rollout demands',
			periodMs: SPREAD_PERIOD_MS,
			jitterShare: 0.2,
			run(now) {
				demandTable.publish([...owners.all().values()].map(owner => owner.demand(now)), now, context.clock.wall());
			},
		}),
		{
			dispose() {
				[...owners.all().keys()].forEach(name => {
					owners.drop(name);
				});
			},
		},
	]);
}

registerContribution({
	id: 'rollouts',
	requires: ['platform', 'peers', 'membership', 'leases', 'plans', 'limits', 'routing', 'requests', 'weights'],
	start,
});
