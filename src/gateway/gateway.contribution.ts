/** Registers the gateway, which follows the configuration and the backend servers in the object API and forwards requests to the servers. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import {createSuspensionRecord} from '../base/node/suspension-record.js';
import {createServiceKey, type Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {createLimitUsage, type LimitUsage} from '../limits/common/limit-usage.js';
import type {ServerPermits} from '../limits/common/server-permits.js';
import {probePort} from '../limits/node/port-probe.js';
import {createServerPermits} from '../limits/node/server-permits.js';
import {createServerLimits, type ServerLimits} from '../limits/common/server-limits.js';
import {peerStreamsKey} from '../peers/node/peer-streams.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {createSuspectTable, type SuspectTable} from '../requests/common/suspect-table.js';
import {createSuspectLedger} from '../requests/node/suspect-ledger.js';
import {createDispatcher, type Dispatcher} from '../routing/common/dispatcher.js';
import {createLoadEstimate} from '../routing/common/load-estimate.js';
import {createPrefixIndex} from '../routing/common/prefix-index.js';
import {hostKey} from '../settings/common/host.js';
import {createDeploymentHolder, listResumablePools, type DeploymentHolder} from './common/deployment.js';
import {deploymentSourceKey} from './common/deployment-source.js';
import {createEntryHistory} from './common/entry-history.js';
import {createFailureRates} from './common/failure-rates.js';
import {createHedgePolicy, hedgingSettingsKey, type HedgePolicy} from './common/hedge-policy.js';
import {createPoolServers, type PoolServers} from './common/pool-servers.js';
import {hostedSuspectRules} from './common/suspect-rules.js';
import {serverProtocolKey} from './common/server-protocol.js';
import {createSharedLoads, type SharedLoads} from './common/shared-loads.js';
import {createRunTrackerSlot, type RunTrackerSlot} from './common/run-tracker.js';
import {createOpenAttempts, type OpenAttempts} from './common/open-attempts.js';
import {createRelayChoice} from './common/relay-choice.js';
import {createServerLinks, type ServerLinks} from './common/server-links.js';
import {createServerStatements, type ServerStatements} from './common/server-statements.js';
import {createServerView, type ServerView} from './common/server-view.js';
import {createCheckedCaller} from './node/checked-caller.js';
import {createCrashDetector, type CrashDetector} from './node/crash-detector.js';
import {createSuspectExchange, type SuspectExchange} from './node/suspect-exchange.js';
import {createSuspectObjects} from './node/suspect-objects.js';
import {createFeed, type Feed} from './node/feed.js';
import {reportHedges} from './node/hedge-report.js';
import {createForwarder, type Forwarder} from './node/forwarder.js';
import {createPortInspection} from './node/port-inspection.js';
import {createHttpRelayTransport, serveRelays} from './node/http-relay.js';
import {startLinkMonitor} from './node/link-monitor.js';
import {createRelayHelper, type RelayHelper} from './node/relay-helper.js';
import {createRelayingCaller} from './node/relaying-caller.js';
import {createRequestGuard} from './node/request-guard.js';
import {createServerAcquisition} from './node/server-acquisition.js';
import {createServerCaller, type ServerCaller} from './node/server-caller.js';
import {createStreamRecords, type StreamRecords} from './node/stream-records.js';
import {createStreamForwarder, type StreamForwarder} from './node/stream-forwarder.js';

/** The gateway of one daemon. */
export type Gateway = {
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly loads: SharedLoads;
	readonly dispatcher: Dispatcher;
	readonly links: ServerLinks;
	readonly attempts: OpenAttempts;
	readonly caller: ServerCaller;
	readonly relayHelper: RelayHelper;
	readonly forwarder: Forwarder;
	readonly streams: StreamForwarder;
	readonly limits: ServerLimits;
	readonly limitUsage: LimitUsage;
	readonly statements: ServerStatements;
	readonly permits: ServerPermits & Disposable;
	readonly detector: CrashDetector;
	readonly exchange: SuspectExchange;
	readonly records: StreamRecords;
	readonly suspects: Pick<SuspectTable, 'check'>;
	readonly hedgePolicy: HedgePolicy;
	readonly listPoolServers: PoolServers;
	/** Receives the attempts of callers' requests. */
	readonly runs: RunTrackerSlot;
	/** Registers what must end before this daemon does, once its forwarders are idle. */
	readonly addDrain: (drain: () => Promise<void>) => void;
	/** Resolves when all that was registered with `addDrain` has ended. */
	readonly whenDrained: () => Promise<void>;
};

