import {err} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createNotRun} from '../src/base/common/failure.js';
import type {Store} from '../src/adapters/common/store.js';
import {wrapStore} from '../src/adapters/common/wrapped-store.js';
import {ConfigurationTransport} from '../src/plans/common/configuration-transport.js';
import {findOutdatedVersions, findReverts} from './fakes/configuration-record.js';
import {
	assertConsistent, IN_FORCE_MS, propose, startScenario, type ProfileChange, type RunningScenario,
} from './fakes/configuration-scenario.js';
import {
	createMemorySnapshots, forEachSeed, repeat, withoutRumors,
} from './fakes/fleet-scenario.js';

const test = suite('configuration outages');

async function runPartitionedRegions(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	const partitioned = new Set(['entry-3']);
	started.fleet.faults.isLinkCut = (from, to) => partitioned.has(from) !== partitioned.has(to);
	started.fleet.faults.store = daemonId => (partitioned.has(daemonId) ? 'down' : 'none');
	started.fleet.faults.isWatching = daemonId => !partitioned.has(daemonId);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(300_000);
	started.fleet.faults.isLinkCut = () => false;
	started.fleet.faults.store = () => 'none';
	await started.fleet.time.advance(10_000);
	return started;
}

/** Returns the ids of the daemons whose configuration is not the newest version. */
function findOutdatedDaemons({fleet, record}: RunningScenario): readonly string[] {
	const newest = record.history.at(-1)?.version;
	return fleet.all().filter(daemon => daemon.configuration.current().version !== newest).map(daemon => daemon.id);
}

test('two regions partitioned from each other: after the partition every daemon has the newest version', async () => {
	await forEachSeed(async seed => {
		const started = await runPartitionedRegions(seed);
		assertConsistent(started);
		assert.equal(findOutdatedDaemons(started), []);
	});
});

/** Wraps a store so that its configuration cannot be read and changes arrive only from peers. */
function withoutReads(store: Store): Store {
	return wrapStore(store, async (call, id, action) => {
		const answer = await action();
		return call === 'read' && id.kind === 'config' ? err(createNotRun('unavailable', {step: 'read', peer: 'store'}, 'off')) : answer;
	});
}

test('after a partition, rumors or reads of the store suffice to get the newest version; without both, the check finds the outdated daemon', async () => {
	await forEachSeed(async seed => {
		assert.equal(findOutdatedDaemons(await runPartitionedRegions(seed, profile => ({...profile, wrapStore: withoutReads}))), []);
		assert.equal(findOutdatedDaemons(await runPartitionedRegions(seed, profile => ({...profile, wrapMembership: withoutRumors}))), []);
		const started = await runPartitionedRegions(seed, profile => ({...profile, wrapMembership: withoutRumors, wrapStore: withoutReads}));
		assert.ok(findOutdatedDaemons(started).includes('entry-3'));
	});
});

async function runRestartedAtOnce(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(60_000);
	started.ids.forEach(id => {
		started.launch(id);
	});
	await started.fleet.time.advance(IN_FORCE_MS + 4000);
	return started;
}

test('all daemons restarted at once in a store outage: each gets the version of the only daemon with a data folder', async () => {
	await forEachSeed(async seed => {
		const snapshots = createMemorySnapshots();
		const started = await runRestartedAtOnce(seed, profile => (profile.id === 'entry-4' ? {...profile, snapshots} : profile));
		assert.equal(findOutdatedDaemons(started), []);
	});
});

test('without a data folder, the check finds that all daemons restarted at once are outdated', async () => {
	await forEachSeed(async seed => {
		const started = await runRestartedAtOnce(seed);
		assert.equal(findOutdatedDaemons(started), started.ids);
	});
});

async function runRestartedInTurn(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.store = () => 'down';
	await repeat(5, async index => {
		started.launch(started.ids[index]!);
		await started.fleet.time.advance(10_000);
	});
	return started;
}

test('all daemons restarted one after another in a store outage: none serves an older version than its peers', async () => {
	await forEachSeed(async seed => {
		const started = await runRestartedInTurn(seed);
		assert.equal(findReverts(started.record), []);
		assert.equal(findOutdatedVersions(started.record, IN_FORCE_MS), []);
	});
});

/** A transport over which every fetch fails as not run. */
const failingTransport = new (class extends ConfigurationTransport {
	override fetch: ConfigurationTransport['fetch'] = async peer => err(createNotRun('unavailable', {step: 'fetch', peer: peer.address}, 'off'));
})();

test('without configurations from peers, the check finds that daemons restarted in an outage serve an older version', async () => {
	await forEachSeed(async seed => {
		const started = await runRestartedInTurn(seed, profile => ({...profile, configuration: {transport: failingTransport}}));
		assert.ok(findReverts(started.record).length > 0);
		assert.ok(findOutdatedVersions(started.record, IN_FORCE_MS).length > 0);
	});
});

test.run();
