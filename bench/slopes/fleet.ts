/** Cost of gossip, leases and configuration for fleets of different sizes, in virtual time. */
import type {Lists} from '../../src/plans/common/lists.js';
import {createDaemonFleet} from '../../test/fakes/daemon-fleet.js';
import {createDefaultSettings} from './default-settings.js';
import {measureCpuUs, readHeapBytes} from './measure.js';
import {encodedBytes} from './peer-calls.js';

/** Cost of a fleet of one size. Rates are per second of virtual time. */
export type FleetCost = {
	readonly daemons: number;
	/** Gossip messages that a daemon sends or receives, per second. */
	readonly messages: number;
	/** Encoded bytes that a daemon sends and receives, per second, without headers. */
	readonly bytes: number;
	/** The messages of these that pass between regions, and their bytes. */
	readonly regionMessages: number;
	readonly regionBytes: number;
	/** Processor time per daemon and second, in microseconds, including the fakes. */
	readonly cpuUs: number;
	/** Heap per daemon, including the fakes. */
	readonly heapBytes: number;
	/** Calls to the store by the whole fleet, per second. */
	readonly storeCalls: number;
	/** Time from an operator's configuration change until it is in force on every daemon. */
	readonly spreadMs: number;
	/** Messages that a daemon sent or received per second while the change propagated. */
	readonly spreadMessages: number;
};

const ZONES_PER_REGION = 2;
const REGION_COUNT = 6;
const SHARD_COUNT = 32;
const JOIN_INTERVAL_MS = 20;
/** Time in which fleets of up to 120 daemons finish gossiping about the starts. */
const SETTLE_MS = 60_000;
const MEASUREMENT_MS = 20_000;
const SPREAD_STEP_MS = 100;
const SPREAD_LIMIT_MS = 20_000;
const SEED_DAEMON_COUNT = 3;
const {fanout, periodMs} = createDefaultSettings().membership;

const lists: Lists = {
	plans: [{
		name: 'portal', customer: 'customer', weight: 1, keyHashes: [], trainers: [],
	}],
	grants: [{
		plan: 'portal', pool: 'models', requestsPerSecond: 5, burstSeconds: 1,
	}],
};

function zoneOf(index: number): string {
	return `r${index % REGION_COUNT}-z${Math.floor(index / REGION_COUNT) % ZONES_PER_REGION}`;
}

function regionOf(id: string): number {
	return (Number(id.replace('entry-', '')) - 1) % REGION_COUNT;
}

/** Measures a fleet of the given size. */
export async function measureFleet(daemons: number): Promise<FleetCost> {
	const heapBefore = readHeapBytes();
	const totals = {
		messages: 0, bytes: 0, regionMessages: 0, regionBytes: 0,
	};
	const fleet = createDaemonFleet(1, (from, to, message) => {
		const bytes = encodedBytes(message);
		const isBetweenRegions = regionOf(from) !== regionOf(to);
		totals.messages += 1;
		totals.bytes += bytes;
		totals.regionMessages += isBetweenRegions ? 1 : 0;
		totals.regionBytes += isBetweenRegions ? bytes : 0;
	});
	const ids = Array.from({length: daemons}, (_, index) => `entry-${index + 1}`);
	const profile = {membership: {fanout, periodMs}, shards: {count: SHARD_COUNT}};
	await ids.reduce<Promise<void>>(async (previous, id, index) => {
		await previous;
		fleet.start({id, availabilityZone: zoneOf(index), ...profile}, ids.slice(0, SEED_DAEMON_COUNT));
		await fleet.time.advance(JOIN_INTERVAL_MS);
	}, Promise.resolve());
	await fleet.time.advance(SETTLE_MS);

	const before = {...totals, calls: fleet.memory.calls()};
	const cpuUs = await measureCpuUs(async () => fleet.time.advance(MEASUREMENT_MS));
	const seconds = MEASUREMENT_MS / 1000;
	const perDaemon = 1 / (daemons * seconds);
	const steadyRates = {
		// Each message has a sender and a receiver.
		messages: 2 * (totals.messages - before.messages) * perDaemon,
		bytes: 2 * (totals.bytes - before.bytes) * perDaemon,
		regionMessages: 2 * (totals.regionMessages - before.regionMessages) * perDaemon,
		regionBytes: 2 * (totals.regionBytes - before.regionBytes) * perDaemon,
		storeCalls: (fleet.memory.calls() - before.calls) / seconds,
	};
	const heapBytes = (readHeapBytes() - heapBefore) / daemons;

	const startedAt = fleet.time.clock.monotonic();
	const messagesBefore = totals.messages;
	const proposed = fleet.get('entry-1').configuration.propose({operator: 'bench', ifVersion: 0, lists});
	const isInForceEverywhere = () => fleet.all().every(daemon => daemon.configuration.current().version > 0);
	while (!isInForceEverywhere() && fleet.time.clock.monotonic() - startedAt < SPREAD_LIMIT_MS) {
		await fleet.time.advance(SPREAD_STEP_MS);
	}

	const accepted = await proposed;
	accepted._unsafeUnwrap();
	const spreadMs = fleet.time.clock.monotonic() - startedAt;
	return {
		daemons,
		...steadyRates,
		cpuUs: cpuUs * perDaemon,
		heapBytes,
		spreadMs,
		spreadMessages: 2 * (totals.messages - messagesBefore) / (daemons * (spreadMs / 1000)),
	};
}
