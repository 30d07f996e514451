/** One daemon of a rollout simulation. It can be paused, crash, lose its holding, and get faults of the store. */
import {ok} from 'neverthrow';
import type {EngineModel} from '../../../bench/engine-model.js';
import type {VirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {Holding} from '../../leases/common/shards.js';
import type {MemoryStore, StoreFault} from '../../adapters/common/memory-store.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import {createGenerationRunner, type GenerationRunnerOptions} from '../common/generation-runner.js';
import {createLedgerStore, type LedgerStore, type LedgerWriter} from '../common/ledger-store.js';
import {createLengthForecast} from '../common/length-forecast.js';
import type {ScheduleOptions} from '../common/schedule-options.js';
import {createStalenessRule} from '../common/staleness.js';
import {createStepRun} from '../common/step-run.js';
import {createStepSchedule} from '../common/step-schedule.js';
import {createTrainerOwner, type TrainerOwner} from '../common/trainer-owner.js';
import {SLOTS} from './rollout-engines.js';

/** Mechanisms of a daemon that a test replaces by faulty ones. */
export type BrokenMechanisms = {
	readonly write?: LedgerWriter;
	readonly createLedgerStore?: () => LedgerStore;
	/** Whether the owner ignores that its holding has lapsed. */
	readonly isEverHeld?: boolean;
	readonly schedule?: Partial<ScheduleOptions>;
};

/** A daemon, and the state and actions by which a test controls it. */
export type Daemon = {
	readonly owner: TrainerOwner;
	holding: Holding | undefined;
	isPaused: boolean;
	isCrashed: boolean;
	fault: () => StoreFault;
	/** Resolves when the daemon is not paused. */
	whenResumed: () => Promise<void>;
	resume: () => void;
};

/** Dependencies and settings shared by the daemons of a simulation. */
export type DaemonDependencies = {
	readonly time: VirtualTime;
	readonly memory: MemoryStore;
	readonly engines: readonly EngineModel[];
	readonly router: GenerationRunnerOptions['router'];
	readonly stalenessBound: number;
	readonly maximumBatch: number;
	readonly broken: BrokenMechanisms;
};

/** The name of the trainer in all simulations. */
export const trainer = 'trainer-a';

/** A call that never gets a response. */
export async function neverResolves<T>(): Promise<T> {
	return new Promise(() => {
		// Never resolves.
	});
}

/** Starts a daemon; `name` must be unique per start. */
export function createRolloutDaemon(name: string, dependencies: DaemonDependencies): Daemon {
	const {
		time, memory, engines, router, stalenessBound, broken,
	} = dependencies;
	const resumeCallbacks: Array<() => void> = [];
	const state: Omit<Daemon, 'owner'> = {
		holding: undefined,
		isPaused: false,
		isCrashed: false,
		fault: () => 'none',
		whenResumed: async () => state.isPaused
			? new Promise(resolve => {
				resumeCallbacks.push(resolve);
			})
			: undefined,
		resume() {
			state.isPaused = false;
			resumeCallbacks.splice(0).forEach(resumeCallback => {
				resumeCallback();
			});
		},
	};
	const storeClient = memory.open(() => state.fault());
	const write: LedgerWriter = async (store, written) => {
		await state.whenResumed();
		return state.isCrashed ? neverResolves() : (broken.write ?? writeSettled)(store, written);
	};

	const forecast = createLengthForecast();
	const runner = createGenerationRunner({
		admission: {admit: async () => ok({release: () => undefined})},
		router,
		monotonic: time.clock.monotonic,
		pool: 'p',
		model: 'm',
		plan: () => 'plan',
		deadlineMs: 60_000,
		onFailure: () => undefined,
	});
	let lastHeld: Holding | undefined;
	const owner = createTrainerOwner({
		trainer,
		ledgerStore: broken.createLedgerStore?.() ?? createLedgerStore(storeClient, trainer, `daemon-${name}`, write),
		loop: time.loop,
		monotonic: time.clock.monotonic,
		holding() {
			lastHeld = state.holding ?? lastHeld;
			return broken.isEverHeld === true ? lastHeld : state.holding;
		},
		slotsPerEngine: SLOTS,
		slots: () => ({slots: engines.length * SLOTS, spare: 0}),
		allowed: (_request, version) => engines.filter(model => model.version('m') >= createStalenessRule(stalenessBound).oldestAllowed(version)).map(model => model.id),
		createRun: (request, required) => createStepRun({
			request,
			runner,
			scores: undefined,
			monotonic: time.clock.monotonic,
			schedule: createStepSchedule({
				request,
				required,
				forecast,
				stalenessBound,
				attemptPrefix: `d${name}.${request.step}`,
				stallMs: 2000,
				canHedge: true,
				canResume: true,
				longestFirst: true,
				...broken.schedule,
			}),
		}),
		maximumBatch: dependencies.maximumBatch,
	});
	time.loop.every({
		name: 'run',
		periodMs: 200,
		run(now) {
			if (!state.isPaused && !state.isCrashed) {
				owner.run(now);
			}
		},
	});
	return Object.assign(state, {owner});
}
