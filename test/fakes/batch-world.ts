/** Simulates daemons that share batches. They use one in-memory store, one network and engines that generate in virtual time. */
import {Buffer} from 'node:buffer';
import PQueue from 'p-queue';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import type {Random} from '../../src/base/common/random.js';
import type {
	Batch, BatchItem, ItemResult, PartialText,
} from '../../src/batches/common/batch.js';
import type {BatchReader} from '../../src/batches/common/batch-access.js';
import {createOwnerChoice} from '../../src/batches/common/owner-choice.js';
import {createRecentRefusals} from '../../src/batches/common/recent-refusals.js';
import {createEventIntervals} from '../../src/batches/common/event-intervals.js';
import {createStartPriorities} from '../../src/batches/common/start-priorities.js';
import {createWorkEstimate} from '../../src/batches/common/work-estimate.js';
import {createBatchService, type BatchService} from '../../src/batches/node/batch-service.js';
import {createLoadExchange} from '../../src/batches/node/load-exchange.js';
import {createDeploymentHolder, type Route, type Tenancy} from '../../src/gateway/common/deployment.js';
import {
	ServerProtocol, type ResponseHead, type EventReader, type GenerationEvent, type ServerAttempt,
} from '../../src/gateway/common/server-protocol.js';
import {createServerView, type ServerEntry} from '../../src/gateway/common/server-view.js';
import {createSharedLoads} from '../../src/gateway/common/shared-loads.js';
import {maySendIn} from '../../src/gateway/common/work-status.js';
import {createCheckedCaller} from '../../src/gateway/node/checked-caller.js';
import type {Forwarder} from '../../src/gateway/node/forwarder.js';
import type {BackendResponse, ServerCaller, ServerRequest} from '../../src/gateway/node/server-caller.js';
import {unlimitedPermits} from '../../src/limits/common/server-permits.js';
import type {Log, LogFields} from '../../src/kernel/common/log.js';
import {silentMetrics} from '../../src/kernel/common/metrics.js';
import {createDispatcher} from '../../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../../src/routing/common/prefix-index.js';
import {createMemoryObjects} from './memory-objects.js';
import {createMeshNetwork} from './mesh-network.js';
import {createFreezableLoop, createSeededRandom, createVirtualTime} from './virtual-loop.js';

/** A simulated engine; tests change its state while it runs. */
export type SimulatedEngine = {
	readonly id: string;
	slots: number;
	eventIntervalMs: number;
	version: number;
	running: number;
	isDown: boolean;
	/** Whether the engine refuses all requests, as engines do while they load weights. */
	isRefusing: boolean;
	isLeaving: boolean;
	softwareVersion: string;
	/** Whether the engine keeps sending data, but never a complete event. */
	sendsIncompleteEvents?: boolean;
	/** Whether each response ends properly, but before its first event. */
	endsBeforeFirstEvent?: boolean;
	/** How each response ends properly, but too early: within its second event, or as something other than an event stream. */
	endsEarly?: 'withinEvent' | 'otherType';
	/** Number of refused requests. */
	refused: number;
	/** Started runs of items. `after` is the id of the last event that the run continues from; `at` is the start time. */
	readonly starts: Array<{readonly itemId: string; readonly after: number; readonly at: number; readonly daemon: string; readonly softwareVersion: string; readonly headers: ServerRequest['headers']}>;
};

/** A simulation of daemons that share batches. */
export type BatchSimulation = ReturnType<typeof createBatchSimulation>;

const RESPONSE_HEAD_DELAY_MS = 10;
const POOL = 'engines';
const MODEL = 'm';
const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/b/', repeatability: 'batch', timeoutMs: 10_000, goalMs: 500, priority: 1, attempts: 3, pools: [{pool: POOL, weight: 1}], canResume: true, dueMs: 7500, giveUpAfterMs: 40_000, needsSingleVersion: false,
};
const scoringRoute: Route = {
	...route, name: 's', pathPrefix: '/s/', repeatability: 'idempotent', attempts: 4, timeoutMs: 2000,
};

/** A protocol whose events are an id and a text, separated by a space. */
class TextEventProtocol extends ServerProtocol {
	override readonly replacedHeaders = [];
	override readonly credentialHeaders = ['x-key', 'x-customer'];

	override buildOrganisationHeaders(organisation: string) {
		return {'X-Customer': organisation};
	}

	override buildHeaders() {
		return {};
	}

	override readHead(): ResponseHead {
		throw new Error('readHead is not supported: the simulated caller passes response heads to onHead itself');
	}

	override createEventReader(onEvent: (event: GenerationEvent) => void): EventReader {
		return {
			feed(chunk) {
				if (chunk.length === 0) {
					return undefined;
				}

				const [id, data] = Buffer.from(chunk).toString('utf8').split(' ');
				if (data?.endsWith('\n\n') !== true) {
					return undefined;
				}

				onEvent({id: Number(id), data: data.trimEnd(), version: undefined});
				return undefined;
			},
		};
	}

