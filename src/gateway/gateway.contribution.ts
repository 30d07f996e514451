/** Registers the gateway: the configuration and the backend servers as the object API holds them, and the way to servers. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import {createServiceKey, type Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {followKind} from '../objects/common/kind-follower.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {createDispatcher, type Dispatcher} from '../routing/common/dispatcher.js';
import {createLoadEstimate} from '../routing/common/load-estimate.js';
import {createPrefixIndex} from '../routing/common/prefix-index.js';
import {hostKey} from '../settings/common/host.js';
import {createDeploymentHolder, type DeploymentHolder} from './common/deployment.js';
import {deploymentSourceKey} from './common/deployment-source.js';
import {serverProtocolKey} from './common/server-protocol.js';
import {createSharedLoads, type SharedLoads} from './common/shared-loads.js';
import {createServerView, type ServerView} from './common/server-view.js';
import {createFeed, type Feed} from './node/feed.js';
import {createForwarder, type Forwarder} from './node/forwarder.js';
import {createServerCaller, type ServerCaller} from './node/server-caller.js';
import {createStreamForwarder, type StreamForwarder} from './node/stream-forwarder.js';

/** The gateway of one daemon. */
export type Gateway = {
	readonly deployment: DeploymentHolder;
	readonly view: ServerView;
	readonly loads: SharedLoads;
	readonly dispatcher: Dispatcher;
	readonly caller: ServerCaller;
	readonly forwarder: Forwarder;
	readonly streams: StreamForwarder;
};

/** The daemon's gateway. */
export const gatewayKey = createServiceKey<Gateway>('gateway');

/** Longest wait of a poll for configurations: a connection that went silent is noticed after it. */
const CONFIGURATION_WAIT_MS = 3500;
const CONFIGURATION_GATHER_MS = 50;
/** Longest wait of a poll for server entries. */
const SERVERS_WAIT_MS = 100;
/** Shortest time between such polls, as a share of the time to leave a leaving server; the rest is for the way to daemons that follow this one. */
const SERVERS_GATHER_SHARE = 0.48;
const EXPIRE_MS = 250;
/** Time for the last answers to leave the process once their servers have answered. */
const DELIVERY_MS = 50;
/** Prompt prefixes whose engine is remembered. */
const REMEMBERED_PREFIXES = 2000;
/** Weights in the choice of a server: prompts are read fast, and links between regions cost time and money. */
const WEIGHTS = {prefillMsPerToken: 0.03, crossRegionMs: 25, crossRegionMsPerKilobyte: 3};

function createGateway(context: Context): Gateway {
	const host = context.use(hostKey);
	const protocol = context.use(serverProtocolKey);
	const deployment = createDeploymentHolder();
	const view = createServerView(zone => host.regionByZone[zone]);
	const loads = createSharedLoads(createLoadEstimate(serverId => view.find(serverId)?.slots ?? 1), serverId => (view.find(serverId)?.versions.size ?? 0) > 0);
	const dispatcher = createDispatcher({
		table: view.table, loads, prefixes: createPrefixIndex(REMEMBERED_PREFIXES), weights: WEIGHTS, ownRegion: host.region, random: context.random, reservedElsewhere: () => false,
	});
	const caller = createServerCaller({
		protocol,
		startOf: serverId => view.find(serverId)?.startedAt,
		onLeaving(mark) {
			view.noteLeaving(mark, context.clock.monotonic());
		},
	});
	view.onDidLeave(mark => {
		context.log.info('backend server says that it is leaving', {serverId: mark.serverId, startedAt: mark.startedAt});
	});
	const forwarder = createForwarder({
		...context, dispatcher, loads, caller, configurationVersion: () => deployment.current()?.version, serversOf: pool => view.list(pool).map(entry => entry.id),
	});
	const streams = createStreamForwarder({
		...context, dispatcher, caller, protocol,
	});
	return {
		deployment, view, loads, dispatcher, caller, forwarder, streams,
	};
}

/** Follows the configuration in the store. */
function followConfiguration(context: Context, gateway: Gateway): Disposable {
	const source = context.use(deploymentSourceKey);
	return followKind({
		kind: source.configurationKind,
		waitMs: CONFIGURATION_WAIT_MS,
		gatherMs: CONFIGURATION_GATHER_MS,
		onObjects(objects) {
			const read = source.readDeployment(objects);
			if (typeof read === 'string') {
				context.log.warn('configuration can not be read', {problem: read, inForce: gateway.deployment.current()?.version});
			} else if (read !== undefined && gateway.deployment.offer(read)) {
				context.log.info('configuration in force', {version: read.version, routes: read.routes.length, pools: read.pools.length});
			}
		},
		onReach(isReached, now) {
			if (isReached) {
				gateway.deployment.confirm(now);
			}
		},
	}, {...context, api: context.use(objectApiKey)});
}

/** Follows server entries in the store, and tells the feed of them. */
function followServers(context: Context, gateway: Gateway, feed: () => Feed): Disposable {
	const source = context.use(deploymentSourceKey);
	const problems = new Map<string, string>();
	return followKind({
		kind: source.serverKind,
		waitMs: SERVERS_WAIT_MS,
		gatherMs: context.use(hostKey).bounds.drainMs * SERVERS_GATHER_SHARE,
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
			feed().noteEntries(entries);
			const before = new Map(gateway.view.all().map(entry => [entry.id, entry.isLeaving]));
			gateway.view.update(entries, now);
			const after = new Map(gateway.view.all().map(entry => [entry.id, entry.isLeaving]));
			const came = [...after.keys()].filter(id => !before.has(id));
			const gone = [...before.keys()].filter(id => !after.has(id));
			const leaving = [...after].filter(([id, isLeaving]) => isLeaving && before.get(id) === false).map(([id]) => id);
			if (came.length + gone.length + leaving.length > 0) {
				context.log.info('backend servers changed', {
					came, gone, leaving, known: after.size,
				});
			}
		},
		onReach(isReached, now) {
			gateway.view.noteReach(isReached, now);
			feed().noteReach(isReached, now);
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
				context.loop.every({name: 'expire servers', periodMs: EXPIRE_MS, run: gateway.view.expire}),
			]),
			// Drained after the callers' side and batches: requests that were accepted last end here, within the time of the stop.
			async drain() {
				await gateway.forwarder.whenIdle();
				await context.loop.sleep(DELIVERY_MS);
			},
		};
	},
});
