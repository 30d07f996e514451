import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import {
	withoutReservations, findExcesses, requestLimit, TOLERANCE,
} from './harness/share-schedules.js';
import {checkGrant} from './harness/check-grant-usage.js';
import {
	createShareWorld, grant, type BrokenMechanisms, type ShareWorld,
} from './harness/share-world.js';

const test = suite('shares of grants');
const SEEDS = 80 * Number(process.env.FUZZ_FACTOR ?? 1);

test('daemons never exceed the request rate of a grant under random demand, pauses, restarts, lease takeovers, partitions and store outages', async () => {
	assert.equal(await findExcesses(requestLimit, SEEDS), []);
});

test('the check detects an excess when every daemon uses the complete grant', async () => {
	const excesses = await findExcesses(requestLimit, 5, {fractionOf: () => () => 1});
	assert.ok(excesses.length > 0);
});

test('the check detects an excess when owners do not reserve shares in the store', async () => {
	const excesses = await findExcesses(requestLimit, 20, {store: withoutReservations});
	assert.ok(excesses.length > 0);
});

test('the check detects an excess when a silent daemon counts as stopped', async () => {
	const excesses = await findExcesses(requestLimit, 20, {probe: () => 'refused'});
	assert.ok(excesses.length > 0);
});

/** Returns the fraction of the grant that one daemon uses during `durationMs`, while its demand is three times the grant. */
async function measureUse(world: ShareWorld, daemonId: string, durationMs: number): Promise<number> {
	const before = world.admittedBy(daemonId);
	await world.time.advance(durationMs);
	return (world.admittedBy(daemonId) - before) * 1000 / (durationMs * grant.requestsPerSecond);
}

async function moveAllDemand(breakage: BrokenMechanisms = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(1), breakage);
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, 0.5);
	});
	await world.time.advance(5000);
	world.daemonIds.slice(1).forEach(daemonId => {
		world.setDemand(daemonId, 0);
	});
	world.setDemand('entry-3', 75);
	await world.time.advance(10_000);
	return measureUse(world, 'entry-3', 20_000);
}

test('the only daemon with demand gets at least 95 % of the grant', async () => {
	const usable = await moveAllDemand();
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('less than 95 % of the grant is used when shares do not follow demand', async () => {
	assert.ok(await moveAllDemand({fractionOf: () => () => 0.25}) < 0.95);
});

/** Kills the daemon that has all the demand, and moves the demand to another one. */
async function moveFromKilled(breakage: BrokenMechanisms = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(5), breakage);
	world.setDemand('entry-2', 75);
	await world.time.advance(10_000);
	world.stop('entry-2');
	world.setDemand('entry-2', 0);
	world.setDemand('entry-3', 75);
	await world.time.advance(15_000);
	return measureUse(world, 'entry-3', 20_000);
}

test('after the holder of a grant was killed, another daemon gets at least 95 % of it', async () => {
	const usable = await moveFromKilled();
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('less than 95 % of the grant is used when a killed daemon is not detected as stopped', async () => {
	assert.ok(await moveFromKilled({probe: () => 'unknown'}) < 0.95);
});

async function loseStore(breakage: BrokenMechanisms = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(2), breakage);
	world.setDemand('entry-2', 75);
	await world.time.advance(10_000);
	world.store.down = true;
	world.moveLease(undefined, 0);
	await world.time.advance(5000);
	return measureUse(world, 'entry-2', 60_000);
}

test('shares stay in force during a store outage', async () => {
	const usable = await loseStore();
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('less than 95 % of the grant is used in a store outage when shares expire after 4 s', async () => {
	assert.ok(await loseStore({ttlMs: 4000}) < 0.95);
});

test('refusals without a share contain a retry-after time, also during a store outage', async () => {
	const world = createShareWorld(createSeededRandom(4));
	world.store.down = true;
	world.setDemand('entry-2', 50);
	await world.time.advance(10_000);
	assert.equal([world.requests.length, world.refused.length > 0], [0, true]);
	assert.ok(world.refused.every(({code, effect, retryAfterMs}) => code === 'rejected' && effect === 'notRun' && (retryAfterMs ?? 0) >= 250));
});

test('a restarted daemon starts without a share and with an empty bucket', async () => {
	const world = createShareWorld(createSeededRandom(3));
	world.setDemand('entry-2', 50);
	await world.time.advance(10_000);
	world.restart('entry-2');
	const before = world.admittedBy('entry-2');
	await world.time.advance(100);
	assert.is(world.admittedBy('entry-2'), before);
	await world.time.advance(20_000);
	assert.ok(world.admittedBy('entry-2') > before + 375);
	assert.ok(checkGrant(world) <= TOLERANCE);
});

test.run();
