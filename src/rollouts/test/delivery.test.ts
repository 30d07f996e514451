/**
 * Checks the delivery guarantees under random schedules of faults. Further tests replace one mechanism by a faulty one, and
 * check that the checker detects it.
 */
import process from 'node:process';
import {ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {hashToUint32} from '../../base/common/hash.js';
import type {StoreFault} from '../../adapters/common/memory-store.js';
import type {labelGeneration} from '../common/labels.js';
import {emptyLedger} from '../common/ledger.js';
import type {LedgerStore, LedgerWriter} from '../common/ledger-store.js';
import {checkDelivery} from './delivery-checker.js';
import type {BrokenMechanisms} from './rollout-daemon.js';
import {createRolloutSimulation, type RolloutSimulation, type SimulationOptions} from './rollout-simulation.js';

const test = suite('rollout delivery');
const SEEDS = 40 * Number(process.env.FUZZ_FACTOR ?? 1);
const DURATION_MS = 120_000;

type Fault = (simulation: RolloutSimulation) => void;

const pick = <T>(simulation: RolloutSimulation, items: readonly T[]) => items[Math.floor(simulation.random() * items.length)]!;

function setStoreFault(simulation: RolloutSimulation, choose: () => StoreFault, durationMs: number): void {
	simulation.daemons.forEach(daemon => {
		daemon.fault = choose;
		simulation.time.loop.after(durationMs, () => {
			daemon.fault = () => 'none';
		});
	});
}

const faults: Readonly<Record<string, Fault>> = {
	kill(simulation) {
		simulation.crashOwner();
	},
	pause(simulation) {
		simulation.pauseOwner();
	},
	/** The paused owner resumes during a write, its successor crashes 50 ms later, and the first owner owns the trainer again. */
	pauseAndReturn(simulation) {
		simulation.pauseOwner(6000);
		simulation.time.loop.after(6050, () => {
			simulation.crashOwner();
		});
	},
	lostAnswers(simulation) {
		setStoreFault(simulation, () => simulation.random() < 0.5 ? 'lostAnswer' : 'none', 4000);
	},
	outage(simulation) {
		setStoreFault(simulation, () => 'down', 6000);
	},
	publish(simulation) {
		simulation.publish();
	},
	crash(simulation) {
		pick(simulation, simulation.engines).crash(3000);
	},
	stall(simulation) {
		const engine = pick(simulation, simulation.engines);
		engine.setSpeed(0);
		simulation.time.loop.after(8000, () => {
			engine.setSpeed(1);
		});
	},
	badLoad(simulation) {
		pick(simulation, simulation.engines).setLoadFault(pick(simulation, ['fails', 'unexpected']));
	},
	hang(simulation) {
		pick(simulation, simulation.engines).setSpeed(0);
	},
	unlabelled(simulation) {
		const engine = pick(simulation, simulation.engines);
		engine.setReportsVersions(false);
		simulation.time.loop.after(3000, () => {
			engine.setReportsVersions(true);
		});
	},
};

/**
 * Runs one simulation with the named faults at random times, one per window of 5 s, so that ownership faults are well apart.
 * Returns the violations that the checker finds.
 */
async function runSimulation(options: SimulationOptions, names: readonly string[]): Promise<readonly string[]> {
	const simulation = createRolloutSimulation({steps: 2, ...options});
	simulation.start();
	names.forEach((name, index) => {
		simulation.time.loop.after(500 + (index * 5000) + (simulation.random() * 3000), () => {
			faults[name]!(simulation);
		});
	});
	await simulation.time.advance(DURATION_MS);
	return checkDelivery(simulation.answers, simulation.expectation());
}

async function runSeeds(count: number, names: readonly string[], options: Omit<SimulationOptions, 'seed'> = {}): Promise<readonly string[]> {
	const runs = Array.from({length: count}, (_, index) => index + 1);
	return runs.reduce<Promise<readonly string[]>>(async (previous, seed) => {
		const before = await previous;
		const found = await runSimulation({...options, seed}, names);
		return [...before, ...found.map(problem => `seed ${seed}: ${problem}`)];
	}, Promise.resolve([]));
}

async function expectDetected(problem: RegExp, names: readonly string[], broken: BrokenMechanisms, options: Omit<SimulationOptions, 'seed'> = {}): Promise<void> {
	const found = await runSeeds(10, names, {...options, broken});
	assert.ok(found.some(line => problem.test(line)), `the checker did not detect the fault: ${found.join('; ') || 'nothing found'}`);
}

test('delivers all samples of two steps without faults', async () => {
	assert.equal(await runSimulation({seed: 1}, []), []);
});

test('delivers every sample exactly once, with correct versions and within the staleness bound, under each single fault', async () => {
	const found = await Object.keys(faults).reduce<Promise<readonly string[]>>(async (previous, name) => {
		const before = await previous;
		const problems = await runSeeds(Math.ceil(SEEDS / 8), [name, name]);
		return [...before, ...problems.map(problem => `${name}: ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('delivers every sample exactly once, with correct versions and within the staleness bound, under random combinations of faults', async () => {
	const names = Object.keys(faults).filter(name => name !== 'hang');
	const found = await Array.from({length: SEEDS * 5}, (_, index) => index + 1000).reduce<Promise<readonly string[]>>(async (previous, seed) => {
		const before = await previous;
		const order = names.toSorted((a, b) => hashToUint32(`${seed}/${a}`) - hashToUint32(`${seed}/${b}`)).slice(0, 5);
		const problems = await runSimulation({seed, enough: 0.8}, order);
		return [...before, ...problems.map(problem => `seed ${seed} (${order.join(', ')}): ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('delivers every sample exactly once, with correct versions and within the staleness bound, when the trainer posts the next step early', async () => {
	const found = await ['kill', 'pause', 'publish', 'crash'].reduce<Promise<readonly string[]>>(async (previous, name) => {
		const before = await previous;
		const problems = await runSeeds(Math.ceil(SEEDS / 8), [name, 'publish', name], {steps: 3, postsAhead: true, stalenessBound: 1});
		return [...before, ...problems.map(problem => `${name}: ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('the checker detects a missing staleness rule for a step that was posted early', async () => {
	await expectDetected(/over its staleness bound/, ['publish', 'publish'], {schedule: {rule: {isFresh: () => true, oldestAllowed: () => 1}}}, {steps: 3, postsAhead: true, stalenessBound: 0});
});

test('the checker detects ledger writes without a version condition, when a paused owner resumes', async () => {
	const write: LedgerWriter = async (store, written) => {
		const found = await store.read(written);
		return store.write({...written, ifVersion: found._unsafeUnwrap()?.version ?? 0});
	};

	await expectDetected(/different samples|several batches/, ['pauseAndReturn'], {write}, {maximumBatch: 2, groups: 40});
});

test('the checker detects a ledger that is kept in memory only, when the owner crashes', async () => {
	const createLedgerStore = (): LedgerStore => {
		let ledger = emptyLedger;
		return {
			open: async fencing => ok({...ledger, fencing}),
			async commit(changed) {
				ledger = changed;
				return ok(changed);
			},
		};
	};

	await expectDetected(/different samples|several batches/, ['kill', 'kill'], {createLedgerStore}, {maximumBatch: 2});
});

test('the checker detects a missing staleness rule', async () => {
	const rule = {isFresh: () => true, oldestAllowed: () => 1};
	await expectDetected(/over its staleness bound/, ['publish', 'publish', 'publish'], {schedule: {rule}}, {stalenessBound: 0});
});

test('the checker detects labels with only the last version, when an engine swaps weights during a stream', async () => {
	const label: typeof labelGeneration = ({text, tokens, ranges}) => {
		const version = ranges?.at(-1)?.version ?? 1;
		return {
			text, tokens, ranges: [{version, from: 0, to: tokens}], oldestVersion: version,
		};
	};

	await expectDetected(/names versions/, ['publish', 'publish'], {schedule: {label}});
});

test('the checker detects that stalled streams are never cancelled, when an engine hangs', async () => {
	await expectDetected(/has \d of 6 groups/, ['hang'], {schedule: {stallMs: Number.POSITIVE_INFINITY}});
});

test.run();
