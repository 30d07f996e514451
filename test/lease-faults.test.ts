import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CANDIDATES_PER_SHARD, createLeaseDecider, type LeaseDecider} from '../src/leases/common/lease-decider.js';
import {createShardPlacement} from '../src/leases/common/shard-placement.js';
import {createStoreReach} from '../src/leases/common/store-reach.js';
import {createDaemonFleet, type DaemonProfile} from './fakes/daemon-fleet.js';
import {
	createShardEffects, findOvertakenEffects, findSharedNumbers, longestGap,
} from './fakes/shard-effects.js';

const test = suite('lease faults');

const SEEDS = 3 * Number(process.env.FUZZ_FACTOR ?? 1);
const SHARDS = 8;

/** Longest time without an owner when all candidates are cut from the store. */
const CUT_GAP_MS = 12_000;

const zones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria'];

type DeciderFactory = typeof createLeaseDecider;

/** Takes a lease over without waiting for the old holder's end. */
const impatient: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	return {
		...inner,
		observe(snapshot, now) {
			const record = snapshot.record && {...snapshot.record, durationMs: -times.marginMs};
			inner.observe({...snapshot, record}, now);
		},
	};
};

/** Goes on holding a lease past its end until the store has shown another holder. */
const endless: DeciderFactory = (self, times, initial) => {
	const inner = createLeaseDecider(self, times, initial);
	let last: ReturnType<LeaseDecider['held']>;
	return {
		...inner,
		held(now) {
			const held = inner.held(now) ?? last;
			last = held;
			return held;
		},
	};
};

/** Takes a free lease at once, so that nothing but the margins keeps two holders apart. */
const prompt: DeciderFactory = (self, times, initial) => createLeaseDecider(self, {...times, standbyDelayMs: 0}, initial);

/** Counts the lease without its margin, against a takeover without its margin. */
const marginless: DeciderFactory = (self, times, initial) => prompt(self, {...times, marginMs: 0}, initial);

type Scenario = {
	readonly seed: number;
	readonly daemons?: number;
	readonly checksFencing?: boolean;
	readonly createDecider?: DeciderFactory;
	readonly createReach?: typeof createStoreReach;
	readonly rates?: readonly number[];
};

async function start({
	seed, daemons = 5, checksFencing = false, createDecider = createLeaseDecider, createReach = createStoreReach, rates = [],
}: Scenario) {
	const fleet = createDaemonFleet(seed);
	const effects = createShardEffects(fleet, checksFencing);
	const ids = Array.from({length: daemons}, (_, index) => `entry-${index + 1}`);
	const profiles = ids.map((id, index): DaemonProfile => ({
		id, zone: zones[index % zones.length]!, rate: rates[index] ?? 1, shards: {createDecider, createReach},
	}));
	function launch(profile: DaemonProfile): void {
		fleet.start(profile, ids);
		effects.follow(fleet.get(profile.id));
	}

	profiles.forEach(profile => {
		launch(profile);
	});
	await fleet.time.advance(30_000);
	return {
		fleet, effects, profiles, launch, now: () => fleet.time.clock.monotonic(),
	};
}

type Started = Awaited<ReturnType<typeof start>>;

function holderOf({fleet}: Started, shard: number): string {
	const holder = fleet.all().find(daemon => daemon.shards.holding(shard, daemon.process.clock.monotonic()));
	return holder?.id ?? 'entry-1';
}

function assertSafe({effects}: Started): void {
	assert.equal(findOvertakenEffects(effects.record), []);
	assert.equal(findSharedNumbers(effects.record), []);
}

function assertOwned(started: Started, from: number, maximumGapMs: number): void {
	Array.from({length: SHARDS}).forEach((_, shard) => {
		const gap = longestGap(started.effects.record, shard, from, started.now());
		assert.ok(gap <= maximumGapMs, `shard ${shard} had no owner for ${gap} ms`);
	});
}

async function eachSeed(run: (seed: number) => Promise<void>): Promise<void> {
	await Array.from({length: SEEDS}, (_, index) => index + 1).reduce(async (previous, seed) => {
		await previous;
		await run(seed);
	}, Promise.resolve());
}

/** The part of the seeds in which a broken run was caught. */
async function countCaught(run: (seed: number) => Promise<Started>): Promise<number> {
	let caught = 0;
	await eachSeed(async seed => {
		const {effects} = await run(seed);
		caught += findOvertakenEffects(effects.record).length > 0 ? 1 : 0;
	});
	return caught;
}

async function runKilledOwner(scenario: Scenario): Promise<Started> {
	const started = await start(scenario);
	started.fleet.kill(holderOf(started, 0));
	await started.fleet.time.advance(30_000);
	return started;
}

test('killed owner: another daemon takes over within 12 s', async () => {
	await eachSeed(async seed => {
		const started = await runKilledOwner({seed});
		assertSafe(started);
		assertOwned(started, 25_000, 12_000);
	});
});

test('without the wait for the old holder, two holders act at once and are caught', async () => {
	assert.is(await countCaught(async seed => {
		const started = await start({seed, createDecider: impatient});
		const [first = '', second = ''] = started.profiles.map(profile => profile.id);
		started.fleet.faults.isCut = (from, to) => from === first || to === first || from === second || to === second;
		await started.fleet.time.advance(30_000);
		return started;
	}), SEEDS);
});

/** Waits for a moment at which a daemon has no order between its look at the lease and its sending. */
async function awaitNoOrder(started: Started, daemonId: string): Promise<void> {
	if (started.effects.isUnderWay(daemonId)) {
		await started.fleet.time.advance(1);
		await awaitNoOrder(started, daemonId);
	}
}

