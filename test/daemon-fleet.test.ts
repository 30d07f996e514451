import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Lists} from '../src/plans/common/lists.js';
import {createDaemonFleet} from './fakes/daemon-fleet.js';

const test = suite('daemons');

const lists: Lists = {
	plans: [{
		name: 'portal', customer: 'anadolu', weight: 1, keyHashes: [], trainers: [],
	}],
	grants: [{
		plan: 'portal', pool: 'kalip-llm', requestsPerSecond: 5, burstSeconds: 1,
	}],
};

const ids = ['entry-1', 'entry-2', 'entry-3'];

async function startThree(seed: number) {
	const fleet = createDaemonFleet(seed);
	ids.forEach((id, index) => {
		fleet.start({id, availabilityZone: `r${index % 2}-a`}, ids);
	});
	await fleet.time.advance(15_000);
	return fleet;
}

test('three daemons discover each other, and each shard has one holder that all of them know', async () => {
	const fleet = await startThree(1);
	fleet.all().forEach(daemon => {
		assert.equal(daemon.membership.members().map(member => member.state), ['alive', 'alive', 'alive']);
	});
	const held = fleet.all().flatMap(daemon =>
		Array.from({length: 8}, (_, shard) => daemon.shards.holding(shard, daemon.process.clock.monotonic())?.shard ?? []).flat());
	assert.equal(held.toSorted((a, b) => a - b), [0, 1, 2, 3, 4, 5, 6, 7]);
	fleet.all().forEach(daemon => {
		assert.is(Array.from({length: 8}).filter((_, shard) => daemon.shards.owner(shard, daemon.process.clock.monotonic())).length, 8);
	});
});

test('a change of the lists is in force on all daemons and in the audit trail, and a change of an older version is refused', async () => {
	const fleet = await startThree(2);
	const [first, second] = fleet.all();
	const proposed = first?.configuration.propose({operator: 'ayse', ifVersion: 0, lists});
	await fleet.time.advance(4000);
	const outcome = await proposed;
	const accepted = outcome?._unsafeUnwrap();
	fleet.all().forEach(daemon => {
		assert.is(daemon.configuration.current().version, accepted?.version);
		assert.is(daemon.configuration.grant('portal', 'kalip-llm')?.requestsPerSecond, 5);
	});
	const late = second?.configuration.propose({operator: 'nikos', ifVersion: 0, lists});
	await fleet.time.advance(1000);
	const refusal = await late;
	assert.is(refusal?._unsafeUnwrapErr().code, 'conflict');
	const read = second?.audit.read({since: 0, limit: 100});
	await fleet.time.advance(5000);
	const trail = await read;
	assert.equal(trail?._unsafeUnwrap().map(entry => [entry.actor, entry.fromVersion, entry.toVersion]), [['ayse', 0, accepted?.version]]);
});

test.run();
