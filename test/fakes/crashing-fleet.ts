/** Simulates daemons that forward requests to servers, some of which crash under certain requests or for other reasons, in virtual time. */
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {readClocks} from '../../src/base/common/clock.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import {joinDisposables} from '../../src/base/common/disposable.js';
import {createFailureRates} from '../../src/gateway/common/failure-rates.js';
import {createHedgePolicy, unmeasuredHedging} from '../../src/gateway/common/hedge-policy.js';
import {createPoolServers} from '../../src/gateway/common/pool-servers.js';
import type {Route} from '../../src/gateway/common/deployment.js';
import {permissiveRequestGuard} from '../../src/gateway/common/request-guard.js';
import type {ResponseHead, ServerProtocol} from '../../src/gateway/common/server-protocol.js';
import {createEntryHistory} from '../../src/gateway/common/entry-history.js';
import type {RelayCall, RelayEnd, RelaySink} from '../../src/gateway/common/relay.js';
import {createOpenAttempts} from '../../src/gateway/common/open-attempts.js';
import {createRelayChoice} from '../../src/gateway/common/relay-choice.js';
import {createServerLinks} from '../../src/gateway/common/server-links.js';
import {createServerView, type ServerEntry, type ServerView} from '../../src/gateway/common/server-view.js';
import {hostedSuspectRules} from '../../src/gateway/common/suspect-rules.js';
import {createCrashDetector} from '../../src/gateway/node/crash-detector.js';
import {createPortInspection} from '../../src/gateway/node/port-inspection.js';
import {createForwarder, type Forwarder, type PlainRequest} from '../../src/gateway/node/forwarder.js';
import {startLinkMonitor} from '../../src/gateway/node/link-monitor.js';
import {createRelayHelper, type RelayHelper} from '../../src/gateway/node/relay-helper.js';
import {createRelayingCaller} from '../../src/gateway/node/relaying-caller.js';
import {createRequestGuard} from '../../src/gateway/node/request-guard.js';
import {createServerAcquisition} from '../../src/gateway/node/server-acquisition.js';
import type {AttemptOptions, BackendResponse, ServerCaller} from '../../src/gateway/node/server-caller.js';
import {createStreamForwarder, type StreamForwarder} from '../../src/gateway/node/stream-forwarder.js';
import {createSuspectExchange} from '../../src/gateway/node/suspect-exchange.js';
import {createSuspectObjects} from '../../src/gateway/node/suspect-objects.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {silentMetrics} from '../../src/kernel/common/metrics.js';
import type {PortState} from '../../src/limits/common/stopped-daemons.js';
import {unlimitedPermits} from '../../src/limits/common/server-permits.js';
import type {PeerDaemon} from '../../src/peers/common/peer-mesh.js';
import {createSuspectTable, type SuspectTable} from '../../src/requests/common/suspect-table.js';
import {createSuspectLedger} from '../../src/requests/node/suspect-ledger.js';
import {createDispatcher} from '../../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../../src/routing/common/prefix-index.js';
import {STABLE_MS, type CrashArrival, type SeenCrash} from '../checkers/crash-checker.js';
import {createMemoryObjects} from './memory-objects.js';
import {createMeshNetwork} from './mesh-network.js';
import {unrecordedStreams} from './versioned-fleet.js';
import {createSeededRandom, createVirtualTime} from './virtual-loop.js';

/** What a caller got. */
export type CrashAnswer = {
	readonly content: string;
	readonly daemon: string;
	readonly sentAt: number;
	readonly answeredAt: number;
	readonly result: Result<unknown, Failure>;
};

/** The simulation. */
export type CrashingFleet = ReturnType<typeof createCrashingFleet>;

/** Requests with this prefix crash each server that runs them. */
export const POISON = 'poison';
/** The same, but the servers go dark: their connections stay open without a response, and they refuse none. */
export const DARKENING = 'poison dark';

/** How connections to a server or of a daemon fail: they hang, or they are refused. */
export type LinkFault = 'hangs' | 'refuses';

type FleetServer = {
	readonly id: string;
	startedAt: number;
	isUp: boolean;
	/** Whether the server's entry is in the store. */
	isListed: boolean;
	/** Whether connections hang while the server is down. */
	isDark: boolean;
	readonly running: Set<() => void>;
};

