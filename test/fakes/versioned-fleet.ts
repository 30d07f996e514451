/** Simulates daemons that forward resumable streams to servers of several software versions, in virtual time. Callers continue streams that broke off. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import type {Route} from '../../src/gateway/common/deployment.js';
import {permissiveRequestGuard} from '../../src/gateway/common/request-guard.js';
import type {GenerationEvent, ResponseHead, ServerProtocol} from '../../src/gateway/common/server-protocol.js';
import {createServerView, type ServerEntry} from '../../src/gateway/common/server-view.js';
import {createServerAcquisition} from '../../src/gateway/node/server-acquisition.js';
import type {AttemptOptions, BackendResponse, ServerCaller} from '../../src/gateway/node/server-caller.js';
import {createStreamForwarder, type StreamForwarder, type StreamForwarderDependencies} from '../../src/gateway/node/stream-forwarder.js';
import {UNKNOWN_VERSION} from '../../src/gateway/common/stream-origin.js';
import {createStreamRecords} from '../../src/gateway/node/stream-records.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {silentMetrics} from '../../src/kernel/common/metrics.js';
import {unlimitedPermits} from '../../src/limits/common/server-permits.js';
import {createDispatcher} from '../../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../../src/routing/common/prefix-index.js';
import type {ReceivedStream, StreamAttempt} from '../checkers/stream-checker.js';
import {createMemoryObjects} from './memory-objects.js';
import {createMeshNetwork} from './mesh-network.js';
import {createSeededRandom, createVirtualTime} from './virtual-loop.js';

/** The simulation. */
export type VersionedFleet = ReturnType<typeof createVersionedFleet>;

type FleetServer = {
	readonly id: string;
	softwareVersion: string;
	startedAt: number;
	isUp: boolean;
	isLeaving: boolean;
	readonly running: Set<() => void>;
};

type FleetDaemon = {
	readonly streams: StreamForwarder;
	readonly update: () => void;
	readonly end: () => void;
	/** Breaks the connection to each caller whose stream is open. */
	readonly cuts: Set<() => void>;
};

const POOL = 'streams';
const EVENT_INTERVAL_MS = 100;
const EVENTS = 20;
const ENTRY_DELAY_MS = 400;
const DEADLINE_MS = 12_000;
const SLOTS = 50;
const STABLE_MS = 4000;
const MAXIMUM_ATTEMPTS = 5;

/** The simulated events have the form `ID VERSION`, one a line. */
const lineProtocol = {
	createEventReader: (onEvent: (event: GenerationEvent) => void) => ({
		feed(chunk: Uint8Array) {
			Buffer.from(chunk).toString('utf8').split('\n\n').filter(line => line !== '').forEach(line => {
				const [id, data] = line.split(' ');
				onEvent({id: Number(id), data: data ?? '', version: undefined});
			});
			return undefined;
		},
	}),
} as unknown as ServerProtocol;

/** Records of streams that are all taken for streams of one version. */
export const unrecordedStreams: StreamForwarderDependencies['records'] = {
	baseOf: () => 'v1', findOrigin: async () => ok({kind: 'base'}), isServing: () => true, prefersBase: () => false, keep: () => () => undefined, recordBegin: async () => ok(), recordUnknown: async () => undefined,
};

