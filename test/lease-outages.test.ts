import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CANDIDATES_PER_SHARD} from '../src/leases/common/lease-decider.js';
import {createShardPlacement} from '../src/leases/common/shard-placement.js';
import {createStoreConnectivity} from '../src/leases/common/store-connectivity.js';
import {eachSeed, repeat, SEEDS} from './fakes/fleet-scenario.js';
import {
	contending, endless, keeping, unassisted,
} from './fakes/lease-deciders.js';
import {
	assertOwned, assertSafe, countCaught, holderOf, SHARDS, start, worstGap, type Scenario, type Started,
} from './fakes/lease-scenario.js';
import {longestGap} from './fakes/shard-effects.js';

const test = suite('lease outages');

/** Longest times without an owner. */
const CUT_GAP_MS = 12_000;
const ZONE_GAP_MS = 11_000;
const RESTART_GAP_MS = 4000;

/** Calls of five daemons in the first second after an outage. */
const RETURN_CALLS = 60;

test('a preferred daemon that is cut from the store is not handed leases', async () => {
	await eachSeed(async seed => {
		const started = await start({seed});
		started.fleet.faults.store = daemonId => (daemonId === 'entry-1' ? 'down' : 'none');
		await started.fleet.time.advance(20_000);
		const from = started.now();
		await started.fleet.time.advance(30_000);
		assertSafe(started);
		assertOwned(started, from, 1000);
	});
});

/** Cuts all three candidates of the first shard from the store; their peers still reach them. */
async function runCutCandidates(scenario: Scenario): Promise<Started & {readonly cutAt: number}> {
	const started = await start({...scenario, daemons: 6});
	const placement = createShardPlacement(SHARDS);
	placement.update(started.fleet.get('entry-1').membership.members(), new Set(), 0);
	const candidates = new Set(started.profiles.map(profile => profile.id).filter(id => placement.rank(0, id)! < CANDIDATES_PER_SHARD));
	started.fleet.faults.store = daemonId => (candidates.has(daemonId) ? 'down' : 'none');
	const cutAt = started.now();
	await started.fleet.time.advance(60_000);
	return {...started, cutAt};
}

test('all three candidates of a shard cut from the store: others take it over, and it goes back when they return', async () => {
	await eachSeed(async seed => {
		const started = await runCutCandidates({seed});
		assertOwned(started, started.cutAt, CUT_GAP_MS);
		const owner = holderOf(started, 0);
		started.fleet.faults.store = () => 'none';
		const returnedAt = started.now();
		await started.fleet.time.advance(60_000);
		assertSafe(started);
		assertOwned(started, returnedAt, 1000);
		assert.is.not(holderOf(started, 0), owner);
	});
});

/** A reach by which no daemon ever counts as cut off. */
const trustingReach: typeof createStoreConnectivity = options => ({...createStoreConnectivity(options), partitioned: () => new Set()});

test('without word of who is cut from the store, the shard stays without an owner and is caught', async () => {
	await eachSeed(async seed => {
		const started = await runCutCandidates({seed, createReach: trustingReach});
		assert.ok(longestGap(started.effects.record, 0, started.cutAt, started.now()) > CUT_GAP_MS);
	});
});

async function runTwoRegions(scenario: Scenario): Promise<Started> {
	const started = await start(scenario);
	const regionOf = (id: string) => started.profiles.find(profile => profile.id === id)?.zone.split('-', 1)[0];
	started.fleet.faults.isCut = (from, to) => regionOf(from) !== regionOf(to);
	started.fleet.faults.store = daemonId => (regionOf(daemonId) === 'attica' ? 'none' : 'down');
	await started.fleet.time.advance(60_000);
	return started;
}

test('two regions cut from each other: the one that reaches the store goes on', async () => {
	await eachSeed(async seed => {
		const started = await runTwoRegions({seed});
		assertSafe(started);
		assertOwned(started, 25_000, 15_000);
		started.fleet.faults.isCut = () => false;
		started.fleet.faults.store = () => 'none';
		await started.fleet.time.advance(30_000);
		assertSafe(started);
		started.fleet.all().forEach(daemon => {
			assert.is(daemon.membership.members().filter(member => member.state === 'alive').length, 5);
		});
	});
});

test('without the end of the lease, the region cut from the store goes on acting and is caught', async () => {
	assert.is(await countCaught(async seed => runTwoRegions({seed, createDecider: endless})), SEEDS);
});

async function runZoneLost(scenario: Scenario): Promise<Started> {
	const started = await start({...scenario, daemons: 6});
	started.profiles.filter(profile => profile.zone === 'attica-pireas').forEach(profile => {
		started.fleet.kill(profile.id);
	});
	await started.fleet.time.advance(30_000);
	return started;
}

test('a zone lost: its shards are taken over', async () => {
	await eachSeed(async seed => {
		const started = await runZoneLost({seed});
		assertSafe(started);
		assertOwned(started, 25_000, ZONE_GAP_MS);
	});
});

test('without candidates that watch the leases, the shards of a lost zone are late and caught', async () => {
	await eachSeed(async seed => {
		const started = await runZoneLost({seed, createDecider: unassisted});
		assert.ok(worstGap(started, 25_000) > ZONE_GAP_MS, `${worstGap(started, 25_000)}`);
	});
});

async function runStoreDown(scenario: Scenario) {
	const started = await start(scenario);
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(30 * 60_000);
	started.fleet.faults.store = () => 'none';
	const returned = started.now();
	const callsBefore = started.fleet.memory.calls();
	await started.fleet.time.advance(1000);
	const firstSecond = started.fleet.memory.calls() - callsBefore;
	await started.fleet.time.advance(19_000);
	return {...started, returned, firstSecond};
}

test('store down for 30 minutes: ownership lapses, and returns without a thundering herd', async () => {
	const started = await runStoreDown({seed: 1});
	assertSafe(started);
	assertOwned(started, started.returned, 5000);
	assert.ok(started.firstSecond <= RETURN_CALLS, `${started.firstSecond} calls in the first second`);
});

test('without a bound of the candidates, the return is a thundering herd and caught', async () => {
	const {firstSecond} = await runStoreDown({seed: 1, createDecider: contending});
	assert.ok(firstSecond > RETURN_CALLS, `${firstSecond} calls in the first second`);
});

async function runRestarts(scenario: Scenario) {
	const started = await start(scenario);
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

test('all daemons restarted one after another: every shard keeps an owner but for short hand-overs', async () => {
	await eachSeed(async seed => {
		const started = await runRestarts({seed});
		assertSafe(started);
		assertOwned(started, started.from, RESTART_GAP_MS);
	});
});

test('without the release of leases, restarts leave shards without an owner and are caught', async () => {
	await eachSeed(async seed => {
		const started = await runRestarts({seed, createDecider: keeping});
		assert.ok(worstGap(started, started.from) > RESTART_GAP_MS);
	});
});

test.run();
