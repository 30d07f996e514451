/** Starts a daemon inside the current process: a kernel with the given settings and contributions. */
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

/** Options of `startDaemon`. */
export type DaemonOptions = {
	readonly settings: Settings;
	readonly contributions: readonly Contribution[];
	/** Overrides for the default clock, loop, random source, log and metrics of the process. */
	readonly surroundings?: Partial<Surroundings>;
};

/** A running daemon. */
export type Daemon = {
	/** Returns the service that a contribution provided under the key. */
	readonly use: <T>(key: ServiceKey<T>) => T;
	/**
	 * Drains work in progress, then releases all resources. Resolves with whether all work finished within the setting
	 * `requests.drainMs`. Later calls return the outcome of the first.
	 */
	readonly stop: () => Promise<boolean>;
	/** Resolves with the reason when a contribution, such as the drain route, requests a stop. */
	readonly stopRequested: Promise<string>;
};

type OwnedMetrics = {
	readonly metrics: Metrics;
	readonly metricsDisposable: Disposable;
};

function createMetrics(settings: Settings): OwnedMetrics {
	if (settings.metrics === undefined) {
		return {metrics: silentMetrics, metricsDisposable: createDisposable(() => undefined)};
	}

	const tags = {daemon: settings.daemon.id, zone: settings.daemon.availabilityZone};
	const metrics = createStatsdMetrics({...settings.metrics, tags});
	return {metrics, metricsDisposable: metrics};
}

function createSurroundings(settings: Settings, metrics: Metrics): Surroundings {
	const clock = createSystemClock();
	const {random} = Math;
	const log = createJsonLog({level: settings.log.level, fields: {daemon: settings.daemon.id, pid: process.pid}});
	return {
		clock, random, log, metrics, loop: createTimerLoop(clock, random, log),
	};
}

type DaemonDependencies = {
	readonly kernel: Kernel;
	readonly log: Log;
	readonly drainMs: number;
	/** Disposed after the kernel has stopped, so that features can report metrics until then. */
	readonly metricsDisposable: Disposable;
	readonly lifecycle: Lifecycle;
	readonly stopRequested: Promise<string>;
};

function createDaemon({kernel, log, drainMs, metricsDisposable, lifecycle, stopRequested}: DaemonDependencies): Daemon {
	let stopped: Promise<boolean> | undefined;

	async function stopOnce(): Promise<boolean> {
		log.info('daemon stopping', {drainMs});
		// Announces the stop to peers and load balancers immediately, before any feature has drained.
		lifecycle.requestStop('stop');
		const drained = await kernel.stop(drainMs);
		metricsDisposable.dispose();
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

/** Creates and starts a daemon. If starting fails, everything that was started is stopped again. */
export async function startDaemon(options: DaemonOptions): Promise<Result<Daemon, Failure>> {
	const {settings, contributions} = options;
	const {metrics, metricsDisposable} = createMetrics(settings);
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
		metricsDisposable.dispose();
		return err(started.error);
	}

	const {log} = surroundings;
	log.info('daemon started', {...settings.daemon, features: contributions.map(contribution => contribution.id)});
	return ok(createDaemon({
		kernel, log, metricsDisposable, lifecycle, stopRequested, drainMs: settings.requests.drainMs,
	}));
}
