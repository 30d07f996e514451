/** The gauges for monitoring a daemon, computed from its status. */
import type {Tags} from '../../kernel/common/metrics.js';
import type {MemberState} from '../../membership/common/membership.js';
import type {Status} from './status.js';

/** The value of one gauge. */
export type Gauge = {
	readonly name: string;
	readonly value: number;
	readonly tags: Tags;
};

const memberStates: readonly MemberState[] = ['alive', 'suspect', 'leaving'];

function listPoolGauges(pool: Status['pools'][number]): readonly Gauge[] {
	const tags = {pool: pool.name};
	return [
		{name: 'routing.live_servers', value: pool.servers.filter(server => server.state === 'live').length, tags},
		{name: 'routing.in_flight', value: pool.servers.reduce((sum, server) => sum + server.inFlight, 0), tags},
		...(pool.models ?? []).flatMap(({model, target, engines}) => [
			{name: 'weights.target_version', value: target, tags: {...tags, model}},
			{name: 'weights.usable_engines', value: engines.filter(engine => engine.usable).length, tags: {...tags, model}},
			{name: 'weights.engines_on_target', value: engines.filter(engine => engine.version === target).length, tags: {...tags, model}},
		]),
	];
}

/** Computes the gauges of a status. */
export function listGauges(status: Status): readonly Gauge[] {
	const {members, shards, peerTraffic} = status;
	return [
		...memberStates.map(state => ({name: 'membership.members', value: members.filter(member => member.state === state).length, tags: {state}})),
		{name: 'leases.held', value: shards.held.length, tags: {}},
		{name: 'leases.without_owner', value: shards.withoutKnownOwner.length, tags: {}},
		{name: 'plans.version', value: status.configurationVersion, tags: {}},
		{name: 'peers.sent_bytes', value: peerTraffic.sent, tags: {}},
		{name: 'peers.received_bytes', value: peerTraffic.received, tags: {}},
		...status.pools.flatMap(pool => listPoolGauges(pool)),
	];
}
