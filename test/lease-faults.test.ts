import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {eachSeed, SEEDS, withoutDoubt} from './fakes/fleet-scenario.js';
import {
	blind, endless, impatient, marginless, prompt,
} from './fakes/lease-deciders.js';
import {
	assertOwned, assertSafe, countCaught, holderOf, start, worstGap, type Scenario, type Started,
} from './fakes/lease-scenario.js';

const test = suite('lease faults');

/** Longest time without an owner while answers are lost. */
const LOST_ANSWERS_GAP_MS = 3000;

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

async function runLostAnswers(scenario: Scenario): Promise<Started> {
	const started = await start(scenario);
	started.fleet.faults.store = (_, call) => (call === 'write' && started.fleet.random() < 0.3 ? 'lostAnswer' : 'none');
	await started.fleet.time.advance(60_000);
	return started;
}

test('lost answers: renewals and acquisitions are settled by reading back', async () => {
	await eachSeed(async seed => {
		const started = await runLostAnswers({seed});
		assertSafe(started);
		assertOwned(started, 25_000, LOST_ANSWERS_GAP_MS);
	});
});

test('without reading back, lost answers leave shards without an owner and are caught', async () => {
	await eachSeed(async seed => {
		const started = await runLostAnswers({seed, createDecider: blind, wrapStore: withoutDoubt});
		assert.ok(worstGap(started, 25_000) > LOST_ANSWERS_GAP_MS);
	});
});

test.run();
