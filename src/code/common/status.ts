/** A daemon's view of the fleet, which `rosemaryshore status` prints. */
import type {ModelVersions} from '../../weights/common/engine-versions.js';
import type {Shards} from '../../leases/common/shards.js';
import type {Membership} from '../../membership/common/membership.js';
import type {Configuration} from '../../plans/common/configuration.js';
import type {Router} from '../../routing/common/router.js';
import type {Settings} from '../../settings/common/settings.js';

/** Services that the status is read from. */
export type StatusSources = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly shards: Shards;
	readonly configuration: Configuration;
	readonly router: Router;
	readonly findVersions: (pool: string, model: string) => ModelVersions;
	readonly peerTraffic: () => {readonly sent: number; readonly received: number};
};

/** The status; can be serialized as JSON. */
export type Status = ReturnType<typeof createStatus>;

function describeShards(shards: Shards, now: number) {
	const shardNumbers = Array.from({length: shards.count}, (_, shard) => shard);
	return {
		count: shards.count,
		held: shardNumbers.flatMap(shard => shards.holding(shard, now) ?? []).map(({shard, fencing}) => ({shard, fencing})),
		withoutKnownOwner: shardNumbers.filter(shard => shards.owner(shard, now) === undefined),
	};
}

function describePools({settings, router, findVersions}: StatusSources) {
	return settings.pools.map(pool => ({
		name: pool.name,
		servers: router.servers(pool.name).map(server => ({
			id: server.id, state: server.state, availabilityZone: server.availabilityZone, inFlight: router.inFlight(server.id),
		})),
		...(pool.kind === 'engine' && {models: pool.models.map(model => findVersions(pool.name, model))}),
	}));
}

/** Creates the status at monotonic time `now`. */
export function createStatus(sources: StatusSources, now: number) {
	const {settings, membership, shards, configuration} = sources;
	return {
		daemon: settings.daemon.id,
		configurationVersion: configuration.current().version,
		members: membership.members().map(({id, state, availabilityZone, incarnation}) => ({
			id, state, availabilityZone, incarnation,
		})),
		shards: describeShards(shards, now),
		pools: describePools(sources),
		peerTraffic: sources.peerTraffic(),
	};
}
