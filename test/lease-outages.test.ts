import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CANDIDATES_PER_SHARD} from '../src/leases/common/lease-decider.js';
import {createShardPlacement} from '../src/leases/common/shard-placement.js';
import {createStoreConnectivity} from '../src/leases/common/store-connectivity.js';
import {forEachSeed, repeat, SEEDS} from './fakes/fleet-scenario.js';
import {
	withoutCandidateLimit, withoutExpiry, withoutRelease, withoutStandbys,
} from './fakes/lease-deciders.js';
import {
	assertOwned, assertExclusive, countDetected, holderOf, SHARDS, startScenario, longestTimeWithoutOwner, type ScenarioOptions, type RunningScenario,
} from './fakes/lease-scenario.js';
import {longestTimeWithoutOrder} from './fakes/shard-orders.js';

const test = suite('lease outages');

/** Longest permitted times without an owner, in each scenario. */
const MAXIMUM_UNOWNED_PARTITION_MS = 12_000;
const MAXIMUM_UNOWNED_ZONE_MS = 11_000;
const MAXIMUM_UNOWNED_RESTART_MS = 4000;

/** Maximum number of store calls of five daemons in the first second after an outage. */
const MAXIMUM_RECOVERY_CALLS = 60;

test('a preferred daemon that is partitioned from the store is offered no leases', async () => {
	await forEachSeed(async seed => {
		const started = await startScenario({seed});
		started.fleet.faults.store = daemonId => (daemonId === 'entry-1' ? 'down' : 'none');
		await started.fleet.time.advance(20_000);
		const from = started.now();
		await started.fleet.time.advance(30_000);
		assertExclusive(started);
		assertOwned(started, from, 1000);
	});
});

/** Partitions all three candidates of the first shard from the store, but not from their peers. */
async function runPartitionedCandidates(scenario: ScenarioOptions): Promise<RunningScenario & {readonly partitionedAt: number}> {
	const started = await startScenario({...scenario, daemons: 6});
	const placement = createShardPlacement(SHARDS);
	placement.update(started.fleet.get('entry-1').membership.members(), new Set(), 0);
	const candidates = new Set(started.profiles.map(profile => profile.id).filter(id => placement.rank(0, id)! < CANDIDATES_PER_SHARD));
	started.fleet.faults.store = daemonId => (candidates.has(daemonId) ? 'down' : 'none');
	const partitionedAt = started.now();
	await started.fleet.time.advance(60_000);
	return {...started, partitionedAt};
}

test('when all three candidates of a shard are partitioned from the store, another daemon takes it over, and hands it back when they reconnect', async () => {
	await forEachSeed(async seed => {
		const started = await runPartitionedCandidates({seed});
		assertOwned(started, started.partitionedAt, MAXIMUM_UNOWNED_PARTITION_MS);
		const owner = holderOf(started, 0);
		started.fleet.faults.store = () => 'none';
		const reconnectedAt = started.now();
		await started.fleet.time.advance(60_000);
		assertExclusive(started);
		assertOwned(started, reconnectedAt, 1000);
		assert.is.not(holderOf(started, 0), owner);
	});
});

/** Creates a store connectivity that never reports a daemon as partitioned from the store. */
const withoutPartitionDetection: typeof createStoreConnectivity = options => ({...createStoreConnectivity(options), partitioned: () => new Set()});

test('without reports of partitioned daemons, the check finds that the shard stays without an owner', async () => {
	await forEachSeed(async seed => {
		const started = await runPartitionedCandidates({seed, createConnectivity: withoutPartitionDetection});
		assert.ok(longestTimeWithoutOrder(started.orders.record, 0, started.partitionedAt, started.now()) > MAXIMUM_UNOWNED_PARTITION_MS);
	});
});

async function runPartitionedRegions(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario(scenario);
	const regionOf = (id: string) => started.profiles.find(profile => profile.id === id)?.availabilityZone.split('-', 1)[0];
	started.fleet.faults.isLinkCut = (from, to) => regionOf(from) !== regionOf(to);
	started.fleet.faults.store = daemonId => (regionOf(daemonId) === 'attica' ? 'none' : 'down');
	await started.fleet.time.advance(60_000);
	return started;
}

