/** A daemon as a library: a kernel over settings and contributions, started and ready to be stopped. */
import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';
import {type Disposable, createDisposable} from '../../base/common/disposable.js';
import type {Failure} from '../../base/common/failure.js';
import {createSystemClock} from '../../base/node/system-clock.js';
import type {Contribution, ServiceKey} from '../../kernel/common/contribution.js';
import {createKernel, type Kernel, type Surroundings} from '../../kernel/common/kernel.js';
import {createLifecycle, lifecycleKey, type Lifecycle} from '../../kernel/common/lifecycle.js';
import type {Log} from '../../kernel/common/log.js';
import {silentMetrics, type Metrics} from '../../kernel/common/metrics.js';
import {createJsonLog} from '../../kernel/node/json-log.js';
import {createStatsdMetrics} from '../../kernel/node/statsd-metrics.js';
import {createTimerLoop} from '../../kernel/node/timer-loop.js';
import {settingsKey, type Settings} from '../../settings/common/settings.js';

/** What a daemon is built from. */
export type DaemonOptions = {
	readonly settings: Settings;
	readonly contributions: readonly Contribution[];
	/** Replaces parts of the process's own clock, loop, random source, log and metrics. */
	readonly surroundings?: Partial<Surroundings>;
};

/** A running daemon. */
export type Daemon = {
	/** Returns a service that a contribution provided. */
	readonly use: <T>(key: ServiceKey<T>) => T;
	/**
	 * Finishes work in progress and frees everything. Resolves with whether all of it was finished within the
	 * `requests.drainMs` of settings. Later calls return the outcome of the first.
	 */
	readonly stop: () => Promise<boolean>;
	/** Resolves with the reason when a contribution, such as the drain route, asks for a stop. */
	readonly stopRequested: Promise<string>;
};

type OwnedMetrics = {
	readonly metrics: Metrics;
	readonly owner: Disposable;
};

function createMetrics(settings: Settings): OwnedMetrics {
	if (settings.metrics === undefined) {
		return {metrics: silentMetrics, owner: createDisposable(() => undefined)};
	}

	const tags = {daemon: settings.daemon.id, zone: settings.daemon.availabilityZone};
	const metrics = createStatsdMetrics({...settings.metrics, tags});
	return {metrics, owner: metrics};
}

function createSurroundings(settings: Settings, metrics: Metrics): Surroundings {
	const clock = createSystemClock();
	const {random} = Math;
	const log = createJsonLog({level: settings.log.level, fields: {daemon: settings.daemon.id, pid: process.pid}});
	return {
		clock, random, log, metrics, loop: createTimerLoop(clock, random, log),
	};
}

type Parts = {
	readonly kernel: Kernel;
	readonly log: Log;
	readonly drainMs: number;
	/** Freed last. */
	readonly owner: Disposable;
	readonly lifecycle: Lifecycle;
	readonly stopRequested: Promise<string>;
};

function createDaemon({kernel, log, drainMs, owner, lifecycle, stopRequested}: Parts): Daemon {
	let stopped: Promise<boolean> | undefined;

	async function stopOnce(): Promise<boolean> {
		log.info('daemon stopping', {drainMs});
		// Features tell peers and balancers at once, before the first of them has drained.
		lifecycle.requestStop('stop');
		const drained = await kernel.stop(drainMs);
		owner.dispose();
		log.info('daemon stopped', {drained});
		return drained;
	}

	return {
		use: kernel.use,
		stopRequested,
		async stop() {
			stopped ??= stopOnce();
			return stopped;
		},
	};
}

/** Builds and starts a daemon. On a failure nothing is left running. */
export async function startDaemon(options: DaemonOptions): Promise<Result<Daemon, Failure>> {
	const {settings, contributions} = options;
	const {metrics, owner} = createMetrics(settings);
	const surroundings = {...createSurroundings(settings, metrics), ...options.surroundings};
	const lifecycle = createLifecycle();
	const stopRequested = new Promise<string>(resolve => {
		lifecycle.onDidRequestStop(resolve);
	});
	const kernel = createKernel(surroundings, contributions, context => {
		context.provide(settingsKey, settings);
		context.provide(lifecycleKey, lifecycle);
	});
	const started = await kernel.start();
	if (started.isErr()) {
		owner.dispose();
		return err(started.error);
	}

	const {log} = surroundings;
	log.info('daemon started', {...settings.daemon, features: contributions.map(contribution => contribution.id)});
	return ok(createDaemon({
		kernel, log, owner, lifecycle, stopRequested, drainMs: settings.requests.drainMs,
	}));
}
