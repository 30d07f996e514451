/** Runs fleets whose daemons send orders for the shards that they hold, and asserts the guarantees for leases. */
import * as assert from 'uvu/assert';
import {createLeaseDecider} from '../../src/leases/common/lease-decider.js';
import {createStoreConnectivity} from '../../src/leases/common/store-connectivity.js';
import {createDaemonFleet, type DaemonProfile} from './daemon-fleet.js';
import {forEachSeed, listIds, availabilityZones} from './fleet-scenario.js';
import type {DeciderFactory} from './lease-deciders.js';
import {
	createOrderRecorder, findOvertakenOrders, findSharedFencingNumbers, longestTimeWithoutOrder,
} from './shard-orders.js';

/** Number of shards in a scenario. */
export const SHARDS = 8;

/** Options with which a fleet is started. */
export type ScenarioOptions = {
	readonly seed: number;
	readonly daemons?: number;
	readonly checksFencing?: boolean;
	readonly createDecider?: DeciderFactory;
	readonly createConnectivity?: typeof createStoreConnectivity;
	readonly rates?: readonly number[];
	readonly wrapStore?: DaemonProfile['wrapStore'];
};

/** Starts a fleet whose daemons send orders for the shards that they hold, and runs it for 30 s. */
export async function startScenario({
	seed, daemons = 5, checksFencing = false, createDecider = createLeaseDecider, createConnectivity = createStoreConnectivity, rates = [], wrapStore,
}: ScenarioOptions) {
	const fleet = createDaemonFleet(seed);
	const orders = createOrderRecorder(fleet, checksFencing);
	const ids = listIds(daemons);
	const profiles = ids.map((id, index): DaemonProfile => ({
		id, availabilityZone: availabilityZones[index % availabilityZones.length]!, clockRate: rates[index] ?? 1, shards: {createDecider, createConnectivity}, ...(wrapStore && {wrapStore}),
	}));
	function launch(profile: DaemonProfile): void {
		fleet.start(profile, ids);
		orders.follow(fleet.get(profile.id));
	}

	profiles.forEach(profile => {
		launch(profile);
	});
	await fleet.time.advance(30_000);
	return {
		fleet, orders, profiles, launch, now: () => fleet.time.clock.monotonic(),
	};
}

/** A running scenario. */
export type RunningScenario = Awaited<ReturnType<typeof startScenario>>;

/** Returns the id of the daemon that holds a shard, or `entry-1` when none does. */
export function holderOf({fleet}: RunningScenario, shard: number): string {
	const holder = fleet.all().find(daemon => daemon.shards.holding(shard, daemon.process.clock.monotonic()));
	return holder?.id ?? 'entry-1';
}

/** Asserts that no accepted order had been overtaken by a later holder's order, and that no two daemons used the same fencing number. */
export function assertExclusive({orders}: RunningScenario): void {
	assert.equal(findOvertakenOrders(orders.record), []);
	assert.equal(findSharedFencingNumbers(orders.record), []);
}

/** The longest time, in milliseconds, in which any shard had no owner. */
export function longestTimeWithoutOwner({orders, now}: RunningScenario, from: number): number {
	return Math.max(...Array.from({length: SHARDS}, (_, shard) => longestTimeWithoutOrder(orders.record, shard, from, now())));
}

/** Asserts that no shard was without an owner for longer than the given time. */
export function assertOwned(started: RunningScenario, from: number, maximumMs: number): void {
	assert.ok(longestTimeWithoutOwner(started, from) <= maximumMs, `a shard had no owner for ${longestTimeWithoutOwner(started, from)} ms`);
}

/** Returns the number of seeds in which an overtaken order was accepted. */
export async function countDetected(run: (seed: number) => Promise<RunningScenario>): Promise<number> {
	let detected = 0;
	await forEachSeed(async seed => {
		const {orders} = await run(seed);
		detected += findOvertakenOrders(orders.record).length > 0 ? 1 : 0;
	});
	return detected;
}
