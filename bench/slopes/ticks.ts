/** Processor time of what a daemon does by the clock: ticks of admission, and the choice of the servers whose load is read. */
import {createCapacity} from '../../src/limits/common/capacity.js';
import {limitConcurrency} from '../../src/limits/common/concurrency.js';
import {createAdmissionController} from '../../src/limits/common/admission-controller.js';
import {createLoadEstimate} from '../../src/routing/common/load-estimate.js';
import {createLoadPolls} from '../../src/routing/common/load-polls.js';
import type {BackendServer} from '../../src/routing/common/router.js';
import {createSeededRandom} from '../../test/fakes/virtual-loop.js';
import {measureCpuUs} from './measure.js';

const TICKS = 2000;
const TICK_MS = 20;
const POLLS = 200;
const POLL_MS = 500;
const LOADS_PER_POLL = {least: 8, most: 8, perDispatch: 2};
const SLOTS = 16;
const DAEMONS = 360;
const REGIONS = 6;

function createServers(workers: number): readonly BackendServer[] {
	return Array.from({length: workers}, (_, index) => ({
		id: `worker-${index}`, address: '10.0.0.1', port: index + 1, pool: 'models', availabilityZone: `r${index % REGIONS}-a`, region: `r${index % REGIONS}`, state: 'live',
	}));
}

/** Measures a tick of admission at a daemon where the given number of plans has been asked for, with a pool of workers. */
export async function measureAdmissionTick(plans: number, workers: number): Promise<number> {
	const capacity = createCapacity();
	capacity.report('models', Array.from({length: workers}, () => ({requests: 4, slots: SLOTS})));
	const gate = createAdmissionController({
		grantOf: (plan, pool) => ({
			plan, pool, requestsPerSecond: 1_000_000, tokensPerSecond: 1_000_000_000, burstSeconds: 1,
		}),
		weightOf: () => 1,
		fractionOf: () => 1,
		concurrencyOf: (pool, running) => limitConcurrency({loads: capacity.loads(pool), running, daemons: DAEMONS}),
		random: createSeededRandom(1),
	});
	const {signal} = new AbortController();
	await Promise.all(Array.from({length: plans}, async (_, index) => {
		const pending = gate.admit({
			plan: `plan-${index}`, pool: 'models', tokens: 100, deadline: 30_000,
		}, 0, signal);
		gate.tick(1);
		const admitted = await pending;
		admitted._unsafeUnwrap().release(2, 100);
	}));
	const run = (from: number) => {
		Array.from({length: TICKS}).forEach((_, index) => {
			gate.tick(from + (index * TICK_MS));
		});
	};

	run(TICK_MS);
	return await measureCpuUs(() => {
		run(TICKS * TICK_MS);
	}) / TICKS;
}

/** Measures the work of one poll of loads without the reads: the choice of servers and the report of capacity. */
export async function measureLoadPoll(workers: number): Promise<number> {
	const servers = createServers(workers);
	const loads = createLoadEstimate(() => SLOTS);
	const polls = createLoadPolls(LOADS_PER_POLL);
	const capacity = createCapacity();
	const runOne = (now: number) => {
		polls.next(servers, server => loads.inFlight(server.id)).forEach(server => {
			loads.report(server.id, {
				running: 4, queued: 0, slots: SLOTS, tokensPerSecond: 100, ageMs: 100,
			}, now);
		});
		capacity.report('models', servers.map(server => loads.read(server.id, now)));
	};

	const run = (from: number) => {
		Array.from({length: POLLS}).forEach((_, index) => {
			runOne(from + (index * POLL_MS));
		});
	};

	run(0);
	return await measureCpuUs(() => {
		run(POLLS * POLL_MS);
	}) / POLLS;
}