test('when two regions are partitioned from each other, every shard has an owner, and after the partition all daemons see each other again', async () => {
	await forEachSeed(async seed => {
		const started = await runPartitionedRegions({seed});
		assertExclusive(started);
		assertOwned(started, 25_000, 15_000);
		started.fleet.faults.isLinkCut = () => false;
		started.fleet.faults.store = () => 'none';
		await started.fleet.time.advance(30_000);
		assertExclusive(started);
		started.fleet.all().forEach(daemon => {
			assert.is(daemon.membership.members().filter(member => member.state === 'alive').length, 5);
		});
	});
});

test('without the expiry of leases, the check finds orders of the region that is partitioned from the store', async () => {
	assert.is(await countDetected(async seed => runPartitionedRegions({seed, createDecider: withoutExpiry})), SEEDS);
});

async function runZoneFailure(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario({...scenario, daemons: 6});
	started.profiles.filter(profile => profile.availabilityZone === 'attica-pireas').forEach(profile => {
		started.fleet.kill(profile.id);
	});
	await started.fleet.time.advance(30_000);
	return started;
}

test('when an availability zone fails, others take over its shards within 11 s', async () => {
	await forEachSeed(async seed => {
		const started = await runZoneFailure({seed});
		assertExclusive(started);
		assertOwned(started, 25_000, MAXIMUM_UNOWNED_ZONE_MS);
	});
});

test('when only preferred daemons take leases, the check finds that the shards of a failed availability zone are taken over too late', async () => {
	await forEachSeed(async seed => {
		const started = await runZoneFailure({seed, createDecider: withoutStandbys});
		assert.ok(longestTimeWithoutOwner(started, 25_000) > MAXIMUM_UNOWNED_ZONE_MS, `${longestTimeWithoutOwner(started, 25_000)}`);
	});
});

async function runStoreDown(scenario: ScenarioOptions) {
	const started = await startScenario(scenario);
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(30 * 60_000);
	started.fleet.faults.store = () => 'none';
	const recoveredAt = started.now();
	const callsBefore = started.fleet.memory.calls();
	await started.fleet.time.advance(1000);
	const callsInFirstSecond = started.fleet.memory.calls() - callsBefore;
	await started.fleet.time.advance(19_000);
	return {...started, recoveredAt, callsInFirstSecond};
}

test('after a store outage of 30 minutes, every shard has an owner again within 5 s, without a thundering herd', async () => {
	const started = await runStoreDown({seed: 1});
	assertExclusive(started);
	assertOwned(started, started.recoveredAt, 5000);
	assert.ok(started.callsInFirstSecond <= MAXIMUM_RECOVERY_CALLS, `${started.callsInFirstSecond} calls in the first second`);
});

test('when all daemons are candidates of every shard, the end of the outage causes a thundering herd', async () => {
	const {callsInFirstSecond} = await runStoreDown({seed: 1, createDecider: withoutCandidateLimit});
	assert.ok(callsInFirstSecond > MAXIMUM_RECOVERY_CALLS, `${callsInFirstSecond} calls in the first second`);
});

async function runRestarts(scenario: ScenarioOptions) {
	const started = await startScenario(scenario);
	const from = started.now();
	await repeat(started.profiles.length, async index => {
		const profile = started.profiles[index]!;
		const daemon = started.fleet.get(profile.id);
		daemon.membership.leave(0);
		void daemon.shards.releaseAll();
		await started.fleet.time.advance(2000);
		started.fleet.kill(profile.id);
		await started.fleet.time.advance(3000);
		started.launch(profile);
		await started.fleet.time.advance(10_000);
	});
	return {...started, from};
}

test('when all daemons are restarted one after another, no shard is without an owner for more than 4 s', async () => {
	await forEachSeed(async seed => {
		const started = await runRestarts({seed});
		assertExclusive(started);
		assertOwned(started, started.from, MAXIMUM_UNOWNED_RESTART_MS);
	});
});

test('when leaving daemons do not release their leases, the check finds shards without an owner for more than 4 s', async () => {
	await forEachSeed(async seed => {
		const started = await runRestarts({seed, createDecider: withoutRelease});
		assert.ok(longestTimeWithoutOwner(started, started.from) > MAXIMUM_UNOWNED_RESTART_MS);
	});
});

test.run();