/** Service key of the daemon's gateway. */
export const gatewayKey = createServiceKey<Gateway>('gateway');

/** Maximum wait of a long poll for configurations; an unresponsive connection is noticed after it. */
const CONFIGURATION_WAIT_MS = 3500;
const CONFIGURATION_POLL_INTERVAL_MS = 50;
/** Maximum wait of a long poll for server entries. */
const SERVERS_WAIT_MS = 100;
/** Minimum time between these polls, as a share of the drain time of a leaving server. The rest of that time is left for forwarding changes to followers. */
const SERVERS_POLL_INTERVAL_SHARE = 0.48;
const EXPIRY_CHECK_MS = 250;
/** Time limit for connecting to a server to learn whether the links work. */
const LINK_PROBE_TIMEOUT_MS = 300;
/** Time between log lines on the requests that were sent to servers with a limit. */
const LIMIT_USE_PERIOD_MS = 4000;
/** Maximum time to wait for attempts that this daemon relays for others. */
const RELAY_DRAIN_MS = 2000;
/** Maximum number of prompt prefixes whose engine is remembered. */
const MAXIMUM_PREFIXES = 2000;
/** Cost weights in the choice of a server: prefill is fast, and traffic between regions costs time and money. */
const COST_WEIGHTS = {prefillMsPerToken: 0.03, crossRegionMs: 25, crossRegionMsPerKilobyte: 3};

