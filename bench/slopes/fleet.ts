/** Gossip, leases and configuration of whole fleets over virtual time. */
import type {Lists} from '../../src/plans/common/lists.js';
import {createDaemonFleet} from '../../test/fakes/daemon-fleet.js';
import {createDefaultSettings} from './default-settings.js';
import {measureCpuUs, readHeapBytes} from './measure.js';
import {encodedBytes} from './peer-calls.js';

/** What a fleet of one size costs. Rates are a second of virtual time. */
export type FleetCost = {
	readonly daemons: number;
	/** Gossip messages that a daemon sends or receives, per second. */
	readonly messages: number;
	/** Encoded bytes that a daemon sends and receives, per second, without headers. */
	readonly bytes: number;
	/** Messages and bytes of them that pass between regions. */
	readonly regionMessages: number;
	readonly regionBytes: number;
	/** Processor time per daemon and second, in microseconds, the fakes included. */
	readonly cpuUs: number;
	/** Heap per daemon, the fakes included. */
	readonly heapBytes: number;
	/** Calls to the store by the whole fleet, per second. */
	readonly storeCalls: number;
	/** Time from an operator's change until it is in force on every daemon, in milliseconds. */
	readonly spreadMs: number;
	/** Messages a daemon saw per second while the change spread. */
	readonly spreadMessages: number;
};

const ZONES_PER_REGION = 2;
const REGIONS = 6;
const SHARDS = 32;
const JOIN_INTERVAL_MS = 20;
/** After this time the news of the starts has been spread in fleets of up to 120 daemons. */
const SETTLE_MS = 60_000;
const QUIET_MS = 20_000;
const SPREAD_STEP_MS = 100;
const SPREAD_LIMIT_MS = 20_000;
const SEEDS = 3;
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
	return `r${index % REGIONS}-z${Math.floor(index / REGIONS) % ZONES_PER_REGION}`;
}

function regionOf(id: string): number {
	return (Number(id.replace('entry-', '')) - 1) % REGIONS;
}

/** Measures a fleet of the given size. */
export async function measureFleet(daemons: number): Promise<FleetCost> {
	const heapBefore = readHeapBytes();
	const counted = {
		messages: 0, bytes: 0, regionMessages: 0, regionBytes: 0,
	};
	const fleet = createDaemonFleet(1, (from, to, message) => {
		const bytes = encodedBytes(message);
		const isBetweenRegions = regionOf(from) !== regionOf(to);
		counted.messages += 1;
		counted.bytes += bytes;
		counted.regionMessages += isBetweenRegions ? 1 : 0;
		counted.regionBytes += isBetweenRegions ? bytes : 0;
	});
	const ids = Array.from({length: daemons}, (_, index) => `entry-${index + 1}`);
	const profile = {membership: {fanout, periodMs}, shards: {count: SHARDS}};
	await ids.reduce<Promise<void>>(async (previous, id, index) => {
		await previous;
		fleet.start({id, zone: zoneOf(index), ...profile}, ids.slice(0, SEEDS));
		await fleet.time.advance(JOIN_INTERVAL_MS);
	}, Promise.resolve());
	await fleet.time.advance(SETTLE_MS);

	const before = {...counted, calls: fleet.memory.calls()};
	const cpuUs = await measureCpuUs(async () => fleet.time.advance(QUIET_MS));
	const seconds = QUIET_MS / 1000;
	const perDaemon = 1 / (daemons * seconds);
	const quiet = {
		// Each message has a sender and a receiver.
		messages: 2 * (counted.messages - before.messages) * perDaemon,
		bytes: 2 * (counted.bytes - before.bytes) * perDaemon,
		regionMessages: 2 * (counted.regionMessages - before.regionMessages) * perDaemon,
		regionBytes: 2 * (counted.regionBytes - before.regionBytes) * perDaemon,
		storeCalls: (fleet.memory.calls() - before.calls) / seconds,
	};
	const heapBytes = (readHeapBytes() - heapBefore) / daemons;

	const startedAt = fleet.time.clock.monotonic();
	const messagesBefore = counted.messages;
	const proposed = fleet.get('entry-1').configuration.propose({operator: 'bench', ifVersion: 0, lists});
	const isEverywhere = () => fleet.all().every(daemon => daemon.configuration.current().version > 0);
	while (!isEverywhere() && fleet.time.clock.monotonic() - startedAt < SPREAD_LIMIT_MS) {
		await fleet.time.advance(SPREAD_STEP_MS);
	}

	const accepted = await proposed;
	accepted._unsafeUnwrap();
	const spreadMs = fleet.time.clock.monotonic() - startedAt;
	return {
		daemons,
		...quiet,
		cpuUs: cpuUs * perDaemon,
		heapBytes,
		spreadMs,
		spreadMessages: 2 * (counted.messages - messagesBefore) / (daemons * (spreadMs / 1000)),
	};
}
