/** Processor time of one admission decision and of one routing decision. */
import {createAdmissionController} from '../../src/limits/common/admission-controller.js';
import {createDispatcher} from '../../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../../src/routing/common/prefix-index.js';
import {defaultCostWeights} from '../../src/routing/common/server-cost.js';
import {createServerTable} from '../../src/routing/common/server-table.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

const DECISION_COUNT = 20_000;
const DECISIONS_PER_SECOND = 100;
/** At 100 decisions per second, for the daemon's tick period of 20 ms. */
const DECISIONS_PER_TICK = 2;
const MEASUREMENT_START_MS = 10_000;
const SLOTS_PER_SERVER = 16;
const REGION_COUNT = 6;

/** Cost of routing over a given number of workers. */
export type RoutingCost = {
	readonly cpuUs: number;
	readonly heapBytesPerServer: number;
};

/** Runs an action per decision at a constant rate of virtual time; returns the mean processor time in microseconds. */
async function measureEach(action: (now: number, index: number) => Promise<void> | void): Promise<number> {
	const run = async () => Array.from({length: DECISION_COUNT}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await action(index * 1000 / DECISIONS_PER_SECOND, index);
	}, Promise.resolve());
	return await measureCpuUs(run) / DECISION_COUNT;
}

/** Measures admission and release of a request without queueing, with a given number of plans; returns microseconds. */
export async function measureAdmission(plans: number): Promise<number> {
	const controller = createAdmissionController({
		grantOf: (plan, pool) => ({
			plan, pool, requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, burstSeconds: 1,
		}),
		weightOf: () => 1,
		fractionOf: () => 1,
		concurrencyOf: () => 1000,
		random: createSeededRandom(1),
	});
	const {signal} = new AbortController();

	/** Admits a request, ticks the controller if `isTicking`, like the daemon's loop does, and releases the request. */
	async function runOne(now: number, index: number, isTicking: boolean): Promise<void> {
		const pending = controller.admit({
			plan: `plan-${index % plans}`, pool: 'models', tokens: 100, deadline: now + 30_000,
		}, now, signal);
		if (isTicking) {
			controller.tick(now + 1);
		}

		const admitted = await pending;
		admitted._unsafeUnwrap().release(now + 2, 100);
	}

	// The first request of a plan waits for the next tick because the plan's token bucket is still empty.
	await Array.from({length: plans}).reduce<Promise<void>>(async (previous, _, index) => previous.then(async () => runOne(index, index, true)), Promise.resolve());
	return measureEach(async (now, index) => runOne(MEASUREMENT_START_MS + now, index, index % DECISIONS_PER_TICK === 0));
}

/** Measures the choice of a server and the end of the dispatch. */
export async function measureRouting(workers: number): Promise<RoutingCost> {
	const heapBefore = readHeapBytes();
	const table = createServerTable(zone => zone.split('-', 1)[0]);
	const loads = createLoadEstimate(() => SLOTS_PER_SERVER);
	table.update(Array.from({length: workers}, (_, index) => ({
		id: `worker-${index}`, address: '10.0.0.1', port: index + 1, availabilityZone: `r${index % REGION_COUNT}-a`, state: 'live' as const, pool: 'models',
	})), 0);
	table.list('models').forEach(server => {
		loads.report(server.id, {
			running: 4, queued: 0, slots: SLOTS_PER_SERVER, tokensPerSecond: 100, ageMs: 100,
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
