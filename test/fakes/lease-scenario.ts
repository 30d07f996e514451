/** Fleets whose daemons act on their shards, and what must hold of them. */
import * as assert from 'uvu/assert';
import {createLeaseDecider} from '../../src/leases/common/lease-decider.js';
import {createStoreConnectivity} from '../../src/leases/common/store-connectivity.js';
import {createDaemonFleet, type DaemonProfile} from './daemon-fleet.js';
import {eachSeed, listIds, zones} from './fleet-scenario.js';
import type {DeciderFactory} from './lease-deciders.js';
import {
	createShardEffects, findOvertakenEffects, findSharedNumbers, longestGap,
} from './shard-effects.js';

/** Shards of a scenario. */
export const SHARDS = 8;

/** How a fleet is started. */
export type Scenario = {
	readonly seed: number;
	readonly daemons?: number;
	readonly checksFencing?: boolean;
	readonly createDecider?: DeciderFactory;
	readonly createReach?: typeof createStoreConnectivity;
	readonly rates?: readonly number[];
	readonly wrapStore?: DaemonProfile['wrapStore'];
};

/** Starts a fleet whose daemons act on the shards they hold, and lets it settle. */
export async function start({
	seed, daemons = 5, checksFencing = false, createDecider = createLeaseDecider, createReach = createStoreConnectivity, rates = [], wrapStore,
}: Scenario) {
	const fleet = createDaemonFleet(seed);
	const effects = createShardEffects(fleet, checksFencing);
	const ids = listIds(daemons);
	const profiles = ids.map((id, index): DaemonProfile => ({
		id, zone: zones[index % zones.length]!, rate: rates[index] ?? 1, shards: {createDecider, createConnectivity: createReach}, ...(wrapStore && {wrapStore}),
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

/** A running scenario. */
export type Started = Awaited<ReturnType<typeof start>>;

/** Names the holder of a shard. */
export function holderOf({fleet}: Started, shard: number): string {
	const holder = fleet.all().find(daemon => daemon.shards.holding(shard, daemon.process.clock.monotonic()));
	return holder?.id ?? 'entry-1';
}

/** Asserts that no overtaken order was accepted and no number shared. */
export function assertSafe({effects}: Started): void {
	assert.equal(findOvertakenEffects(effects.record), []);
	assert.equal(findSharedNumbers(effects.record), []);
}

/** The longest time, in milliseconds, in which any shard had no owner. */
export function worstGap({effects, now}: Started, from: number): number {
	return Math.max(...Array.from({length: SHARDS}, (_, shard) => longestGap(effects.record, shard, from, now())));
}

/** Asserts that every shard had an owner but for short gaps. */
export function assertOwned(started: Started, from: number, maximumGapMs: number): void {
	assert.ok(worstGap(started, from) <= maximumGapMs, `a shard had no owner for ${worstGap(started, from)} ms`);
}

/** The part of the seeds in which a broken run was caught. */
export async function countCaught(run: (seed: number) => Promise<Started>): Promise<number> {
	let caught = 0;
	await eachSeed(async seed => {
		const {effects} = await run(seed);
		caught += findOvertakenEffects(effects.record).length > 0 ? 1 : 0;
	});
	return caught;
}
