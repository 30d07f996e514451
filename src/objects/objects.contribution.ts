/** Registers the way to other daemons, the object API with its way through peers, and the directory of daemons. */
import {createServiceKey, type Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {objectApiKey, type ApiObject, type ObjectApi} from '../adapters/common/object-api.js';
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import {peerMeshKey, type PeerDaemon, type PeerMesh} from '../peers/common/peer-mesh.js';
import {createPeerMesh} from '../peers/node/peer-mesh.js';
import {hostKey, type Host} from '../settings/common/host.js';
import {DAEMON_KIND, readDaemon} from './common/daemon-directory.js';
import {followKind} from './common/kind-follower.js';
import {createRelayedApi} from './node/relayed-api.js';

/** The object API as this daemon itself reaches it. */
export const directObjectApiKey = createServiceKey<ObjectApi>('direct-object-api');

/** Longest wait of the poll for daemons that come, and the shortest time between two polls: each restart is news to all daemons, and none needs it soon. */
const DIRECTORY_WAIT_MS = 20_000;
const DIRECTORY_GATHER_MS = 4000;
const ENTER_RETRY_MS = 1000;

function seedDaemon(seed: Host['seeds'][number]): PeerDaemon {
	return {
		name: `seed ${seed.ip}`, incarnation: '', ip: seed.ip, port: seed.port, region: '', availabilityZone: '',
	};
}

/** Writes the own entry, and again after a restart, until the store has it. */
async function enter(context: Context, api: ObjectApi, self: PeerDaemon): Promise<void> {
	const id = {kind: DAEMON_KIND, name: self.name};
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

	context.log.info('not entered in the directory yet', {reason: created.error.message});
	await context.loop.sleep(ENTER_RETRY_MS);
	return enter(context, api, self);
}

function followDirectory(context: Context, api: ObjectApi, mesh: PeerMesh): Disposable {
	return followKind({
		kind: DAEMON_KIND,
		waitMs: DIRECTORY_WAIT_MS,
		gatherMs: DIRECTORY_GATHER_MS,
		onObjects(objects: ReadonlyMap<string, ApiObject>) {
			const daemons = [...objects.values()].flatMap(object => {
				const daemon = readDaemon(object);
				if (daemon === undefined) {
					context.log.warn('entry of a daemon can not be read', {name: object.name});
				}

				return daemon ?? [];
			});
			mesh.learn(daemons);
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
		const mesh = createPeerMesh(self, context.clock, context.log);
		mesh.learn(host.seeds.filter(seed => seed.ip !== self.ip).map(seed => seedDaemon(seed)));
		const api = createRelayedApi({...context, direct: context.use(directObjectApiKey), mesh});
		context.provide(peerMeshKey, mesh);
		context.provide(objectApiKey, api);
		const serves = host.callers !== undefined;
		if (serves) {
			void enter(context, api, self);
		}

		context.onDidStart(async () => serves ? mesh.listen() : undefined);
		const following = serves ? followDirectory(context, api, mesh) : {dispose: () => undefined};
		return joinDisposables([following, {dispose: mesh.close}]);
	},
});