/** Creates the simulation with running daemons, and servers of version `v1`. With `isVersioned` false, daemons take no notice of software versions. */
export function createVersionedFleet(options: {readonly daemons: number; readonly servers: number; readonly seed: number; readonly isVersioned?: boolean; readonly eventIntervalMs?: number; readonly deadlineMs?: number}) {
	const random = createSeededRandom(options.seed);
	const {eventIntervalMs = EVENT_INTERVAL_MS, deadlineMs = DEADLINE_MS} = options;
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const network = createMeshNetwork(loop);
	const objects = createMemoryObjects(loop);
	const route: Route = {
		name: 'r', host: 'h', pathPrefix: '/', repeatability: 'stream', timeoutMs: deadlineMs, goalMs: 400, priority: 1, attempts: 3, pools: [{pool: POOL, weight: 1}], canResume: true, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false,
	};
	const servers: FleetServer[] = [];
	const names = Array.from({length: options.daemons}, (_, index) => `d${index}`);
	const daemons = new Map<string, FleetDaemon>();
	const streams: ReceivedStream[] = [];
	const attempts: StreamAttempt[] = [];
	const disturbances: Array<{readonly daemon: string; readonly from: number; readonly until: number}> = [];
	let count = 0;
	let serverCount = 0;
	/** Time between two events that a caller reads; with 0 it reads them as they come. */
	let readIntervalMs = 0;

	function toEntry(server: FleetServer): ServerEntry {
		return {
			id: server.id, pool: POOL, address: server.id, port: 1, availabilityZone: 'z', slots: SLOTS, isLeaving: server.isLeaving, versions: new Map(), sequence: undefined, startedAt: server.startedAt, softwareVersion: options.isVersioned === false ? 'v1' : server.softwareVersion,
		};
	}

	/** Daemons whose view of the servers stays as it is. */
	const outOfStep = new Set<string>();

	function publishEntries(): void {
		daemons.forEach(({update}, name) => {
			if (!outOfStep.has(name)) {
				update();
			}
		});
	}

	function addServer(softwareVersion: string): FleetServer {
		serverCount += 1;
		const server: FleetServer = {
			id: `s${serverCount}`, softwareVersion, startedAt: 1000 + clock.monotonic(), isUp: true, isLeaving: false, running: new Set(),
		};
		servers.push(server);
		loop.after(ENTRY_DELAY_MS, publishEntries);
		return server;
	}

	function stopServer(server: FleetServer): void {
		server.isUp = false;
		[...server.running].forEach(breakRun => {
			breakRun();
		});
		server.running.clear();
	}

	/** Crashes a server; it starts again under its id, with the given software version. */
	function crash(server: FleetServer, downMs: number, softwareVersion = server.softwareVersion): void {
		stopServer(server);
		loop.after(downMs, now => {
			Object.assign(server, {isUp: true, startedAt: 1000 + now, softwareVersion});
			loop.after(ENTRY_DELAY_MS, publishEntries);
		});
	}

	/** Lets a server leave: it takes nothing new once its entry says so, and ends later. */
	function leave(server: FleetServer, serveMs: number): void {
		server.isLeaving = true;
		loop.after(ENTRY_DELAY_MS, publishEntries);
		loop.after(serveMs, () => {
			stopServer(server);
			servers.splice(servers.indexOf(server), 1);
			publishEntries();
		});
	}

	async function run(server: FleetServer | undefined, requestId: string, after: number, {onHead, onData, signal}: AttemptOptions, onRefused: () => void): Promise<Result<BackendResponse, Failure>> {
		const origin = {step: 'call backend server', peer: server?.id ?? 'gone'};
		await loop.sleep(1);
		if (server?.isUp !== true) {
			onRefused();
			return err(createNotRun('unavailable', origin, 'connect ECONNREFUSED'));
		}

		const head: ResponseHead = {
			status: 200, requestId, isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: 'sig', version: undefined,
		};
		const {softwareVersion} = server;
		return new Promise(resolve => {
			let isOpen = true;
			const breakRun = () => {
				isOpen = false;
				resolve(err(createOutcomeUnknown('incomplete', origin, 'the connection closed')));
			};

			server.running.add(breakRun);
			signal.addEventListener('abort', () => {
				isOpen = false;
				server.running.delete(breakRun);
				resolve(err(createOutcomeUnknown('aborted', origin, 'aborted')));
			});
			onHead?.(head, {'content-type': 'text/event-stream'});
			const sendEvent = (id: number) => {
				if (!isOpen) {
					return;
				}

				if (id > EVENTS) {
					server.running.delete(breakRun);
					resolve(ok({
						status: 200, headers: {}, body: new Uint8Array(), head,
					}));
					return;
				}

				onData?.(Buffer.from(`${id} ${softwareVersion}\n\n`));
				loop.after(eventIntervalMs, () => {
					sendEvent(id + 1);
				});
			};

			loop.after(eventIntervalMs, () => {
				sendEvent(after + 1);
			});
		});
	}

	let startCount = 0;
	function start(name: string): void {
		startCount += 1;
		const view = createServerView(() => 'r');
		const update = () => {
			view.update(servers.map(toEntry), clock.monotonic());
		};

		update();
		const loads = createLoadEstimate(() => SLOTS);
		/** Start times of runs whose port was found refused. Their entries say nothing about the run that follows. */
		const crashedRuns = new Map<string, number | undefined>();
		const findServer = (serverId: string) => {
			const entry = view.find(serverId);
			return entry !== undefined && crashedRuns.has(serverId) && crashedRuns.get(serverId) === entry.startedAt ? undefined : entry;
		};

		const caller: ServerCaller = {
			attempt: async (target, request, attempt, attemptOptions) => run(servers.find(server => server.id === target.id), attempt.requestId, Number(attempt.resumeAfter ?? request.headers['Last-Event-Id'] ?? 0), attemptOptions, () => {
				crashedRuns.set(target.id, view.find(target.id)?.startedAt);
			}),
			close: () => undefined,
		};
		const records = createStreamRecords({
			view, clock, loop, log: silentLog, metrics: silentMetrics, api: objects.open(name), mesh: network.join(name, String(startCount)), resumablePools: () => [POOL],
		});
		const forwarder = createStreamForwarder({
			clock,
			random,
			log: silentLog,
			caller,
			guard: permissiveRequestGuard,
			protocol: lineProtocol,
			findServer,
			records: options.isVersioned === false ? unrecordedStreams : records,
			acquisition: createServerAcquisition({
				permits: unlimitedPermits, isUsable: view.table.isUsable, clock, random,
			}),
			serverIdsOf: pool => view.list(pool).map(entry => entry.id),
			dispatcher: createDispatcher({
				table: view.table, loads, prefixes: createPrefixIndex(100), weights: {prefillMsPerToken: 0, crossRegionMs: 0, crossRegionMsPerKilobyte: 0}, ownRegion: 'r', random, isReservedElsewhere: () => false,
			}),
		});
		daemons.set(name, {
			streams: forwarder, update, cuts: new Set(), end: records.dispose,
		});
	}

	/** Sends one request for a stream; resolves with the versions of the events that arrived, and whether the stream ended properly. */
	async function request(name: string, after: number, firstRequestId: string | undefined): Promise<{readonly id: string; readonly versions: readonly string[]; readonly isWhole: boolean; readonly retryAfterMs: number}> {
		count += 1;
		const id = `q${count}`;
		const daemon = daemons.get(name);
		if (daemon === undefined) {
			return {
				id, versions: [], isWhole: false, retryAfterMs: 0,
			};
		}

		return new Promise(resolve => {
			const versions: string[] = [];
			let unread: readonly string[] = [];
			let isOpen = true;
			let hasEnded = false;
			const closeListeners: Array<() => void> = [];
			const closeResponse = () => {
				closeListeners.splice(0).forEach(listener => {
					listener();
				});
			};

			const close = (isWhole: boolean, retryAfterMs = 0) => {
				isOpen = false;
				reader?.dispose();
				daemon.cuts.delete(cut);
				closeResponse();
				resolve({
					id, versions, isWhole, retryAfterMs,
				});
			};

			const disconnected = new AbortController();
			const cut = () => {
				if (isOpen) {
					close(false);
					disconnected.abort();
				}
			};

			daemon.cuts.add(cut);
			const read = (count_: number) => {
				versions.push(...unread.slice(0, count_));
				unread = unread.slice(count_);
				if (hasEnded && unread.length === 0) {
					close(true);
				}
			};

			const reader = readIntervalMs === 0
				? undefined
				: loop.every({
					name: 'slow reader', periodMs: readIntervalMs, run() {
						read(1);
					},
				});
			const ignore = () => undefined;
			const response = {
				writableLength: 0,
				closed: false,
				once(_event: 'close', listener: () => void) {
					closeListeners.push(listener);
				},
				writeHead: ignore,
				flushHeaders: ignore,
				write(chunk: Uint8Array) {
					if (isOpen) {
						unread = [...unread, ...Buffer.from(chunk).toString('utf8').split('\n\n').filter(line => line !== '').map(line => line.split(' ')[1]!)];
					}

					if (reader === undefined && isOpen) {
						read(unread.length);
					}
				},
				/** The response is handed over as a whole, whether or not the caller has read it. */
				end() {
					hasEnded = true;
					closeResponse();
					if (reader === undefined && isOpen) {
						read(unread.length);
					}
				},
				destroy: cut,
			} as unknown as ServerResponse;
			void daemon.streams.forward({
				requestId: id,
				route,
				method: 'POST',
				path: '/x',
				headers: {...(firstRequestId !== undefined && {'Last-Event-Id': String(after), Resumes: firstRequestId})},
				body: undefined,
				deadlineAt: clock.monotonic() + deadlineMs,
				signal: disconnected.signal,
				urgency: undefined,
				permitUrgency: 'caller',
				fingerprint: undefined,
				organisation: undefined,
				...(firstRequestId !== undefined && {resumption: {firstRequestId}}),
			}, response, false).then(failure => {
				if (failure !== undefined && isOpen) {
					close(false, failure.retryAfterMs);
				}
			});
		});
	}

	/** Waits for a running daemon, as a caller is not connected to others. */
	async function pickDaemon(): Promise<string> {
		const running = [...daemons.keys()];
		if (running.length > 0) {
			return running[Math.floor(random() * running.length)]!;
		}

		await loop.sleep(100 + (random() * 200));
		return pickDaemon();
	}

	/** Plays one caller: begins a stream, and continues it at random daemons until it is whole. */
	async function playCaller(): Promise<void> {
		const streamId = `stream${count}`;
		const versions: string[] = [];
		let firstRequestId: string | undefined;
		const attempt = async (left: number): Promise<void> => {
			const daemon = await pickDaemon();
			const sentAt = clock.monotonic();
			const resumes = versions[0];
			const isVersionServing = servers.filter(server => server.isUp && !server.isLeaving && server.softwareVersion === resumes).length >= 2;
			const received = await request(daemon, versions.length, firstRequestId);
			attempts.push({
				streamId, daemon, sentAt, resumes, tookMs: clock.monotonic() - sentAt, hasEvents: received.versions.length > 0, isVersionServing,
			});
			firstRequestId ??= received.versions.length > 0 ? received.id : undefined;
			versions.push(...received.versions);
			if (!received.isWhole && left > 1) {
				await loop.sleep(Math.min(2000, received.retryAfterMs) + 200 + (random() * 400));
				await attempt(left - 1);
			}
		};

		await attempt(MAXIMUM_ATTEMPTS);
		streams.push({streamId, versions});
	}

	Array.from({length: options.servers}).forEach(() => {
		addServer('v1');
	});
	names.forEach(start);
	return {
		time, objects, names, servers, streams, attempts, random, outOfStep, addServer, crash, leave,
		/** Lets callers whose streams begin from now on read an event at a time. */
		setReadInterval(intervalMs: number) {
			readIntervalMs = intervalMs;
		},
		/** Resets the connections of all callers at a daemon. */
		resetCallers(name: string) {
			[...daemons.get(name)?.cuts ?? []].forEach(cut => {
				cut();
			});
		},
		/** Number of records of streams in the store. */
		countRecords: () => objects.findAll('streams').length,
		/** Records at another daemon that nobody can tell the version of any recorded stream. */
		markUnknown() {
			objects.findAll('streams').forEach(({name, spec}) => {
				objects.put('streams', name, {...spec as Record<string, unknown>, softwareVersion: UNKNOWN_VERSION});
			});
		},
		/** Begins streams for a time. */
		async play(durationMs: number, perSecond: number) {
			const task = loop.every({
				name: 'traffic',
				periodMs: 1000 / perSecond,
				jitterShare: 0.9,
				run() {
					void playCaller();
				},
			});
			await time.advance(durationMs);
			task.dispose();
		},
		/** Kills daemons at once and starts them again, without any memory. */
		restart(affected: readonly string[], downMs: number) {
			affected.forEach(name => {
				disturbances.push({daemon: name, from: clock.monotonic(), until: clock.monotonic() + downMs});
				const daemon = daemons.get(name);
				daemons.delete(name);
				daemon?.end();
				[...daemon?.cuts ?? []].forEach(cut => {
					cut();
				});
				loop.after(downMs, () => {
					start(name);
				});
			});
		},
		cutFromStore(affected: readonly string[], durationMs: number) {
			affected.forEach(name => {
				disturbances.push({daemon: name, from: clock.monotonic(), until: clock.monotonic() + durationMs});
				objects.partitioned.add(name);
				loop.after(durationMs, () => {
					objects.partitioned.delete(name);
				});
			});
		},
		isInTouch: (name: string, at: number) => !disturbances.some(disturbance => disturbance.daemon === name && disturbance.from <= at && at < disturbance.until + STABLE_MS),
	};
}