function createGateway(context: Context): Gateway {
	const host = context.use(hostKey);
	const protocol = context.use(serverProtocolKey);
	const deployment = createDeploymentHolder(createSuspensionRecord(context.clock).resumedAt);
	const view = createServerView(zone => host.regionByZone[zone]);
	const loads = createSharedLoads(createLoadEstimate(serverId => view.find(serverId)?.slots ?? 1), serverId => (view.find(serverId)?.versions.size ?? 0) > 0);
	const dispatcher = createDispatcher({
		table: view.table, loads, prefixes: createPrefixIndex(MAXIMUM_PREFIXES), weights: COST_WEIGHTS, ownRegion: host.region, random: context.random, isReservedElsewhere: () => false,
	});
	const limits = createServerLimits();
	const limitUsage = createLimitUsage(limits);
	const statements = createServerStatements({
		limits, limitUsage, startTimeOf: serverId => view.find(serverId)?.startedAt, onLeaving: view.recordLeaving,
	});
	const links = createServerLinks(pool => view.list(pool).length);
	links.onDidChange(({pool, isCut}) => {
		context.log.info(isCut ? 'links to a pool are cut' : 'links to a pool can be used again', {pool, servers: view.list(pool).length});
		context.metrics.gauge('server_links.cut', isCut ? 1 : 0, {pool});
	});
	const direct = createServerCaller({
		...context, protocol, statements, links,
	});
	const mesh = context.use(peerMeshKey);
	const streams = context.use(peerStreamsKey);
	const findUsable = (serverId: string) => (view.find(serverId)?.isLeaving === false ? view.table.find(serverId) : undefined);
	const relayHelper = createRelayHelper({
		...context, direct, links, findServer: findUsable, reachesStore: () => !deployment.mayBeOutdated(context.clock.monotonic()),
	});
	serveRelays(streams, relayHelper, context);
	const attempts = createOpenAttempts();
	const caller = createCheckedCaller(createRelayingCaller({
		...context, direct, links, attempts, choice: createRelayChoice(mesh.self, context.random), transport: createHttpRelayTransport(streams), mesh, protocol, statements,
	}), context);
	view.onDidStartLeaving(notice => {
		context.log.info('backend server says that it is leaving', {serverId: notice.serverId, startedAt: notice.startedAt});
	});
	limits.onDidChange(({limit: {serverId, startedAt, perSecond}, previousPerSecond, isOwn}) => {
		context.log.info(perSecond === undefined ? 'backend server no longer limits its requests' : 'backend server limits its requests', {
			serverId, startedAt, perSecond, previousPerSecond, from: isOwn ? 'its response' : 'another daemon',
		});
		context.metrics.gauge('server_limit.per_second', perSecond ?? Number.POSITIVE_INFINITY, {server: serverId});
	});
	const permits = createServerPermits({
		...context,
		limits,
		mesh: context.use(peerMeshKey),
		describeServer(serverId) {
			const entry = view.find(serverId);
			return {startedAt: entry?.startedAt, region: entry === undefined ? undefined : host.regionByZone[entry.availabilityZone]};
		},
	});
	const acquisition = createServerAcquisition({...context, permits, isUsable: view.table.isUsable});
	const history = createEntryHistory();
	view.onDidChange(() => {
		history.update(view.all(), context.clock.monotonic());
	});
	const ports = createPortInspection({
		...context, view, history, mesh: context.use(peerMeshKey), probe: probePort,
	});
	const detector = createCrashDetector({
		...context, view, history, ports,
	});
	const suspects = createSuspectTable(hostedSuspectRules);
	const exchange = createSuspectExchange({
		...context, table: suspects, rules: hostedSuspectRules, objects: createSuspectObjects({...context, api: context.use(objectApiKey)}), mesh: context.use(peerMeshKey),
	});
	const guard = createRequestGuard({
		...context, detector, table: suspects, ledger: createSuspectLedger({table: suspects, transport: exchange}), trials: exchange,
	});
	const serverIdsOf = (pool: string) => view.list(pool).map(entry => entry.id);
	const failureRates = createFailureRates();
	const hedgePolicy = createHedgePolicy(context.use(hedgingSettingsKey));
	const listPoolServers = createPoolServers({
		view, loads, permits, failureRates,
	});
	const runs = createRunTrackerSlot();
	const drains: Array<() => Promise<void>> = [];
	const forwarder = createForwarder({
		...context, dispatcher, loads, caller, acquisition, guard, serverIdsOf, runs, failureRates, hedgePolicy, listPoolServers, configurationVersion: () => deployment.current()?.version,
	});
	const records = createStreamRecords({
		...context,
		view,
		api: context.use(objectApiKey),
		mesh: context.use(peerMeshKey),
		resumablePools: () => listResumablePools(deployment.current()),
	});
	// The entry of a run that has crashed says nothing about the run that follows it under the same id.
	const findServer = (serverId: string) => (detector.hasCrashed(detector.currentRun(serverId)) ? undefined : view.find(serverId));
	const streamForwarder = createStreamForwarder({
		...context, dispatcher, caller, acquisition, guard, records, serverIdsOf, protocol, findServer, runs,
	});
	return {
		deployment, view, loads, dispatcher, links, attempts, caller, relayHelper, forwarder, streams: streamForwarder, limits, limitUsage, statements, permits, detector, exchange, records, suspects, hedgePolicy, listPoolServers, runs,
		addDrain(drain) {
			drains.push(drain);
		},
		async whenDrained() {
			await Promise.all(drains.map(async drain => drain()));
		},
	};
}

/** Follows the configuration in the store. */
function followConfiguration(context: Context, gateway: Gateway): Disposable {
	const source = context.use(deploymentSourceKey);
	return followKind({
		kind: source.configurationKind,
		waitMs: CONFIGURATION_WAIT_MS,
		minimumPollIntervalMs: CONFIGURATION_POLL_INTERVAL_MS,
		onObjects(objects) {
			const read = source.readDeployment(objects);
			if (typeof read === 'string') {
				context.log.warn('configuration can not be read', {problem: read, inForce: gateway.deployment.current()?.version});
			} else if (read !== undefined && gateway.deployment.offer(read)) {
				context.log.info('configuration in force', {
					version: read.version, routes: read.routes.length, pools: read.pools.length, ...(read.tenancy?.kind === 'required' && {organisations: read.tenancy.organisations.length}),
				});
			}
		},
		onConnectivity(isReached, now) {
			if (isReached) {
				gateway.deployment.confirm(now);
			}
		},
	}, {...context, api: context.use(objectApiKey)});
}

