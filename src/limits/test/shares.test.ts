import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Random} from '../../base/common/random.js';
import {Store} from '../../platform/common/store.js';
import {
	checkGrant, createShareWorld, grant, type Breakage, type ShareWorld,
} from './harness/share-world.js';

const test = suite('shares of grants');
const SEEDS = 80 * Number(process.env.FUZZ_FACTOR ?? 1);
const STEPS = 16;
/** Rounding of the buckets' levels. */
const TOLERANCE = 0.001;

const pick = <T>(values: readonly T[], random: Random): T => values[Math.floor(random() * values.length)]!;

const changes: ReadonlyArray<(world: ShareWorld, random: Random) => void> = [
	(world, random) => {
		world.setDemand(pick(world.daemonIds, random), random() * 40);
	},
	(world, random) => {
		world.setDemand(pick(world.daemonIds, random), 0);
	},
	(world, random) => {
		world.pause(pick(world.daemonIds, random), random() * 8000);
	},
	(world, random) => {
		world.restart(pick(world.daemonIds, random));
	},
	(world, random) => {
		world.moveLease(random() < 0.2 ? undefined : pick(world.daemonIds, random), random() * 4000);
	},
	(world, random) => {
		world.setCut(pick(world.daemonIds, random), random() < 0.5);
	},
	(world, random) => {
		world.store.down = random() < 0.4;
		world.store.lostShare = random() * 0.4;
	},
];

async function runSchedule(seed: number, breakage: Breakage = {}): Promise<ShareWorld> {
	const random = createSeededRandom(seed);
	const world = createShareWorld(random, breakage);
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, random() * 25);
	});
	await Array.from({length: STEPS}).reduce<Promise<void>>(async previous => {
		await previous;
		pick(changes, random)(world, random);
		await world.time.advance(random() * 4000);
	}, Promise.resolve());
	return world;
}

const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);

async function listExcesses(chosen: readonly number[], breakage: Breakage = {}): Promise<ReadonlyArray<{readonly seed: number; readonly excess: number}>> {
	const worlds = await Promise.all(chosen.map(async seed => ({seed, world: await runSchedule(seed, breakage)})));
	return worlds.map(({seed, world}) => ({seed, excess: checkGrant(world.admitted)})).filter(({excess}) => excess > TOLERANCE);
}

test('never passes the grant under random demand, pauses, restarts, takeovers, cuts and outages', async () => {
	assert.equal(await listExcesses(seeds), []);
});

test('is caught when every daemon keeps the whole grant', async () => {
	const excesses = await listExcesses(seeds.slice(0, 5), {fractionOf: () => () => 1});
	assert.ok(excesses.length > 0);
});

test('is caught when owners do not reserve shares in the store', async () => {
	const store = (inner: Store): Store => new (class extends Store {
		override read: Store['read'] = async id => {
			const found = await inner.read(id);
			return found.map(object => object && {...object, value: '{"grants":{}}'});
		};

		override write: Store['write'] = async write => inner.write(write);
		override remove: Store['remove'] = async removal => inner.remove(removal);
		override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
	})();
	const excesses = await listExcesses(seeds.slice(0, 20), {store});
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
	assert.ok(checkGrant(world.admitted) <= TOLERANCE);
});

test.run();
