import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import {
	forgetReservations, listExcesses, requestLimit, TOLERANCE,
} from './harness/share-schedules.js';
import {
	checkGrant, createShareWorld, grant, type Breakage, type ShareWorld,
} from './harness/share-world.js';

const test = suite('shares of grants');
const SEEDS = 80 * Number(process.env.FUZZ_FACTOR ?? 1);

test('never passes the grant under random demand, pauses, restarts, takeovers, cuts and outages', async () => {
	assert.equal(await listExcesses(requestLimit, SEEDS), []);
});

test('is caught when every daemon keeps the whole grant', async () => {
	const excesses = await listExcesses(requestLimit, 5, {fractionOf: () => () => 1});
	assert.ok(excesses.length > 0);
});

test('is caught when owners do not reserve shares in the store', async () => {
	const excesses = await listExcesses(requestLimit, 20, {store: forgetReservations});
	assert.ok(excesses.length > 0);
});

/** The part of the grant that one daemon uses over a time, with three times as much demand. */
async function measureUse(world: ShareWorld, daemonId: string, durationMs: number): Promise<number> {
	const before = world.admittedBy(daemonId);
	await world.time.advance(durationMs);
	return (world.admittedBy(daemonId) - before) * 1000 / (durationMs * grant.requestsPerSecond);
}

async function moveAllDemand(breakage: Breakage = {}): Promise<number> {
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

test('gives nearly all of a grant to the one daemon with demand', async () => {
	const usable = await moveAllDemand();
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('is caught when shares do not follow demand', async () => {
	assert.ok(await moveAllDemand({fractionOf: () => () => 0.25}) < 0.95);
});

async function loseStore(breakage: Breakage = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(2), breakage);
	world.setDemand('entry-2', 75);
	await world.time.advance(10_000);
	world.store.down = true;
	world.moveLease(undefined, 0);
	await world.time.advance(5000);
	return measureUse(world, 'entry-2', 60_000);
}

test('keeps the shares in force in an outage of the store', async () => {
	const usable = await loseStore();
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('is caught when shares end soon after their last renewal', async () => {
	assert.ok(await loseStore({endMs: 4000}) < 0.95);
});

test('tells a daemon without a share when to return, in an outage as well', async () => {
	const world = createShareWorld(createSeededRandom(4));
	world.store.down = true;
	world.setDemand('entry-2', 50);
	await world.time.advance(10_000);
	assert.equal([world.requests.length, world.refused.length > 0], [0, true]);
	assert.ok(world.refused.every(({code, effect, retryAfterMs}) => code === 'rejected' && effect === 'notRun' && (retryAfterMs ?? 0) >= 250));
});

test('starts a new incarnation without a share and with an empty bucket', async () => {
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