/** Follows server entries in the store and records them in the feed. */
function followServers(context: Context, gateway: Gateway, feed: () => Feed): Disposable {
	const source = context.use(deploymentSourceKey);
	const problems = new Map<string, string>();
	return followKind({
		kind: source.serverKind,
		waitMs: SERVERS_WAIT_MS,
		minimumPollIntervalMs: context.use(hostKey).bounds.drainMs * SERVERS_POLL_INTERVAL_SHARE,
		onObjects(objects, now) {
			const entries = [...objects.values()].flatMap(object => {
				const entry = source.readServer(object);
				if (typeof entry !== 'string') {
					return entry;
				}

				if (problems.get(object.name) !== entry) {
					problems.set(object.name, entry);
					context.log.warn('entry of a backend server can not be read', {name: object.name, problem: entry});
				}

				return [];
			});
			[...problems.keys()].filter(name => !objects.has(name)).forEach(name => {
				problems.delete(name);
			});
			feed().recordEntries(entries);
			const before = new Map(gateway.view.all().map(entry => [entry.id, entry.isLeaving]));
			gateway.view.update(entries, now);
			const after = new Map(gateway.view.all().map(entry => [entry.id, entry.isLeaving]));
			const added = [...after.keys()].filter(id => !before.has(id));
			const removed = [...before.keys()].filter(id => !after.has(id));
			const leaving = [...after].filter(([id, isLeaving]) => isLeaving && before.get(id) === false).map(([id]) => id);
			if (added.length + removed.length + leaving.length > 0) {
				context.log.info('backend servers changed', {
					came: added, gone: removed, leaving, known: after.size,
				});
			}
		},
		onConnectivity(isReached, now) {
			gateway.view.recordConnectivity(isReached, now);
			feed().recordConnectivity(isReached, now);
		},
	}, {...context, api: context.use(objectApiKey)});
}

registerContribution({
	id: 'gateway',
	requires: ['hosted-platform', 'objects'],
	start(context) {
		if (context.use(hostKey).callers === undefined) {
			return {dispose: () => undefined};
		}

		const gateway = createGateway(context);
		context.provide(gatewayKey, gateway);
		const feeds: Feed[] = [];
		const feed = createFeed({
			...context,
			...gateway,
			mesh: context.use(peerMeshKey),
			drainMs: context.use(hostKey).bounds.drainMs,
			followStore: () => joinDisposables([followConfiguration(context, gateway), followServers(context, gateway, () => feeds[0]!)]),
		});
		feeds.push(feed);
		return {
			...joinDisposables([
				{dispose: gateway.caller.close},
				feed,
				gateway.permits,
				gateway.detector,
				gateway.exchange,
				gateway.records,
				startLinkMonitor({
					...context, ...gateway, probe: async peer => probePort(peer, LINK_PROBE_TIMEOUT_MS),
				}),
				reportHedges(context, gateway.hedgePolicy),
				context.loop.every({name: 'expire servers', periodMs: EXPIRY_CHECK_MS, run: gateway.view.expire}),
				context.loop.every({
					name: 'use of limited servers',
					periodMs: LIMIT_USE_PERIOD_MS,
					run() {
						gateway.limitUsage.takeCounts().forEach(use => {
							context.log.info('requests sent to a server with a limit', {...use, periodMs: LIMIT_USE_PERIOD_MS});
							context.metrics.count('server_limit.requests', use.sent, {server: use.serverId});
						});
					},
				}),
			]),
			// Runs after the caller server and the batches have drained, so that the last accepted requests end here, within the stop timeout.
			async drain() {
				// An attempt that is cut here goes on over another daemon, so a long one does not hold up the stop.
				const relays = Promise.race([gateway.relayHelper.drain(), context.loop.sleep(RELAY_DRAIN_MS)]);
				await Promise.all([gateway.forwarder.whenIdle(), gateway.streams.whenIdle(), relays]);
				// What the servers have sent is not delivered before the callers have read it.
				await gateway.whenDrained();
			},
		};
	},
});
