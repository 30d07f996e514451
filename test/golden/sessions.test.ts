/** Runs complete sessions with faults at fixed times, and compares their records with golden files. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkDelivery} from '../../src/rollouts/test/delivery-checker.js';
import {createRolloutSimulation} from '../../src/rollouts/test/rollout-simulation.js';
import {createTaggedLists} from '../fakes/configuration-record.js';
import {createDaemonFleet} from '../fakes/daemon-fleet.js';
import {assertGolden} from './golden-file.js';

const test = suite('golden sessions');

test('a training step whose owner crashes while its weights are swapped', async () => {
	const world = createRolloutSimulation({seed: 11, groups: 8, samplesPerGroup: 4});
	world.time.loop.after(2500, () => {
		world.publish();
	});
	world.time.loop.after(4000, () => {
		world.crashOwner();
	});
	world.start();
	await world.time.advance(60_000);
	assert.ok(world.finished);
	assert.equal(checkDelivery(world.answers, world.expectation()), []);
	assertGolden('training-step', world.answers.map(({weightVersion, batch}) => {
		const samples = batch.samples.map(sample => `${sample.id}[${sample.versions.map(range => `v${range.version}:${range.from}-${range.to}`).join(' ')}]`);
		return `trainer at v${weightVersion} got batch ${batch.batch} of step ${batch.step}${batch.done ? ', the last' : ''}: ${samples.join(' ')}`;
	}));
});

test('three daemons while the lists change, one daemon is killed, and it is restarted', async () => {
	const fleet = createDaemonFleet(12);
	const ids = ['entry-1', 'entry-2', 'entry-3'];
	const lines: string[] = [];
	const recordState = (event: string) => {
		lines.push(`${fleet.time.clock.monotonic()} ms: ${event}`, ...fleet.all().map(daemon => {
			const now = daemon.process.clock.monotonic();
			const held = Array.from({length: 8}, (_, shard) => daemon.shards.holding(shard, now)).flatMap(holding => holding ? [`${holding.shard}#${holding.fencing}`] : []);
			const members = daemon.membership.members().map(member => `${member.id}=${member.state}`);
			return `  ${daemon.membership.self().id}: configuration ${daemon.configuration.current().version}; shards#fencing ${held.join(' ') || 'none'}; members ${members.join(' ')}`;
		}));
	};

	ids.forEach((id, index) => {
		fleet.start({id, availabilityZone: `r${index % 2}-a`}, ids);
	});
	await fleet.time.advance(15_000);
	recordState('started');
	void fleet.get('entry-2').configuration.propose({operator: 'ayse', ifVersion: 0, lists: createTaggedLists('portal')});
	await fleet.time.advance(6000);
	recordState('lists changed through entry-2');
	fleet.kill('entry-1');
	await fleet.time.advance(15_000);
	recordState('entry-1 killed');
	fleet.start({id: 'entry-1', availabilityZone: 'r0-a'}, ids);
	await fleet.time.advance(30_000);
	recordState('entry-1 restarted');
	assertGolden('three-daemons', lines);
});

test.run();
