/** One daemon of a rollout world: it may freeze, die, lose its holding, and see faults of the store. */
import {ok} from 'neverthrow';
import type {EngineModel} from '../../../bench/engine-model.js';
import type {VirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {Holding} from '../../leases/common/shards.js';
import type {MemoryStore, StoreFault} from '../../adapters/common/memory-store.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import {createGenerationRunner, type RunnerOptions} from '../common/generation-runner.js';
import {createLedgerKeeper, type LedgerKeeper, type LedgerWriter} from '../common/ledger-keeper.js';
import {createLengthForecast} from '../common/length-forecast.js';
import type {ScheduleOptions} from '../common/schedule-options.js';
import {createStalenessRule} from '../common/staleness.js';
import {createStepRun} from '../common/step-run.js';
import {createStepSchedule} from '../common/step-schedule.js';
import {createTrainerOwner, type TrainerOwner} from '../common/trainer-owner.js';
import {SLOTS} from './rollout-engines.js';

/** Mechanisms replaced by broken ones. */
export type BrokenMechanisms = {
	readonly write?: LedgerWriter;
	readonly createKeeper?: () => LedgerKeeper;
	/** Ignores that a holding has lapsed. */
	readonly isEverHeld?: boolean;
	readonly schedule?: Partial<ScheduleOptions>;
};

/** A daemon and what a scenario does to it. */
export type Daemon = {
	readonly owner: TrainerOwner;
	holding: Holding | undefined;
	isPaused: boolean;
	isDead: boolean;
	fault: () => StoreFault;
	/** Resolves when the daemon is not frozen. */
	thawed: () => Promise<void>;
	resume: () => void;
};

/** What all daemons of a world share. */
export type DaemonParts = {
	readonly time: VirtualTime;
	readonly memory: MemoryStore;
	readonly engines: readonly EngineModel[];
	readonly router: RunnerOptions['router'];
	readonly stalenessBound: number;
	readonly maximumBatch: number;
	readonly broken: BrokenMechanisms;
};

/** The trainer of all worlds. */
export const trainer = 'trainer-a';

/** A call that nobody answers. */
export async function never<T>(): Promise<T> {
	return new Promise(() => {
		// Stays open.
	});
}

/** Starts a daemon; `name` is unique per start. */
export function createRolloutDaemon(name: string, parts: DaemonParts): Daemon {
	const {
		time, memory, engines, router, stalenessBound, broken,
	} = parts;
	const thaws: Array<() => void> = [];
	const state: Omit<Daemon, 'owner'> = {
		holding: undefined,
		isPaused: false,
		isDead: false,
		fault: () => 'none',
		thawed: async () => state.isPaused
			? new Promise(resolve => {
				thaws.push(resolve);
			})
			: undefined,
		resume() {
			state.isPaused = false;
			thaws.splice(0).forEach(thaw => {
				thaw();
			});
		},
	};
	const view = memory.open(() => state.fault());
	const write: LedgerWriter = async (store, written) => {
		await state.thawed();
		return state.isDead ? never() : (broken.write ?? writeSettled)(store, written);
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
		keeper: broken.createKeeper?.() ?? createLedgerKeeper(view, trainer, `daemon-${name}`, write),
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
		maximumBatch: parts.maximumBatch,
	});
	time.loop.every({
		name: 'run',
		periodMs: 200,
		run(now) {
			if (!state.isPaused && !state.isDead) {
				owner.run(now);
			}
		},
	});
	return Object.assign(state, {owner});
}
