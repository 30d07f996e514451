/** Trainer idle time and staleness per deployment, compared with a simple policy and with a bound from the engines' token rate. */
import process from 'node:process';
import {
	EqualDivision, ProportionalDivision, ShortestFirstDivision, type SlotDivision,
} from '../src/rollouts/common/slot-division.js';
import type {Figure} from './figure.js';
import {
	runDeployment, STREAM_TOKENS_PER_SECOND, tokenRateOf, type Deployment, type Outcome, type Policy,
} from './rollout-deployment.js';

export const title = 'Rollouts: trainer idle time and staleness';

/** Number of runs per figure, each with a different seed; figures are the means. */
const SEED_COUNT = Number(process.env.BENCH_SEEDS ?? 3);
const DURATION_MS = 900_000;
const DEFERRAL_MS = 120_000;

const kivotos: Deployment = {
	name: 'Kivotos',
	zones: [{zone: 'attica-pireas', region: 'attica'}, {zone: 'attica-marousi', region: 'attica'}, {zone: 'macedonia-kalamaria', region: 'macedonia'}],
	engines: 6,
	trainers: [
		{
			name: 'assistant', groups: 96, samplesPerGroup: 8, meanTokens: 200, trainMs: 90_000,
		},
		{
			name: 'notes', groups: 32, samplesPerGroup: 8, meanTokens: 200, trainMs: 60_000,
		},
	],
	stalenessBound: 2,
	enough: 0.9,
	durationMs: DURATION_MS,
	seed: 1,
};

const anadolu: Deployment = {
	...kivotos,
	name: 'Anadolu',
	zones: [{zone: 'konya-a', region: 'ic-anadolu'}, {zone: 'kayseri-a', region: 'ic-anadolu'}, {zone: 'bursa-a', region: 'marmara'}],
	trainers: [
		{
			name: 'fitting', groups: 80, samplesPerGroup: 8, meanTokens: 160, trainMs: 90_000,
		},
		{
			name: 'lasts', groups: 40, samplesPerGroup: 8, meanTokens: 240, trainMs: 70_000,
		},
	],
	stalenessBound: 1,
	seed: 2,
};

const plainPolicy: Policy = {
	isRoundRobin: true, canHedge: false, canResume: false, longestFirst: false, stallMs: Number.POSITIVE_INFINITY,
	waveShare: 1, concurrentLoads: 1000, deferralMs: 0, division: new EqualDivision(), measure: 'idle', postsAhead: false,
};

function createPolicy(measure: Policy['measure']): Policy {
	return {
		isRoundRobin: false, canHedge: true, canResume: true, longestFirst: true, stallMs: 3000,
		waveShare: 0.34, concurrentLoads: 2, deferralMs: 0, division: new ShortestFirstDivision(), measure, postsAhead: false,
	};
}

type Job = {
	/** Tokens that the step still has to generate. */
	readonly left: number;
	readonly step: number;
	readonly trainer: number;
	readonly startsAt: number;
	/** Time at which the trainer starts to wait for the step. */
	readonly wantedAt: number;
};

type PolicyRun = {
	readonly deployment: Deployment;
	readonly outcome: Outcome;
	readonly postsAhead: boolean;
};

/** State of the fluid model that `boundIdleMs` simulates. */
type FluidState = {
	readonly now: number;
	readonly idleMs: number;
	readonly jobs: readonly Job[];
};

/** Ends the step of a job. The trainer's next step starts immediately if it was posted ahead, otherwise after the training. */
function endJob(fluid: FluidState, job: Job, run: PolicyRun): FluidState {
	const steps = run.outcome.workByTrainer[job.trainer] ?? [];
	const longestMs = (steps[job.step]?.longest ?? 0) * 1000 / STREAM_TOKENS_PER_SECOND;
	const endsAt = Math.max(fluid.now, job.startsAt + longestMs, job.wantedAt);
	const left = steps[job.step + 1]?.tokens;
	const wantedAt = endsAt + (run.deployment.trainers[job.trainer]?.trainMs ?? 0);
	const next = left === undefined
		? []
		: [{
			...job, left, step: job.step + 1, startsAt: run.postsAhead ? endsAt : wantedAt, wantedAt,
		}];
	return {...fluid, idleMs: fluid.idleMs + endsAt - job.wantedAt, jobs: [...fluid.jobs.filter(other => other.trainer !== job.trainer), ...next]};
}

/** Serves the started job with the least remaining work until it ends or another job starts. */
function simulateFluid(fluid: FluidState, run: PolicyRun): FluidState {
	if (fluid.jobs.length === 0) {
		return fluid;
	}

	const rate = tokenRateOf(run.deployment) / 1000;
	const nextStart = Math.min(...fluid.jobs.map(job => job.startsAt).filter(startsAt => startsAt > fluid.now));
	const first = fluid.jobs.filter(job => job.startsAt <= fluid.now).toSorted((a, b) => a.left - b.left).at(0);
	if (first === undefined) {
		return simulateFluid({...fluid, now: nextStart}, run);
	}

	const endsAt = fluid.now + (first.left / rate);
	if (endsAt <= nextStart) {
		return simulateFluid(endJob({...fluid, now: endsAt}, first, run), run);
	}

	const left = first.left - ((nextStart - fluid.now) * rate);
	const jobs = fluid.jobs.map(job => job === first ? {...job, left} : job);
	return simulateFluid({...fluid, now: nextStart, jobs}, run);
}

/**
 * Returns a bound on the idle time per step: all engines are modelled as one engine that never fails or pauses and always
 * serves the trainer with the least remaining work. It generates the tokens of the delivered samples at the full rate of
 * the engines, and a step takes at least as long as its longest sample takes at the rate of one stream.
 */
