import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {forEachSeed, SEEDS, withoutUnknownOutcomes} from './fakes/fleet-scenario.js';
import {
	withoutReadBack, withoutExpiry, withoutTakeoverWait, withoutMargins, withoutStandbyDelay,
} from './fakes/lease-deciders.js';
import {
	assertOwned, assertExclusive, countDetected, holderOf, startScenario, longestTimeWithoutOwner, type ScenarioOptions, type RunningScenario,
} from './fakes/lease-scenario.js';

const test = suite('lease faults');

/** Longest permitted time without an owner while answers are lost. */
const MAXIMUM_UNOWNED_LOST_ANSWERS_MS = 3000;

async function runKilledOwner(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario(scenario);
	started.fleet.kill(holderOf(started, 0));
	await started.fleet.time.advance(30_000);
	return started;
}

test('when the owner is killed, another daemon takes over within 12 s', async () => {
	await forEachSeed(async seed => {
		const started = await runKilledOwner({seed});
		assertExclusive(started);
		assertOwned(started, 25_000, 12_000);
	});
});

test('without the wait for the expiry of the old lease, the check finds two holders that send orders at the same time', async () => {
	assert.is(await countDetected(async seed => {
		const started = await startScenario({seed, createDecider: withoutTakeoverWait});
		const [first = '', second = ''] = started.profiles.map(profile => profile.id);
		started.fleet.faults.isLinkCut = (from, to) => from === first || to === first || from === second || to === second;
		await started.fleet.time.advance(30_000);
		return started;
	}), SEEDS);
});

/** Waits until a daemon has no order whose lease was checked but that was not sent yet. */
async function waitUntilNoOrderInFlight(started: RunningScenario, daemonId: string): Promise<void> {
	if (started.orders.isInFlight(daemonId)) {
		await started.fleet.time.advance(1);
		await waitUntilNoOrderInFlight(started, daemonId);
	}
}

async function runFrozenOwner(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario(scenario);
	const owner = holderOf(started, 0);
	await waitUntilNoOrderInFlight(started, owner);
	started.fleet.get(owner).process.freeze();
	await started.fleet.time.advance(25_000);
	started.fleet.get(owner).process.thaw();
	await started.fleet.time.advance(20_000);
	return started;
}

test('an owner that was frozen past its lease sends no order for it after another daemon has taken over', async () => {
	await forEachSeed(async seed => {
		const started = await runFrozenOwner({seed});
		assertExclusive(started);
		assertOwned(started, 25_000, 12_000);
	});
});

test('without the expiry of leases, the check finds that an owner sends orders when it resumes after a freeze', async () => {
	assert.is(await countDetected(async seed => runFrozenOwner({seed, createDecider: withoutExpiry})), SEEDS);
});

async function runFrozenAfterLeaseCheck(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario(scenario);
	const owner = holderOf(started, 0);
	started.orders.freezeAfterLeaseCheck(owner);
	await started.fleet.time.advance(25_000);
	started.fleet.get(owner).process.thaw();
	await started.fleet.time.advance(10_000);
	return started;
}

test('the late order of an owner that was frozen between lease check and order is refused by its fencing number', async () => {
	await forEachSeed(async seed => {
		const started = await runFrozenAfterLeaseCheck({seed, checksFencing: true});
		assertExclusive(started);
		assert.ok(started.orders.record.some(order => !order.accepted));
	});
});

test('when the receiver does not check fencing numbers, the check finds the late order', async () => {
	assert.is(await countDetected(async seed => runFrozenAfterLeaseCheck({seed, checksFencing: false})), SEEDS);
});

async function runClockRates(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario({...scenario, rates: [0.85, 1.15, 0.85, 1.15, 1]});
	// Holders that are partitioned from the store and have slow clocks send orders until their leases expire on their own clocks.
	started.fleet.faults.store = daemonId => (daemonId === 'entry-1' || daemonId === 'entry-3' ? 'down' : 'none');
	await started.fleet.time.advance(30_000);
	return started;
}

test('with clocks at different rates, holders that are partitioned from the store stop before others take over', async () => {
	await forEachSeed(async seed => {
		const started = await runClockRates({seed, createDecider: withoutStandbyDelay});
		assertExclusive(started);
		assertOwned(started, 25_000, 15_000);
	});
});

test('without margins, the check finds two holders because of different clock rates', async () => {
	const detected = await countDetected(async seed => runClockRates({seed, createDecider: withoutMargins}));
	assert.ok(detected > 0, `detected in ${detected} of ${SEEDS}`);
});

async function runLostAnswers(scenario: ScenarioOptions): Promise<RunningScenario> {
	const started = await startScenario(scenario);
	started.fleet.faults.store = (_, call) => (call === 'write' && started.fleet.random() < 0.3 ? 'lostAnswer' : 'none');
	await started.fleet.time.advance(60_000);
	return started;
}

test('with lost answers, no shard is without an owner for more than 3 s, because renewals and acquisitions are read back', async () => {
	await forEachSeed(async seed => {
		const started = await runLostAnswers({seed});
		assertExclusive(started);
		assertOwned(started, 25_000, MAXIMUM_UNOWNED_LOST_ANSWERS_MS);
	});
});

test('without reading back, the check finds shards without an owner for more than 3 s because of lost answers', async () => {
	await forEachSeed(async seed => {
		const started = await runLostAnswers({seed, createDecider: withoutReadBack, wrapStore: withoutUnknownOutcomes});
		assert.ok(longestTimeWithoutOwner(started, 25_000) > MAXIMUM_UNOWNED_LOST_ANSWERS_MS);
	});
});

test.run();
