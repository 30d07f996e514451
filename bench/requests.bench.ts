/** Requests under load: the deciders of admission, routing, retries and shares against plain policies, in virtual time. */
import {createSeededRandom, type VirtualTime} from '../test/fakes/virtual-loop.js';
import type {Random} from '../src/base/common/random.js';
import {createShareWorld, grant, type BrokenMechanisms} from '../src/limits/test/harness/share-world.js';
import type {Figure} from './figure.js';
import {
	DAEMONS, DURATION_MS, simulate, type Load, type Outcome, type Policy,
} from './request-model.js';
import {createProduct, createRoundRobin} from './request-policies.js';

export const title = 'Requests';

const SEEDS = [1, 2, 3];
/** Shares of requests that servers break off, while few wait there and while many do. */
const CROWDED_BREAKS = [0.1, 0.8] as const;
const MANY_BREAKS = [0.4, 0.4] as const;
const UNBOUNDED_RETRY_SHARE = 10;

type CreatePolicy = (random: Random, time: VirtualTime) => Policy;

const product: CreatePolicy = (random, time) => createProduct(random, time);
const withoutBudget: CreatePolicy = (random, time) => createProduct(random, time, UNBOUNDED_RETRY_SHARE);
const roundRobin: CreatePolicy = () => createRoundRobin();
const stubbornRoundRobin: CreatePolicy = () => createRoundRobin(3);

/** Means over the seeds. */
async function measure(load: Omit<Load, 'seed'>, createPolicy: CreatePolicy): Promise<Outcome> {
	const outcomes = await SEEDS.reduce<Promise<readonly Outcome[]>>(async (previous, seed) => [...await previous, await simulate({...load, seed}, createPolicy)], Promise.resolve([]));
	const mean = (read: (outcome: Outcome) => number) => outcomes.reduce((sum, outcome) => sum + read(outcome), 0) / outcomes.length;
	return {
		goodput: mean(outcome => outcome.goodput),
		p95Ms: mean(outcome => outcome.p95Ms),
		crossRegionBytes: mean(outcome => outcome.crossRegionBytes),
		prefixHits: mean(outcome => outcome.prefixHits),
		attempts: mean(outcome => outcome.attempts),
	};
}

/** Measures what one daemon with all the demand can use of a grant. */
async function measureUsableShare(breakage: BrokenMechanisms = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(1), breakage);
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, 0.5);
	});
	await world.time.advance(5000);
	world.daemonIds.slice(1).forEach(daemonId => {
		world.setDemand(daemonId, 0);
	});
	world.setDemand('entry-1', 3 * grant.requestsPerSecond);
	await world.time.advance(10_000);
	const before = world.admittedBy('entry-1');
	await world.time.advance(DURATION_MS);
	return (world.admittedBy('entry-1') - before) * 1000 / (DURATION_MS * grant.requestsPerSecond);
}

function compare(name: string, unit: string, value: number, baseline: number, baselinePolicy: string): Figure {
	return {
		name, unit, value, baseline, baselinePolicy,
	};
}

/** Servers that break off requests, with and without bounds on retries. */
async function measureRetries(): Promise<readonly Figure[]> {
	const crowded = {factor: 3, broken: CROWDED_BREAKS};
	const bounded = await measure(crowded, product);
	const storm = await measure(crowded, stubbornRoundRobin);
	const unbudgeted = await measure(crowded, withoutBudget);
	const failing = {factor: 0.5, broken: MANY_BREAKS};
	const few = await measure(failing, product);
	const many = await measure(failing, withoutBudget);
	const name = 'goodput at 3x saturation, crowded servers break off';
	return [
		compare(name, 'requests/s', bounded.goodput, storm.goodput, 'round robin, 3 attempts, no admission'),
		compare(name, 'requests/s', bounded.goodput, unbudgeted.goodput, 'the same without a retry budget'),
		compare('attempts per request, half load, 40% broken off', 'attempts', few.attempts, many.attempts, 'the same without a retry budget'),
		compare('goodput, half load, 40% broken off', 'requests/s', few.goodput, many.goodput, 'the same without a retry budget'),
	];
}

/** Runs the bench. */
export async function run(): Promise<readonly Figure[]> {
	const plain = 'round robin, no admission';
	const half = await measure({factor: 0.5}, product);
	const halfPlain = await measure({factor: 0.5}, roundRobin);
	const high = await measure({factor: 0.7}, product);
	const highPlain = await measure({factor: 0.7}, roundRobin);
	const once = await measure({factor: 1}, product);
	const oncePlain = await measure({factor: 1}, roundRobin);
	const thrice = await measure({factor: 3}, product);
	const thricePlain = await measure({factor: 3}, roundRobin);
	const peak = Math.max(half.goodput, high.goodput, once.goodput, thrice.goodput);
	const usable = await measureUsableShare();
	const usablePlain = await measureUsableShare({fractionOf: () => () => 1 / DAEMONS});
	return [
		compare('goodput at saturation', 'requests/s', once.goodput, oncePlain.goodput, plain),
		compare('goodput at 3x saturation', 'requests/s', thrice.goodput, thricePlain.goodput, plain),
		{name: 'goodput at 3x saturation, share of its peak', value: thrice.goodput / peak, unit: 'share'},
		compare('p95 latency at half load', 'ms', half.p95Ms, halfPlain.p95Ms, plain),
		compare('p95 latency at 0.7 of saturation', 'ms', high.p95Ms, highPlain.p95Ms, plain),
		compare('p95 latency of answers in time, 3x saturation', 'ms', thrice.p95Ms, thricePlain.p95Ms, plain),
		compare('bytes across regions per request, half load', 'B', half.crossRegionBytes, halfPlain.crossRegionBytes, plain),
		compare('prefix hits, half load', 'share', half.prefixHits, halfPlain.prefixHits, plain),
		...await measureRetries(),
		compare('usable share of a grant, all demand at one daemon', 'share', usable, usablePlain, 'static equal shares'),
	];
}
