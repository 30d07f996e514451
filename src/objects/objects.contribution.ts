/** Registers the peer mesh, the object API that can relay calls through peers, and the directory of daemons. */
import {createServiceKey, type Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {objectApiKey, type ApiObject, type ObjectApi} from '../adapters/common/object-api.js';
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import {peerMeshKey, type PeerDaemon, type PeerMesh} from '../peers/common/peer-mesh.js';
import {peerStreamsKey} from '../peers/node/peer-streams.js';
import {createPeerMesh} from '../peers/node/peer-mesh.js';
import {connectionTableKey, hostKey, type Host} from '../settings/common/host.js';
import {DAEMON_OBJECT_KIND, parseDaemonEntry} from './common/daemon-directory.js';
import {followKind} from './common/kind-follower.js';
import {createRelayedApi} from './node/relayed-api.js';

/** Service key of the object API that this daemon calls directly, without relaying. */
export const directObjectApiKey = createServiceKey<ObjectApi>('direct-object-api');

/** Maximum wait of a poll of the directory, and minimum time between two polls. Each restart of a daemon changes the directory for all daemons, and none needs the change quickly. */
const DIRECTORY_POLL_WAIT_MS = 20_000;
const DIRECTORY_POLL_INTERVAL_MS = 4000;
const REGISTRATION_RETRY_MS = 1000;

function createSeedDaemon(seed: Host['seeds'][number]): PeerDaemon {
	return {
		name: `seed ${seed.ip}`, incarnation: '', ip: seed.ip, port: seed.port, region: '', availabilityZone: '',
	};
}

/** Writes this daemon's entry, replaces that of its previous start, and retries until the store has it. */
async function registerDaemon(context: Context, api: ObjectApi, self: PeerDaemon): Promise<void> {
	const id = {kind: DAEMON_OBJECT_KIND, name: self.name};
	const created = await api.create(id, self);
	if (created.isOk()) {
		return;
	}

	const found = created.error.code === 'conflict' ? await api.read(id) : undefined;
	const revision = found?.unwrapOr(undefined)?.revision;
	const replaced = revision === undefined ? undefined : await api.replace(id, self, revision);
	if (replaced?.isOk() === true) {
		return;
	}

	context.log.info('daemon is not registered in the directory yet', {reason: created.error.message});
	await context.loop.sleep(REGISTRATION_RETRY_MS);
	return registerDaemon(context, api, self);
}

function followDirectory(context: Context, api: ObjectApi, mesh: PeerMesh): Disposable {
	return followKind({
		kind: DAEMON_OBJECT_KIND,
		waitMs: DIRECTORY_POLL_WAIT_MS,
		minimumPollIntervalMs: DIRECTORY_POLL_INTERVAL_MS,
		onObjects(objects: ReadonlyMap<string, ApiObject>) {
			const daemons = [...objects.values()].flatMap(object => {
				const daemon = parseDaemonEntry(object);
				if (daemon === undefined) {
					context.log.warn('directory entry of a daemon is invalid', {name: object.name});
				}

				return daemon ?? [];
			});
			mesh.setKnownDaemons(daemons);
			context.log.info('daemons known', {daemons: daemons.map(daemon => daemon.name)});
		},
	}, {...context, api});
}

registerContribution({
	id: 'objects',
	requires: ['hosted-platform'],
	start(context) {
		const host = context.use(hostKey);
		const self: PeerDaemon = {
			name: host.name, incarnation: host.incarnation, ip: host.peers.ip, port: host.peers.port, region: host.region, availabilityZone: host.availabilityZone, capacity: host.capacity,
		};
		const mesh = createPeerMesh(self, context.clock, context.log, context.use(connectionTableKey));
		mesh.setKnownDaemons(host.seeds.filter(seed => seed.ip !== self.ip).map(seed => createSeedDaemon(seed)));
		const api = createRelayedApi({...context, directApi: context.use(directObjectApiKey), mesh});
		context.provide(peerMeshKey, mesh);
		context.provide(peerStreamsKey, mesh);
		context.provide(objectApiKey, api);
		const hasCallers = host.callers !== undefined;
		if (hasCallers) {
			void registerDaemon(context, api, self);
		}

		context.onDidStart(async () => hasCallers ? mesh.listen() : undefined);
		const follower = hasCallers ? followDirectory(context, api, mesh) : {dispose: () => undefined};
		return joinDisposables([follower, {dispose: mesh.close}]);
	},
});
