import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import {
	forgetReservations, listExcesses, requestLimit, TOLERANCE,
} from './harness/share-schedules.js';
import {checkGrant, createShareWorld, grant} from './harness/share-world.js';

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

test('gives nearly all of a grant to the one daemon with demand', async () => {
	const world = createShareWorld(createSeededRandom(1));
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, 0.5);
	});
	await world.time.advance(5000);
	world.daemonIds.slice(1).forEach(daemonId => {
		world.setDemand(daemonId, 0);
	});
	world.setDemand('entry-3', 75);
	await world.time.advance(10_000);
	const before = world.admittedBy('entry-3');
	await world.time.advance(20_000);
	const usable = (world.admittedBy('entry-3') - before) / (20 * grant.requestsPerSecond);
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
});

test('keeps the shares in force in an outage of the store', async () => {
	const world = createShareWorld(createSeededRandom(2));
	world.setDemand('entry-2', 50);
	await world.time.advance(10_000);
	world.store.down = true;
	world.moveLease(undefined, 0);
	await world.time.advance(5000);
	const before = world.admittedBy('entry-2');
	await world.time.advance(60_000);
	const usable = (world.admittedBy('entry-2') - before) / (60 * grant.requestsPerSecond);
	assert.ok(usable >= 0.95, `only ${usable} of the grant was used`);
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
