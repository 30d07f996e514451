/** Processor time of a daemon's periodic work: admission ticks, and the choice of the servers whose load is read. */
import {createCapacity} from '../../src/limits/common/capacity.js';
import {limitConcurrency} from '../../src/limits/common/concurrency.js';
import {createAdmissionController} from '../../src/limits/common/admission-controller.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createLoadPolls} from '../../src/routing/common/load-polls.js';
import type {BackendServer} from '../../src/routing/common/router.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs} from './measure.js';

const TICK_COUNT = 2000;
const TICK_PERIOD_MS = 20;
const POLL_COUNT = 200;
const POLL_PERIOD_MS = 500;
const LOADS_PER_POLL = {least: 8, most: 8, perDispatch: 2};
const SLOTS_PER_SERVER = 16;
const DAEMON_COUNT = 360;
const REGION_COUNT = 6;

function createServers(workers: number): readonly BackendServer[] {
	return Array.from({length: workers}, (_, index) => ({
		id: `worker-${index}`, address: '10.0.0.1', port: index + 1, pool: 'models', availabilityZone: `r${index % REGION_COUNT}-a`, region: `r${index % REGION_COUNT}`, state: 'live',
	}));
}

/** Measures an admission tick after requests of the given number of plans to a pool of workers; returns microseconds. */
export async function measureAdmissionTick(plans: number, workers: number): Promise<number> {
	const capacity = createCapacity();
	capacity.report('models', Array.from({length: workers}, () => ({requests: 4, slots: SLOTS_PER_SERVER})));
	const controller = createAdmissionController({
		grantOf: (plan, pool) => ({
			plan, pool, requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, burstSeconds: 1,
		}),
		weightOf: () => 1,
		fractionOf: () => 1,
		concurrencyOf: (pool, running) => limitConcurrency({loads: capacity.loads(pool), running, daemons: DAEMON_COUNT}),
		random: createSeededRandom(1),
	});
	const {signal} = new AbortController();
	await Promise.all(Array.from({length: plans}, async (_, index) => {
		const pending = controller.admit({
			plan: `plan-${index}`, pool: 'models', tokens: 100, deadline: 30_000,
		}, 0, signal);
		controller.tick(1);
		const admitted = await pending;
		admitted._unsafeUnwrap().release(2, 100);
	}));
	const run = (from: number) => {
		Array.from({length: TICK_COUNT}).forEach((_, index) => {
			controller.tick(from + (index * TICK_PERIOD_MS));
		});
	};

	run(TICK_PERIOD_MS);
	return await measureCpuUs(() => {
		run(TICK_COUNT * TICK_PERIOD_MS);
	}) / TICK_COUNT;
}

/** Measures one load poll without the reads: the choice of servers and the report of capacity; returns microseconds. */
export async function measureLoadPoll(workers: number): Promise<number> {
	const servers = createServers(workers);
	const loads = createLoadEstimate(() => SLOTS_PER_SERVER);
	const polls = createLoadPolls(LOADS_PER_POLL);
	const capacity = createCapacity();
	const runOne = (now: number) => {
		polls.next(servers, server => loads.inFlight(server.id)).forEach(server => {
			loads.report(server.id, {
				running: 4, queued: 0, slots: SLOTS_PER_SERVER, tokensPerSecond: 100, ageMs: 100,
			}, now);
		});
		capacity.report('models', servers.map(server => loads.read(server.id, now)));
	};

	const run = (from: number) => {
		Array.from({length: POLL_COUNT}).forEach((_, index) => {
			runOne(from + (index * POLL_PERIOD_MS));
		});
	};

	run(0);
	return await measureCpuUs(() => {
		run(POLL_COUNT * POLL_PERIOD_MS);
	}) / POLL_COUNT;
}
