/** Random schedules of demand changes and faults for daemons that share a grant. */
import type {Random} from '../../../base/common/random.js';
import type {Grant} from '../../../plans/common/lists.js';
import {Store} from '../../../adapters/common/store.js';
import {createSeededRandom} from '../../../../test/fakes/virtual-loop.js';
import {checkGrant, checkTokens} from './check-grant-usage.js';
import {
	createShareWorld, grant, tokenGrant, type BrokenMechanisms, type ShareWorld,
} from './share-world.js';

const STEPS = 16;
/** Tolerance for rounding of the bucket levels, in units. */
export const TOLERANCE = 0.001;

const pick = <T>(values: readonly T[], random: Random): T => values[Math.floor(random() * values.length)]!;

function setDemands(world: ShareWorld, perSecond: number): void {
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, perSecond);
	});
}

const changes: ReadonlyArray<(world: ShareWorld, random: Random) => void> = [
	(world, random) => {
		world.setDemand(pick(world.daemonIds, random), random() * 40);
	},
	(world, random) => {
		world.setDemand(pick(world.daemonIds, random), 0);
	},
	// Without demand all buckets fill up, so that a later step can use all of them at once.
	world => {
		setDemands(world, 0);
	},
	world => {
		setDemands(world, 20);
	},
	(world, random) => {
		world.pause(pick(world.daemonIds, random), random() * 8000);
	},
	(world, random) => {
		world.stop(pick(world.daemonIds, random));
	},
	(world, random) => {
		world.restart(pick(world.daemonIds, random));
	},
	(world, random) => {
		world.moveLease(random() < 0.2 ? undefined : pick(world.daemonIds, random), random() * 4000);
	},
	(world, random) => {
		world.setPartitioned(pick(world.daemonIds, random), random() < 0.5);
	},
	(world, random) => {
		world.store.down = random() < 0.4;
		world.store.lostAnswerShare = random() * 0.4;
	},
];

async function runSchedule(seed: number, breakage: BrokenMechanisms, sharedGrant: Grant): Promise<ShareWorld> {
	const random = createSeededRandom(seed);
	const world = createShareWorld(random, breakage, sharedGrant);
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

/** A grant and the check of the admissions under it. */
export type Limit = {readonly sharedGrant: Grant; readonly check: (world: ShareWorld) => number};

export const requestLimit: Limit = {sharedGrant: grant, check: checkGrant};
export const tokenLimit: Limit = {sharedGrant: tokenGrant, check: checkTokens};

/** Runs schedules with the seeds 1 to `schedules`; returns those that exceeded the grant, with the excess in units. */
export async function findExcesses({sharedGrant, check}: Limit, schedules: number, breakage: BrokenMechanisms = {}): Promise<ReadonlyArray<{readonly seed: number; readonly excess: number}>> {
	const worlds = await Promise.all(Array.from({length: schedules}, (_, index) => index + 1).map(async seed => ({seed, world: await runSchedule(seed, breakage, sharedGrant)})));
	return worlds.map(({seed, world}) => ({seed, excess: check(world)})).filter(({excess}) => excess > TOLERANCE);
}

/** Creates a store whose reads return no reservations, which makes owners forget them. */
export const withoutReservations = (inner: Store): Store => new (class extends Store {
	override read: Store['read'] = async id => {
		const found = await inner.read(id);
		return found.map(object => object && {...object, value: '{"grants":{}}'});
	};

	override write: Store['write'] = async write => inner.write(write);
	override remove: Store['remove'] = async removal => inner.remove(removal);
	override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
	override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
})();