	override buildReportCall() {
		return {method: 'GET', path: '/', headers: {}};
	}

	override readReport() {
		return undefined;
	}

	override buildOrderCall() {
		return {method: 'POST', path: '/', headers: {}};
	}

	override readOrderOutcome() {
		return 'refused' as const;
	}
}

/** The complete text of an item that has this number of events. */
export function completeTextOf(itemId: string, events: number): string {
	return Array.from({length: events}, (_, index) => `${itemId}.${index + 1}`).join('\n');
}

/** Creates a batch with groups of four items. `lengths` is the number of events of each item. */
export function createBatch(id: string, lengths: readonly number[], more: Partial<Batch> = {}): Batch {
	const items: readonly BatchItem[] = lengths.map((events, index) => ({
		id: `${id}-${index}`, group: `${id}-g${Math.floor(index / 4)}`, path: '/b/x', headers: {}, body: Buffer.from(String(events)).toString('base64'), expectedTokens: events * 60, scoring: undefined,
	}));
	return {
		id, host: 'h', path: '/b/', model: MODEL, oldestVersion: 1, targetGroups: 1, items, ...more,
	};
}

/** Creates the simulation and starts its daemons. */
export function createBatchSimulation(options: {readonly daemons: readonly string[]; readonly engines: number; readonly seed?: number; readonly score?: (requestId: string, attempt: number) => number; readonly capacityOf?: (name: string) => number; readonly wall?: () => number; readonly tenancy?: Tenancy}) {
	const random: Random = createSeededRandom(options.seed ?? 1);
	const time = createVirtualTime(random);
	const {loop} = time;
	const clock = {...time.clock, ...(options.wall && {wall: options.wall})};
	const store = createMemoryObjects(loop);
	const network = createMeshNetwork(loop);
	const scoreAttempts = new Map<string, number>();
	const scoreStarts: Array<{readonly requestId: string; readonly at: number; readonly daemon: string}> = [];
	const engines: SimulatedEngine[] = Array.from({length: options.engines}, (_, index) => ({
		id: `e${index}`, slots: 8, eventIntervalMs: 35, version: 1, running: 0, isDown: false, isRefusing: false, isLeaving: false, softwareVersion: 'v1', refused: 0, starts: [],
	}));

	function createServerEntry(engine: SimulatedEngine): ServerEntry {
		return {
			id: engine.id, pool: POOL, address: engine.id, port: 1, availabilityZone: 'z', slots: engine.slots, isLeaving: engine.isLeaving, versions: new Map([[MODEL, engine.version]]), sequence: undefined, startedAt: undefined, softwareVersion: engine.softwareVersion,
		};
	}

	function createResponseHead(requestId: string, engine: SimulatedEngine, status: number, isNotRun = false): ResponseHead {
		return {
			status, requestId, isNotRun, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: {running: engine.running, queued: 0, slots: engine.slots}, signature: 'sig', version: status === 200 ? engine.version : undefined,
		};
	}

	/** Daemons that reach no engine. Runs that are open go on. */
	const cutOff = new Set<string>();
	/** Daemons that stand still. */
	const frozen = new Set<string>();

	async function generate(daemon: string, engine: SimulatedEngine, attempt: ServerAttempt, {headers, body}: ServerRequest, options_: Parameters<ServerCaller['attempt']>[3]): Promise<Result<BackendResponse, Failure>> {
		const origin = {step: 'call', peer: engine.id};
		await loop.sleep(RESPONSE_HEAD_DELAY_MS);
		if (engine.isDown || cutOff.has(daemon)) {
			return err(createNotRun('unavailable', origin, 'refused'));
		}

		if (options_.maySend?.() === false) {
			return err(createNotRun('aborted', origin, 'no longer allowed'));
		}

		if (engine.isRefusing || engine.running >= engine.slots) {
			engine.refused += 1;
			const head = createResponseHead(attempt.requestId, engine, 503, true);
			return ok({
				status: 503, headers: {}, body: new Uint8Array(), head,
			});
		}

		const events = Number(Buffer.from(body ?? []).toString('utf8'));
		const after = Number(attempt.resumeAfter ?? 0);
		engine.running += 1;
		engine.starts.push({
			itemId: attempt.requestId, after, at: clock.monotonic(), daemon, softwareVersion: engine.softwareVersion, headers,
		});
		// An engine that has no further event to generate reports no version.
		const head = {...createResponseHead(attempt.requestId, engine, 200), ...(after >= events && {version: undefined})};
		options_.onHead?.(head, {'content-type': engine.endsEarly === 'otherType' ? 'application/json' : 'text/event-stream'});
		const breakReason = await emit({daemon, engine}, attempt.requestId, after, events, options_);
		engine.running -= 1;
		return breakReason === undefined
			? ok({
				status: 200, headers: {}, body: new Uint8Array(), head,
			})
			: err(createOutcomeUnknown(breakReason === 'aborted' ? 'aborted' : 'incomplete', origin, breakReason));
	}

	async function emit({daemon, engine}: {readonly daemon: string; readonly engine: SimulatedEngine}, itemId: string, after: number, events: number, options_: Parameters<ServerCaller['attempt']>[3]): Promise<string | undefined> {
		const aborted = new Promise<void>(resolve => {
			options_.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		for (let id = after + 1; id <= events && engine.endsBeforeFirstEvent !== true; id += 1) {
			await Promise.race([loop.sleep(engine.eventIntervalMs), aborted]);
			while (frozen.has(daemon) && !options_.signal.aborted) {
				await Promise.race([loop.sleep(engine.eventIntervalMs), aborted]);
			}

			if (options_.signal.aborted) {
				return 'aborted';
			}

			if (engine.isDown) {
				return 'reset';
			}

			if (engine.endsEarly !== undefined && (id === after + 2 || engine.endsEarly === 'otherType')) {
				options_.onData?.(Buffer.from(`${id}`));
				return options_.signal.aborted ? 'aborted' : undefined;
			}

			if (engine.sendsIncompleteEvents === true) {
				id -= 1;
				options_.onData?.(new Uint8Array(0));
			} else {
				options_.onData?.(Buffer.from(`${id} ${itemId}.${id}\n\n`));
			}
		}

		return undefined;
	}

	const lines: string[] = [];

	/** Creates a log that writes the JSON lines of a daemon into `lines`. */
	function createLineLog(daemon: string): Log {
		const write = (level: string) => (message: string, fields?: LogFields) => {
			lines.push(JSON.stringify({
				time: new Date(clock.wall()).toISOString(), level, message, daemon, ...fields,
			}));
		};

		return {
			debug: () => undefined, info: write('info'), warn: write('warn'), error: write('error'), child: () => createLineLog(daemon),
		};
	}

	function startDaemon(name: string, incarnation = '1') {
		const log = createLineLog(name);
		const view = createServerView(() => 'r');
		const loads = createSharedLoads(createLoadEstimate(id => view.find(id)?.slots ?? 1), () => true);
		const mesh = network.join(name, incarnation, options.capacityOf?.(name));
		const deployment = createDeploymentHolder();
		deployment.offer({
			version: 1, routes: [route, scoringRoute], pools: [{
				name: POOL, maximumConnections: 100, slots: 8, models: [MODEL],
			}], limits: {maximumBodyBytes: 1_000_000, headerTimeoutMs: 1000, idleTimeoutMs: 1000}, tenancy: options.tenancy ?? {kind: 'none'},
		});
		const ownLoop = createFreezableLoop(time);
		const caller = createCheckedCaller({
			attempt: async (server, request, attempt, options_) => generate(name, engines.find(engine => engine.id === server.id)!, attempt, request, options_),
			close: () => undefined,
		}, {clock, log, metrics: silentMetrics});
		const forwarder: Forwarder = {
			whenIdle: async () => undefined,
			async forward(request) {
				await request.work?.refresh('direct');
				if (request.work !== undefined && !maySendIn(request.work.read('direct', clock.monotonic()))) {
					return err(createNotRun('aborted', {step: 'forward', peer: name}, 'the batch has ended'));
				}

				const attempt = (scoreAttempts.get(request.requestId) ?? 0) + 1;
				scoreStarts.push({requestId: request.requestId, at: clock.monotonic(), daemon: name});
				scoreAttempts.set(request.requestId, attempt);
				await loop.sleep(50);
				const status = options.score?.(request.requestId, attempt) ?? 200;
				return ok({
					status, headers: {}, body: new Uint8Array(), head: {
						status, requestId: request.requestId, isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: `score of ${request.requestId}`, version: undefined,
					},
				});
			},
		};
		const startPriorities = createStartPriorities();
		const services: BatchService[] = [];
		const exchange = createLoadExchange({
			loads, view, startPriorities, mesh, clock, log, onOpenBatchesReported(owner, open) {
				services.forEach(({recordOpenBatches}) => {
					recordOpenBatches(owner, open);
				});
			},
		});
		const service = createBatchService({
			api: store.open(name), mesh, clock, loop: ownLoop, random, log, metrics: silentMetrics, deployment, view, loads, caller, forwarder, protocol: new TextEventProtocol(), eventIntervals: createEventIntervals(), startPriorities, workEstimate: createWorkEstimate(), ownerChoice: createOwnerChoice(), refusals: createRecentRefusals(), permits: unlimitedPermits, scoring: new PQueue({concurrency: 8}), retentionMs: 1e9, cancelMs: 3000, reachesEngines: () => !cutOff.has(name), onTick: exchange.tick, onSubmit: exchange.exchangeReports,
			dispatcher: createDispatcher({
				table: view.table, loads, prefixes: createPrefixIndex(100), weights: {prefillMsPerToken: 0, crossRegionMs: 0, crossRegionMsPerKilobyte: 0}, ownRegion: 'r', random, isReservedElsewhere: () => false,
			}),
		});
		services.push(service);
		const updateView = () => {
			view.update(engines.map(createServerEntry), clock.monotonic());
		};

		updateView();
		const startTasks = () => [
			loop.every({name: 'look', periodMs: 500, run: updateView}),
			ownLoop.every({name: 'tick', periodMs: 50, run: service.tick}),
		];
		let tasks = startTasks();
		const end = () => {
			tasks.forEach(task => {
				task.dispose();
			});
		};

		return {
			service, view, end, loop: ownLoop, startTasks() {
				end();
				tasks = startTasks();
			},
		};
	}

	const daemons = new Map(options.daemons.map(name => [name, startDaemon(name)]));

	/** Advances virtual time until a call has ended; throws after `limitMs`. */
	async function finish<T>(call: Promise<T>, limitMs = 20_000): Promise<T> {
		const ended: T[] = [];
		void call.then(value => {
			ended.push(value);
		});
		const until = clock.monotonic() + limitMs;
		while (ended.length === 0 && clock.monotonic() < until) {
			await time.advance(20);
		}

		if (ended.length === 0) {
			throw new Error(`call has not ended within ${limitMs} ms`);
		}

		return ended[0]!;
	}

	/** Reads a batch as a trainer does, alternating between the given daemons, until all results are listed. */
	async function readAll(batchId: string, names: readonly string[], limitMs = 30_000, reader?: BatchReader): Promise<readonly ItemResult[]> {
		const until = clock.monotonic() + limitMs;
		let results: readonly ItemResult[] = [];
		for (let attempt = 0; clock.monotonic() < until; attempt += 1) {
			const page = await finish(daemons.get(names[attempt % names.length]!)!.service.read(batchId, results.length, 300, reader));
			if (page.isOk()) {
				results = [...results, ...page.value.results];
				if (results.length >= page.value.total) {
					return results;
				}
			}

			await time.advance(200);
		}

		return results;
	}

	return {
		time, store, network, engines, daemons, cutOff, finish, readAll, scoreAttempts, scoreStarts, lines,
		serviceOf: (name: string) => daemons.get(name)!.service,
		startsOf: (itemId: string) => engines.flatMap(engine => engine.starts.filter(start => start.itemId === itemId)),
		/** Stores a batch whose owner no longer runs and hands it over to the daemon `name` with the given partial texts. Returns the status of the reply. */
		async handOverFromLostOwner(name: string, batch: Batch, partials: readonly PartialText[]): Promise<number> {
			const lostOwner = network.join('gone');
			await store.open(name).create({kind: 'batches', name: batch.id}, {owner: lostOwner.self, acceptedAt: 0, batch});
			const reply = await lostOwner.call({...lostOwner.self, name, ip: name}, 'batch-adopt', {batchId: batch.id, owner: lostOwner.self, partials}, 1000);
			return reply.isOk() ? reply.value.status : 0;
		},
		/** Kills a daemon's process; `restart` starts it as another incarnation. */
		kill(name: string) {
			network.kill(name);
			daemons.get(name)!.end();
			store.partitioned.add(name);
		},
		/** Stops a daemon's periodic work and its calls, as SIGSTOP does, while runs at engines are not affected: use it while none is open. */
		pause(name: string) {
			network.unresponsive.add(name);
			daemons.get(name)!.end();
		},
		/** Stops a daemon as SIGSTOP does, also while runs are open at engines. */
		freeze(name: string) {
			network.unresponsive.add(name);
			frozen.add(name);
			daemons.get(name)!.loop.freeze();
		},
		/** Lets a daemon that stands still go on: its timers come first. */
		thaw(name: string) {
			network.unresponsive.delete(name);
			daemons.get(name)!.loop.thaw();
			frozen.delete(name);
		},
		/** Lets other daemons call a paused one again, before its first timer. */
		reconnect(name: string) {
			network.unresponsive.delete(name);
		},
		/** Starts the periodic work of a paused daemon again. */
		resume(name: string) {
			network.unresponsive.delete(name);
			daemons.get(name)!.startTasks();
		},
		restart(name: string) {
			store.partitioned.delete(name);
			daemons.set(name, startDaemon(name, '2'));
		},
	};
}
