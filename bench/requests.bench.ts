/** Requests under load in virtual time: admission, routing, retries and shares compared with simple policies. */
import {createSeededRandom, type VirtualTime} from '../test/fakes/virtual-loop.js';
import type {Random} from '../src/base/common/random.js';
import {createShareWorld, grant, type BrokenMechanisms} from '../src/limits/test/harness/share-world.js';
import type {Figure} from './figure.js';
import {
	DAEMON_COUNT, DURATION_MS, simulate, type Load, type Outcome, type Policy,
} from './request-model.js';
import {createProductPolicy, createRoundRobinPolicy} from './request-policies.js';

export const title = 'Requests';

const SEEDS = [1, 2, 3];
/** Shares of requests that servers fail, while few requests wait there and while many do. */
const CROWDED_FAILURE_SHARES = [0.1, 0.8] as const;
const HIGH_FAILURE_SHARES = [0.4, 0.4] as const;
const UNBOUNDED_RETRY_SHARE = 10;

type PolicyFactory = (random: Random, time: VirtualTime) => Policy;

const product: PolicyFactory = (random, time) => createProductPolicy(random, time);
const productWithoutRetryBudget: PolicyFactory = (random, time) => createProductPolicy(random, time, UNBOUNDED_RETRY_SHARE);
const roundRobin: PolicyFactory = () => createRoundRobinPolicy();
const roundRobinWithRetries: PolicyFactory = () => createRoundRobinPolicy(3);

/** Simulates the policy with each seed; returns the means. */
async function measure(load: Omit<Load, 'seed'>, createPolicy: PolicyFactory): Promise<Outcome> {
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

/** Measures the share of a grant that one daemon can use when it has all the demand. */
async function measureUsableShare(brokenMechanisms: BrokenMechanisms = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(1), brokenMechanisms);
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

/** Measures servers that fail requests, with and without bounds on retries. */
async function measureRetries(): Promise<readonly Figure[]> {
	const crowded = {factor: 3, failureShares: CROWDED_FAILURE_SHARES};
	const crowdedProduct = await measure(crowded, product);
	const crowdedRoundRobin = await measure(crowded, roundRobinWithRetries);
	const crowdedUnbudgeted = await measure(crowded, productWithoutRetryBudget);
	const failing = {factor: 0.5, failureShares: HIGH_FAILURE_SHARES};
	const failingProduct = await measure(failing, product);
	const failingUnbudgeted = await measure(failing, productWithoutRetryBudget);
	const name = 'goodput at 3x saturation, crowded servers break off';
	return [
		compare(name, 'requests/s', crowdedProduct.goodput, crowdedRoundRobin.goodput, 'round robin, 3 attempts, no admission'),
		compare(name, 'requests/s', crowdedProduct.goodput, crowdedUnbudgeted.goodput, 'the same without a retry budget'),
		compare('attempts per request, half load, 40% broken off', 'attempts', failingProduct.attempts, failingUnbudgeted.attempts, 'the same without a retry budget'),
		compare('goodput, half load, 40% broken off', 'requests/s', failingProduct.goodput, failingUnbudgeted.goodput, 'the same without a retry budget'),
	];
}

/** Runs the bench. */
export async function run(): Promise<readonly Figure[]> {
	const plain = 'round robin, no admission';
	const halfLoad = await measure({factor: 0.5}, product);
	const halfLoadPlain = await measure({factor: 0.5}, roundRobin);
	const highLoad = await measure({factor: 0.7}, product);
	const highLoadPlain = await measure({factor: 0.7}, roundRobin);
	const saturated = await measure({factor: 1}, product);
	const saturatedPlain = await measure({factor: 1}, roundRobin);
	const overloaded = await measure({factor: 3}, product);
	const overloadedPlain = await measure({factor: 3}, roundRobin);
	const peak = Math.max(halfLoad.goodput, highLoad.goodput, saturated.goodput, overloaded.goodput);
	const usableShare = await measureUsableShare();
	const usableSharePlain = await measureUsableShare({fractionOf: () => () => 1 / DAEMON_COUNT});
	return [
		compare('goodput at saturation', 'requests/s', saturated.goodput, saturatedPlain.goodput, plain),
		compare('goodput at 3x saturation', 'requests/s', overloaded.goodput, overloadedPlain.goodput, plain),
		{name: 'goodput at 3x saturation, share of its peak', value: overloaded.goodput / peak, unit: 'share'},
		compare('p95 latency at half load', 'ms', halfLoad.p95Ms, halfLoadPlain.p95Ms, plain),
		compare('p95 latency at 0.7 of saturation', 'ms', highLoad.p95Ms, highLoadPlain.p95Ms, plain),
		compare('p95 latency of answers in time, 3x saturation', 'ms', overloaded.p95Ms, overloadedPlain.p95Ms, plain),
		compare('bytes across regions per request, half load', 'B', halfLoad.crossRegionBytes, halfLoadPlain.crossRegionBytes, plain),
		compare('prefix hits, half load', 'share', halfLoad.prefixHits, halfLoadPlain.prefixHits, plain),
		...await measureRetries(),
		compare('usable share of a grant, all demand at one daemon', 'share', usableShare, usableSharePlain, 'static equal shares'),
	];
}