type FleetDaemon = {
	readonly view: ServerView;
	readonly forwarder: Forwarder;
	readonly streams: StreamForwarder;
	readonly table: SuspectTable;
	readonly end: () => void;
};

const POOL = 'plain';
const LATENCY_MS = 1;
const WORK_MS = 60;
const TIME_TO_CRASH_MS = 15;
const ENTRY_DELAY_MS = 400;
/** Time after a crash at which the entry of a server expires, unless the server has started again. */
const ENTRY_EXPIRY_MS = 3600;
const CALLER_DEADLINE_MS = 2500;
const SLOTS = 6;
const PROBE_TIMEOUT_MS = 500;

/** The streams of the simulation have no events. */
const eventlessProtocol = {createEventReader: () => ({feed: () => undefined})} as unknown as ServerProtocol;

function createResponse(): ServerResponse {
	const ignore = () => undefined;
	return {
		writableLength: 0, once: ignore, writeHead: ignore, flushHeaders: ignore, write: ignore, end: ignore, destroy: ignore,
	} as unknown as ServerResponse;
}

/** Creates the simulation with running daemons and servers. With `isGuarded` false, daemons take no notice of crashes; those for which `relays` is false neither send attempts over other daemons nor for them. */
export function createCrashingFleet(options: {readonly daemons: number; readonly servers: number; readonly seed: number; readonly attempts?: number; readonly isGuarded?: boolean; readonly relays?: (name: string) => boolean}) {
	const random = createSeededRandom(options.seed);
	const time = createVirtualTime(random);
	const {clock, loop} = time;
	const network = createMeshNetwork(loop);
	const objects = createMemoryObjects(loop);
	const route: Route = {
		name: 'r', host: 'h', pathPrefix: '/', repeatability: 'idempotent', timeoutMs: CALLER_DEADLINE_MS, goalMs: 400, priority: 1, attempts: options.attempts ?? 2, pools: [{pool: POOL, weight: 1}], canResume: false, dueMs: 0, giveUpAfterMs: 0, needsSingleVersion: false,
	};
	const servers: readonly FleetServer[] = Array.from({length: options.servers}, (_, index) => ({
		id: `s${index}`, startedAt: 1000, isUp: true, isListed: true, isDark: false, running: new Set<() => void>(),
	}));
	const names = Array.from({length: options.daemons}, (_, index) => `d${index}`);
	const daemons = new Map<string, FleetDaemon>();
	const arrivals: Array<CrashArrival & {readonly requestId: string}> = [];
	const crashes: SeenCrash[] = [];
	const answers: CrashAnswer[] = [];
	const stranded = new Map<string, LinkFault>();
	const helpers = new Map<string, RelayHelper | undefined>();
	const linkChanges: Array<{readonly daemon: string; readonly isCut: boolean; readonly at: number}> = [];
	const relayCalls: Array<{readonly helper: string; readonly at: number}> = [];
	const relayBreaks: Array<{readonly helper: string; readonly breakRelay: () => void}> = [];
	const hidden = new Map<string, LinkFault>();
	const breakByDaemon = new WeakMap<() => void, string>();
	const disturbances: Array<{readonly daemon: string; readonly from: number; readonly until: number}> = [];
	let requestCount = 0;
	let runCount = 0;

	function toEntry(server: FleetServer): ServerEntry {
		return {
			id: server.id, pool: POOL, address: server.id, port: 1, availabilityZone: 'z', slots: SLOTS, isLeaving: false, versions: new Map(), sequence: undefined, startedAt: server.startedAt,
		};
	}

	function publishEntries(): void {
		daemons.forEach(({view}, name) => {
			if (!objects.partitioned.has(name)) {
				view.update(servers.filter(server => server.isListed).map(toEntry), clock.monotonic());
			}
		});
	}

	/** Crashes a server for a time; all requests on it break, or hang if the server goes dark. */
	function crash(server: FleetServer, downMs: number, cause?: string, isDark = false): void {
		if (!server.isUp) {
			return;
		}

		crashes.push({serverId: server.id, cause, at: clock.monotonic()});
		server.isUp = false;
		server.isDark = isDark;
		if (!isDark) {
			[...server.running].forEach(breakRun => {
				breakRun();
			});
		}

		server.running.clear();
		const {startedAt} = server;
		loop.after(ENTRY_EXPIRY_MS, () => {
			if (server.startedAt === startedAt) {
				server.isListed = false;
				loop.after(ENTRY_DELAY_MS, publishEntries);
			}
		});
		loop.after(downMs, () => {
			server.isUp = true;
			server.isDark = false;
			server.isListed = true;
			server.startedAt = clock.wall();
			loop.after(ENTRY_DELAY_MS, publishEntries);
		});
	}

	/** How new connections from a daemon to a server fail; undefined if they succeed. */
	function faultOf(server: FleetServer, daemon: string): LinkFault | undefined {
		return stranded.get(daemon) ?? hidden.get(server.id) ?? (server.isUp ? undefined : (server.isDark ? 'hangs' : 'refuses'));
	}

	async function run(server: FleetServer, daemon: string, content: string, {requestId, onHead, onDidConnect, timeoutMs, connectTimeoutMs, signal}: AttemptOptions & {readonly requestId: string}): Promise<Result<BackendResponse, Failure>> {
		const origin = {step: 'call backend server', peer: server.id};
		await loop.sleep(LATENCY_MS);
		const fault = faultOf(server, daemon);
		if (fault === 'hangs') {
			await loop.sleep(Math.min(timeoutMs, connectTimeoutMs ?? timeoutMs));
		}

		onDidConnect?.(fault === undefined);
		if (fault !== undefined) {
			return err(createNotRun('unavailable', origin, `the connection ${fault}`));
		}

		arrivals.push({
			content, requestId, serverId: server.id, daemon, at: clock.monotonic(),
		});
		return new Promise(resolve => {
			const breakRun = () => {
				resolve(err(createOutcomeUnknown('incomplete', origin, 'the connection closed')));
			};

			loop.after(timeoutMs, () => {
				resolve(err(createOutcomeUnknown('unavailable', origin, `no response within ${timeoutMs} ms`)));
			});
			signal.addEventListener('abort', () => {
				resolve(err(createOutcomeUnknown('aborted', origin, 'aborted')));
			}, {once: true});
			server.running.add(breakRun);
			breakByDaemon.set(breakRun, daemon);
			if (content.startsWith(POISON)) {
				loop.after(TIME_TO_CRASH_MS, () => {
					crash(server, 1500 + (random() * (content.startsWith(DARKENING) ? 6500 : 2500)), content, content.startsWith(DARKENING));
				});
				return;
			}

			loop.after(WORK_MS * (0.7 + (0.6 * random())), () => {
				server.running.delete(breakRun);
				if (stranded.get(daemon) === 'hangs') {
					return;
				}

				const head: ResponseHead = {
					status: 200, requestId, isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: 'sig', version: undefined,
				};
				onHead?.(head, {});
				resolve(ok({
					status: 200, headers: {}, body: new Uint8Array(), head,
				}));
			});
		});
	}

	function readHead(status: number): ResponseHead {
		return {
			status, requestId: undefined, isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: 'sig', version: undefined,
		};
	}

	/** Carries an attempt to another daemon, whose end breaks it. */
	async function send(peer: PeerDaemon, call: RelayCall, sink: RelaySink, signal: AbortSignal): Promise<RelayEnd> {
		relayCalls.push({helper: peer.name, at: clock.monotonic()});
		await loop.sleep(LATENCY_MS);
		if (!daemons.has(peer.name)) {
			return {kind: 'refused', reason: 'unreachable'};
		}

		const helper = helpers.get(peer.name);
		if (helper === undefined) {
			return {kind: 'refused', reason: 'unsupported'};
		}

		const broken = new Promise<RelayEnd>(resolve => {
			relayBreaks.push({
				helper: peer.name,
				breakRelay() {
					resolve({kind: 'ended', result: err(createOutcomeUnknown('incomplete', {step: 'relay attempt', peer: peer.name}, 'the daemon ended'))});
				},
			});
		});
		const end = await Promise.race([helper.relay(call, readClocks(clock), sink, signal), broken]);
		await loop.sleep(LATENCY_MS);
		return end;
	}

	async function probeFrom(daemon: string, serverId: string): Promise<PortState> {
		const server = servers.find(({id}) => id === serverId)!;
		const fault = faultOf(server, daemon);
		await loop.sleep(fault === 'hangs' ? PROBE_TIMEOUT_MS : LATENCY_MS);
		return fault === undefined ? 'open' : (fault === 'refuses' ? 'refused' : 'unknown');
	}

	function start(name: string): void {
		runCount += 1;
		const view = createServerView(() => 'r');
		view.update(servers.filter(server => server.isListed).map(toEntry), clock.monotonic());
		const loads = createLoadEstimate(() => SLOTS);
		const mesh = network.join(name, String(runCount));
		const table = createSuspectTable(hostedSuspectRules);
		const exchange = createSuspectExchange({
			table, rules: hostedSuspectRules, mesh, clock, loop, random, log: silentLog, objects: createSuspectObjects({api: objects.open(name), loop, log: silentLog}),
		});
		const history = createEntryHistory();
		view.onDidChange(() => {
			history.update(view.all(), clock.monotonic());
		});
		history.update(view.all(), clock.monotonic());
		const ports = createPortInspection({
			view, history, mesh, random, log: silentLog, probe: async ({address}) => probeFrom(name, address),
		});
		const detector = createCrashDetector({
			view, history, ports, clock, loop, log: silentLog, metrics: silentMetrics,
		});
		const guard = options.isGuarded === false
			? permissiveRequestGuard
			: createRequestGuard({
				detector, table, ledger: createSuspectLedger({table, transport: exchange}), trials: exchange, clock, loop, log: silentLog, metrics: silentMetrics,
			});
		const links = createServerLinks(() => servers.length);
		links.onDidChange(({isCut}) => {
			linkChanges.push({daemon: name, isCut, at: clock.monotonic()});
		});
		const direct: ServerCaller = {
			attempt: async (target, request, attempt, attemptOptions) => run(servers.find(server => server.id === target.id)!, name, request.path, {
				...attemptOptions,
				requestId: attempt.requestId,
				onDidConnect(isConnected) {
					attemptOptions.onDidConnect?.(isConnected);
					if (isConnected) {
						links.recordConnected(POOL, clock.monotonic());
					} else {
						links.recordFailed(POOL, target.id, clock.monotonic());
					}
				},
			}),
			close: () => undefined,
		};
		const hasRelays = options.relays?.(name) !== false;
		const openAttempts = createOpenAttempts();
		helpers.set(name, hasRelays
			? createRelayHelper({
				direct, links, findServer: id => view.table.find(id), reachesStore: () => true, clock, log: silentLog,
			})
			: undefined);
		const caller = hasRelays
			? createRelayingCaller({
				direct, links, attempts: openAttempts, choice: createRelayChoice(mesh.self, random), transport: {send}, mesh, protocol: {readHead}, statements: {begin: () => () => undefined, observe: () => () => undefined}, clock, log: silentLog, metrics: silentMetrics,
			})
			: direct;
		const monitor = startLinkMonitor({
			links, attempts: openAttempts, view, probe: async ({address}) => probeFrom(name, address), loop, clock, random,
		});
		const failureRates = createFailureRates();
		const dependencies = {
			clock,
			loop,
			random,
			log: silentLog,
			metrics: silentMetrics,
			loads,
			caller,
			guard,
			acquisition: createServerAcquisition({
				permits: unlimitedPermits, isUsable: view.table.isUsable, clock, random,
			}),
			failureRates,
			hedgePolicy: createHedgePolicy(unmeasuredHedging),
			listPoolServers: createPoolServers({
				view, loads, permits: unlimitedPermits, failureRates,
			}),
			configurationVersion: () => 1,
			serverIdsOf: () => servers.map(server => server.id),
			dispatcher: createDispatcher({
				table: view.table, loads, prefixes: createPrefixIndex(100), weights: {prefillMsPerToken: 0, crossRegionMs: 0, crossRegionMsPerKilobyte: 0}, ownRegion: 'r', random, isReservedElsewhere: () => false,
			}),
		};
		daemons.set(name, {
			view, forwarder: createForwarder(dependencies), streams: createStreamForwarder({
				...dependencies, protocol: eventlessProtocol, records: unrecordedStreams, findServer: () => ({pool: POOL, softwareVersion: 'v1'}),
			}), table, end: joinDisposables([detector, exchange, monitor]).dispose,
		});
	}

	names.forEach(start);

	/** Disturbs the daemons for a time, so that they are not in touch. */
	function disturb(affected: readonly string[], set: Set<string>, durationMs: number): void {
		affected.forEach(name => {
			const disturbance = {daemon: name, from: clock.monotonic(), until: clock.monotonic() + durationMs};
			disturbances.push(disturbance);
			set.add(name);
			loop.after(durationMs, () => {
				set.delete(name);
			});
		});
	}

	async function sendAt(content: string, name = names[Math.floor(random() * names.length)]!, kind: 'plain' | 'once' | 'exempt' | 'stream' = 'plain', leavesAfterMs = Number.POSITIVE_INFINITY): Promise<CrashAnswer | undefined> {
		const daemon = daemons.get(name);
		if (daemon === undefined) {
			return undefined;
		}

		requestCount += 1;
		const sentAt = clock.monotonic();
		const departure = new AbortController();
		if (Number.isFinite(leavesAfterMs)) {
			loop.after(leavesAfterMs, () => {
				departure.abort();
			});
		}

		const request: PlainRequest = {
			requestId: `q${requestCount}`, method: 'POST', path: content, headers: {}, body: undefined, route: kind === 'once' ? {...route, repeatability: 'nonIdempotent'} : route, deadlineAt: sentAt + CALLER_DEADLINE_MS, signal: departure.signal, urgency: undefined, permitUrgency: 'caller', fingerprint: kind === 'exempt' ? undefined : () => content, organisation: undefined,
		};
		const failure = kind === 'stream' ? await daemon.streams.forward({...request, route: {...route, repeatability: 'stream', canResume: true}}, createResponse(), false) : undefined;
		const result = kind === 'stream' ? (failure === undefined ? ok() : err(failure)) : await daemon.forwarder.forward(request);
		const answer = {
			content, daemon: name, sentAt, answeredAt: clock.monotonic(), result,
		};
		answers.push(answer);
		return answer;
	}

	return {
		time, network, daemons, objects, names, servers, arrivals, crashes, answers, linkChanges, relayCalls, random, crash, send: sendAt,
		/** Kills daemons at once and starts them again, without any memory. */
		restart(affected: readonly string[], downMs: number) {
			affected.forEach(name => {
				disturbances.push({daemon: name, from: clock.monotonic(), until: clock.monotonic() + downMs});
				network.kill(name);
				relayBreaks.filter(({helper}) => helper === name).forEach(({breakRelay}) => {
					breakRelay();
				});
				daemons.get(name)?.end();
				daemons.delete(name);
				loop.after(downMs, () => {
					start(name);
				});
			});
		},
		/** Cuts daemons off from all servers. Their open connections break, or hang as new ones do. */
		cutFromServers(affected: readonly string[], durationMs: number, fault: LinkFault) {
			affected.forEach(name => {
				stranded.set(name, fault);
				loop.after(durationMs, () => {
					stranded.delete(name);
				});
			});
			servers.forEach(server => {
				[...server.running].filter(breakRun => affected.includes(breakByDaemon.get(breakRun)!)).forEach(breakRun => {
					server.running.delete(breakRun);
					if (fault === 'refuses') {
						breakRun();
					}
				});
			});
		},
		/** Cuts a server off from all daemons. It goes on running, and writes its entry. */
		hide(server: FleetServer, durationMs: number, fault: LinkFault) {
			hidden.set(server.id, fault);
			[...server.running].forEach(breakRun => {
				breakRun();
			});
			server.running.clear();
			loop.after(durationMs, () => {
				hidden.delete(server.id);
			});
		},
		/** Removes the entry of a server that goes on running, and writes it again later. */
		unlist(server: FleetServer, durationMs: number) {
			server.isListed = false;
			publishEntries();
			loop.after(durationMs, () => {
				server.isListed = true;
				publishEntries();
			});
		},
		/** Cuts daemons off from the store. */
		cutFromStore(affected: readonly string[], durationMs: number) {
			disturb(affected, objects.partitioned, durationMs);
			affected.forEach(name => {
				daemons.get(name)?.view.recordConnectivity(false, clock.monotonic());
			});
			loop.after(durationMs, now => {
				affected.forEach(name => {
					daemons.get(name)?.view.recordConnectivity(!objects.partitioned.has(name), now);
				});
				publishEntries();
			});
		},
		/** Cuts daemons off from each other. */
		cutFromPeers(affected: readonly string[], durationMs: number) {
			disturb(affected, network.unresponsive, durationMs);
		},
		isInTouch(name: string, at: number) {
			return !disturbances.some(disturbance => disturbance.daemon === name && disturbance.from <= at && at < disturbance.until + STABLE_MS);
		},
	};
}
