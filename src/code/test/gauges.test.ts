import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {listGauges} from '../common/gauges.js';
import type {Status} from '../common/status.js';

const test = suite('gauges');

const status: Status = {
	daemon: 'entry-1',
	configurationVersion: 7,
	members: [
		{
			id: 'entry-1', state: 'alive', availabilityZone: 'konya-a', incarnation: 1,
		},
		{
			id: 'entry-2', state: 'suspect', availabilityZone: 'konya-a', incarnation: 1,
		},
	],
	shards: {count: 4, held: [{shard: 1, fencing: 9}], withoutKnownOwner: [2, 3]},
	pools: [{
		name: 'models',
		servers: [
			{
				id: 'a', state: 'live', availabilityZone: 'konya-a', inFlight: 3,
			},
			{
				id: 'b', state: 'leaving', availabilityZone: 'konya-a', inFlight: 2,
			},
		],
		models: [{
			pool: 'models', model: 'notes', target: 5, engines: [{serverId: 'a', version: 5, usable: true}, {serverId: 'b', version: 4, usable: false}],
		}],
	}],
	peerTraffic: {sent: 10, received: 20},
};

test('counts members, shards, servers and engines, with tags of bounded cardinality', () => {
	const gauges = listGauges(status).map(({name, value, tags}) => `${name}${Object.values(tags).map(tag => `,${tag}`).join('')}=${value}`);
	assert.equal(gauges, [
		'membership.members,alive=1',
		'membership.members,suspect=1',
		'membership.members,leaving=0',
		'leases.held=1',
		'leases.without_owner=2',
		'plans.version=7',
		'peers.sent_bytes=10',
		'peers.received_bytes=20',
		'routing.live_servers,models=1',
		'routing.in_flight,models=5',
		'weights.target_version,models,notes=5',
		'weights.usable_engines,models,notes=1',
		'weights.engines_on_target,models,notes=1',
	]);
});

test.run();
