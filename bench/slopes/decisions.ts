/** Processor time of one decision of admission and of routing. */
import {createAdmissionController} from '../../src/limits/common/admission-controller.js';
import {createDispatcher} from '../../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../../src/routing/common/prefix-index.js';
import {defaultCostWeights} from '../../src/routing/common/server-cost.js';
import {createServerTable} from '../../src/routing/common/server-table.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

const DECISIONS = 20_000;
const DECISIONS_PER_SECOND = 100;
/** The daemon's loop ticks every 20 ms. */
const DECISIONS_PER_TICK = 2;
const START_MS = 10_000;
const SLOTS = 16;
const REGIONS = 6;

/** Cost of routing with a number of workers. */
export type RoutingCost = {
	readonly cpuUs: number;
	readonly heapBytesPerServer: number;
};

/** Runs an action per decision at an even rate of virtual time, and returns microseconds each. */
async function measureEach(action: (now: number, index: number) => Promise<void> | void): Promise<number> {
	const run = async () => Array.from({length: DECISIONS}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await action(index * 1000 / DECISIONS_PER_SECOND, index);
	}, Promise.resolve());
	return await measureCpuUs(run) / DECISIONS;
}

/** Measures admission with plenty of room, among a number of plans. */
export async function measureAdmission(plans: number): Promise<number> {
	const gate = createAdmissionController({
		grantOf: (plan, pool) => ({
			plan, pool, requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, burstSeconds: 1,
		}),
		weightOf: () => 1,
		fractionOf: () => 1,
		concurrencyOf: () => 1000,
		random: createSeededRandom(1),
	});
	const {signal} = new AbortController();

	/** Admits, ticks as the daemon's loop does, and releases. */
	async function runOne(now: number, index: number, isTicking: boolean): Promise<void> {
		const pending = gate.admit({
			plan: `plan-${index % plans}`, pool: 'models', tokens: 100, deadline: now + 30_000,
		}, now, signal);
		if (isTicking) {
			gate.tick(now + 1);
		}

		const admitted = await pending;
		admitted._unsafeUnwrap().release(now + 2, 100);
	}

	// A plan's first request finds an empty bucket and waits for the next tick.
	await Array.from({length: plans}).reduce<Promise<void>>(async (previous, _, index) => previous.then(async () => runOne(index, index, true)), Promise.resolve());
	return measureEach(async (now, index) => runOne(START_MS + now, index, index % DECISIONS_PER_TICK === 0));
}

/** Measures the choice of a server and the end of its dispatch. */
export async function measureRouting(workers: number): Promise<RoutingCost> {
	const heapBefore = readHeapBytes();
	const table = createServerTable(zone => zone.split('-', 1)[0]);
	const loads = createLoadEstimate(() => SLOTS);
	table.update(Array.from({length: workers}, (_, index) => ({
		id: `worker-${index}`, address: '10.0.0.1', port: index + 1, availabilityZone: `r${index % REGIONS}-a`, state: 'live' as const, pool: 'models',
	})), 0);
	table.list('models').forEach(server => {
		loads.report(server.id, {
			running: 4, queued: 0, slots: SLOTS, tokensPerSecond: 100, ageMs: 100,
		}, 0);
	});
	const dispatcher = createDispatcher({
		table,
		loads,
		prefixes: createPrefixIndex(20_000),
		weights: defaultCostWeights,
		ownRegion: 'r0',
		random: createSeededRandom(1),
		isReservedElsewhere: () => false,
	});
	const heapBytesPerServer = (readHeapBytes() - heapBefore) / workers;
	const cpuUs = await measureEach((now, index) => {
		const dispatched = dispatcher.dispatch({
			pool: 'models',
			prefixKey: `group-${index % 500}`,
			prefixTokens: 200,
			expectedTokens: 400,
			expectedBytes: 4000,
			excluded: [],
			allowed: undefined,
			alone: false,
		}, now);
		dispatched._unsafeUnwrap().end(now + 10, 'done');
	});
	return {cpuUs, heapBytesPerServer};
}