async function runFrozenOwner(scenario: Scenario): Promise<Started> {
	const started = await start(scenario);
	const owner = holderOf(started, 0);
	await awaitNoOrder(started, owner);
	started.fleet.get(owner).process.freeze();
	await started.fleet.time.advance(25_000);
	started.fleet.get(owner).process.thaw();
	await started.fleet.time.advance(20_000);
	return started;
}

test('frozen owner: on waking it sees its leases lapsed', async () => {
	await eachSeed(async seed => {
		const started = await runFrozenOwner({seed});
		assertSafe(started);
		assertOwned(started, 25_000, 12_000);
	});
});

test('without the end of the lease, a frozen owner acts on waking and is caught', async () => {
	assert.is(await countCaught(async seed => runFrozenOwner({seed, createDecider: endless})), SEEDS);
});

async function runFrozenAfterLook(scenario: Scenario): Promise<Started> {
	const started = await start(scenario);
	const owner = holderOf(started, 0);
	started.effects.freezeAfterLook(owner);
	await started.fleet.time.advance(25_000);
	started.fleet.get(owner).process.thaw();
	await started.fleet.time.advance(10_000);
	return started;
}

test('owner frozen between look and order: its late order is refused by number', async () => {
	await eachSeed(async seed => {
		const started = await runFrozenAfterLook({seed, checksFencing: true});
		assertSafe(started);
		assert.ok(started.effects.record.some(effect => !effect.accepted));
	});
});

test('without the check of the number, the late order is caught', async () => {
	assert.is(await countCaught(async seed => runFrozenAfterLook({seed, checksFencing: false})), SEEDS);
});

async function runClockRates(scenario: Scenario): Promise<Started> {
	const started = await start({...scenario, rates: [0.85, 1.15, 0.85, 1.15, 1]});
	// Cut from the store, holders on slow clocks act until their own end comes.
	started.fleet.faults.store = daemonId => (daemonId === 'entry-1' || daemonId === 'entry-3' ? 'down' : 'none');
	await started.fleet.time.advance(30_000);
	return started;
}

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
const trustingReach: typeof createStoreReach = options => ({...createStoreReach(options), cut: () => new Set()});

test('without word of who is cut from the store, the shard stays without an owner and is caught', async () => {
	await eachSeed(async seed => {
		const started = await runCutCandidates({seed, createReach: trustingReach});
		assert.ok(longestGap(started.effects.record, 0, started.cutAt, started.now()) > CUT_GAP_MS);
	});
});

test('clocks at different rates: holders cut from the store stop before others take over', async () => {
	await eachSeed(async seed => {
		const started = await runClockRates({seed, createDecider: prompt});
		assertSafe(started);
		assertOwned(started, 25_000, 15_000);
	});
});

test('without margins, clocks at different rates are caught', async () => {
	const caught = await countCaught(async seed => runClockRates({seed, createDecider: marginless}));
	assert.ok(caught > 0, `caught in ${caught} of ${SEEDS}`);
});

test('lost answers: renewals and acquisitions are settled by reading back', async () => {
	await eachSeed(async seed => {
		const started = await start({seed});
		started.fleet.faults.store = (_, call) => (call === 'write' && started.fleet.random() < 0.3 ? 'lostAnswer' : 'none');
		await started.fleet.time.advance(60_000);
		assertSafe(started);
		assertOwned(started, 25_000, 3000);
	});
});

test('two regions cut from each other: the one that reaches the store goes on', async () => {
	await eachSeed(async seed => {
		const started = await start({seed});
		const regionOf = (id: string) => started.profiles.find(profile => profile.id === id)?.zone.split('-', 1)[0];
		started.fleet.faults.isCut = (from, to) => regionOf(from) !== regionOf(to);
		started.fleet.faults.store = daemonId => (regionOf(daemonId) === 'attica' ? 'none' : 'down');
		await started.fleet.time.advance(60_000);
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

test('a zone lost: its shards are taken over', async () => {
	await eachSeed(async seed => {
		const started = await start({seed, daemons: 6});
		started.profiles.filter(profile => profile.zone === 'attica-pireas').forEach(profile => {
			started.fleet.kill(profile.id);
		});
		await started.fleet.time.advance(30_000);
		assertSafe(started);
		assertOwned(started, 25_000, 14_000);
	});
});

test('store down for 30 minutes: ownership lapses, and returns without a stampede', async () => {
	const started = await start({seed: 1});
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(30 * 60_000);
	started.fleet.faults.store = () => 'none';
	const returned = started.now();
	const callsBefore = started.fleet.memory.calls();
	await started.fleet.time.advance(1000);
	const firstSecond = started.fleet.memory.calls() - callsBefore;
	await started.fleet.time.advance(19_000);
	assertSafe(started);
	assertOwned(started, returned, 5000);
	assert.ok(firstSecond <= 60, `${firstSecond} calls in the first second`);
});

test('all daemons restarted one after another: every shard keeps an owner but for short hand-overs', async () => {
	await eachSeed(async seed => {
		const started = await start({seed});
		const from = started.now();
		await started.profiles.reduce(async (previous, profile) => {
			await previous;
			const daemon = started.fleet.get(profile.id);
			daemon.membership.leave(0);
			void daemon.shards.releaseAll();
			await started.fleet.time.advance(2000);
			started.fleet.kill(profile.id);
			await started.fleet.time.advance(3000);
			started.launch(profile);
			await started.fleet.time.advance(10_000);
		}, Promise.resolve());
		assertSafe(started);
		assertOwned(started, from, 4000);
	});
});

test.run();