function boundIdleMs(run: PolicyRun): number {
	const {deployment, outcome} = run;
	const jobs = deployment.trainers.map((_, trainer) => ({
		left: outcome.workByTrainer[trainer]?.[0]?.tokens ?? 0, step: 0, trainer, startsAt: 0, wantedAt: 0,
	}));
	return simulateFluid({now: 0, idleMs: 0, jobs}, run).idleMs / outcome.steps;
}

function percentile(values: readonly number[], share: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length * share)] ?? 0;
}

const idlePerStep = (outcome: Outcome) => outcome.idleMs / outcome.steps;

/** Runs a policy once with each seed. */
async function runSeeds(deployment: Deployment, policy: Policy): Promise<readonly Outcome[]> {
	const seeds = Array.from({length: SEED_COUNT}, (_, index) => deployment.seed + index);
	return seeds.reduce<Promise<readonly Outcome[]>>(async (previous, seed) => {
		const before = await previous;
		return [...before, await runDeployment({...deployment, seed}, policy)];
	}, Promise.resolve([]));
}

function meanOf(outcomes: readonly Outcome[], measure: (outcome: Outcome) => number): number {
	return outcomes.reduce((sum, outcome) => sum + measure(outcome), 0) / outcomes.length;
}

const staleness = (outcome: Outcome) => percentile(outcome.agesSeconds, 0.95);

async function compareWithPlainPolicy(deployment: Deployment, measure: Policy['measure'], postsAhead: boolean): Promise<readonly Figure[]> {
	const before = await runSeeds(deployment, {...plainPolicy, postsAhead});
	const after = await runSeeds(deployment, {...createPolicy(measure), postsAhead});
	const trainers = postsAhead ? 'steps posted ahead' : 'steps posted when wanted';
	const figure = (name: string, value: number, unit: string, base?: number, baselinePolicy?: string): Figure => ({
		name: `${deployment.name}, ${trainers}: ${name}`, value, unit, ...(base !== undefined && {baseline: base}), ...(baselinePolicy !== undefined && {baselinePolicy}),
	});
	const share = (name: string, part: keyof Outcome['idleShares']) => {
		const perStep = (outcome: Outcome) => outcome.idleShares[part] / outcome.steps;
		return figure(`of this, engines ${name}`, meanOf(after, perStep), 'ms', meanOf(before, perStep), 'plain policy');
	};

	return [
		figure('trainer idle time per step', meanOf(after, idlePerStep), 'ms', meanOf(before, idlePerStep), 'plain policy'),
		figure('trainer idle time per step', meanOf(after, idlePerStep), 'ms', meanOf(after, outcome => boundIdleMs({deployment, outcome, postsAhead})), 'engines at full rate'),
		share('generate for the waiting trainer', 'own'),
		share('generate for others', 'others'),
		share('load weights', 'loads'),
		share('are slow, stalled or down', 'faults'),
		share('have too few streams', 'unused'),
		figure('staleness, 95th percentile', meanOf(after, staleness), 's', meanOf(before, staleness), 'plain policy'),
		figure('samples over the staleness bound', meanOf(after, outcome => outcome.overBound) * after.length, 'samples'),
		figure('steps ended', meanOf(after, outcome => outcome.steps), 'steps', meanOf(before, outcome => outcome.steps), 'plain policy'),
	];
}

/** Compares deferring the loads of engines that trainers wait for with loading immediately. */
async function compareDeferral(deployment: Deployment): Promise<readonly Figure[]> {
	const policy = createPolicy('idle');
	const immediate = await runSeeds(deployment, policy);
	const deferred = await runSeeds(deployment, {...policy, deferralMs: DEFERRAL_MS});
	const figure = (name: string, measure: (outcome: Outcome) => number, unit: string): Figure => ({
		name: `${deployment.name}: loads put off for up to ${DEFERRAL_MS / 1000} s, ${name}`,
		value: meanOf(deferred, measure),
		unit,
		baseline: meanOf(immediate, measure),
		baselinePolicy: 'loads at once',
	});
	return [figure('idle time per step', idlePerStep, 'ms'), figure('staleness, 95th percentile', staleness, 's')];
}

async function compareDivisions(deployment: Deployment, measure: Policy['measure']): Promise<readonly Figure[]> {
	const policy = createPolicy(measure);
	const divisions: ReadonlyArray<readonly [string, SlotDivision]> = [['demand-proportional', new ProportionalDivision()], ['shortest first', new ShortestFirstDivision()]];
	const equal = await runSeeds(deployment, {...policy, division: new EqualDivision()});
	return divisions.reduce<Promise<readonly Figure[]>>(async (previous, [name, division]) => {
		const before = await previous;
		const outcomes = await runSeeds(deployment, {...policy, division});
		const figure = {name: `${deployment.name}: division ${name}`, baselinePolicy: 'equal division'};
		return [
			...before,
			{
				...figure, name: `${figure.name}, idle time per step`, value: meanOf(outcomes, idlePerStep), unit: 'ms', baseline: meanOf(equal, idlePerStep),
			},
			{
				...figure, name: `${figure.name}, staleness, 95th percentile`, value: meanOf(outcomes, staleness), unit: 's', baseline: meanOf(equal, staleness),
			},
		];
	}, Promise.resolve([]));
}

export async function run(): Promise<readonly Figure[]> {
	return [
		...await compareWithPlainPolicy(kivotos, 'idle', false),
		...await compareWithPlainPolicy(kivotos, 'idle', true),
		...await compareWithPlainPolicy(anadolu, 'staleness', false),
		...await compareWithPlainPolicy(anadolu, 'staleness', true),
		...await compareDeferral(kivotos),
		...await compareDivisions(kivotos, 'idle'),
		...await compareDivisions(anadolu, 'staleness'),
	];
}
