/** Delivery under random schedules of faults, and the same schedules with one mechanism replaced by a broken one. */
import process from 'node:process';
import {ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {hashToUint32} from '../../base/common/hash.js';
import type {StoreFault} from '../../adapters/common/memory-store.js';
import type {labelGeneration} from '../common/labels.js';
import {emptyLedger} from '../common/ledger.js';
import type {LedgerKeeper, LedgerWriter} from '../common/ledger-keeper.js';
import {checkDelivery} from './delivery-checker.js';
import type {BrokenMechanisms} from './rollout-daemon.js';
import {createRolloutWorld, type RolloutWorld, type WorldOptions} from './rollout-world.js';

const test = suite('rollout delivery');
const SEEDS = 40 * Number(process.env.FUZZ_FACTOR ?? 1);
const END_MS = 120_000;

type Fault = (world: RolloutWorld) => void;

const pick = <T>(world: RolloutWorld, items: readonly T[]) => items[Math.floor(world.random() * items.length)]!;

function setStoreFault(world: RolloutWorld, choose: () => StoreFault, durationMs: number): void {
	world.daemons.forEach(daemon => {
		daemon.fault = choose;
		world.time.loop.after(durationMs, () => {
			daemon.fault = () => 'none';
		});
	});
}

const faults: Readonly<Record<string, Fault>> = {
	kill(world) {
		world.killOwner();
	},
	pause(world) {
		world.pauseOwner();
	},
	/** The frozen owner wakes with a write under way just as its successor dies, and owns the trainer again. */
	pauseAndReturn(world) {
		world.pauseOwner(6000);
		world.time.loop.after(6050, () => {
			world.killOwner();
		});
	},
	lostAnswers(world) {
		setStoreFault(world, () => world.random() < 0.5 ? 'lostAnswer' : 'none', 4000);
	},
	outage(world) {
		setStoreFault(world, () => 'down', 6000);
	},
	publish(world) {
		world.publish();
	},
	crash(world) {
		pick(world, world.engines).crash(3000);
	},
	stall(world) {
		const engine = pick(world, world.engines);
		engine.setSpeed(0);
		world.time.loop.after(8000, () => {
			engine.setSpeed(1);
		});
	},
	badLoad(world) {
		pick(world, world.engines).setLoadFault(pick(world, ['fails', 'unexpected']));
	},
	hang(world) {
		pick(world, world.engines).setSpeed(0);
	},
	unlabelled(world) {
		const engine = pick(world, world.engines);
		engine.setLabelling(false);
		world.time.loop.after(3000, () => {
			engine.setLabelling(true);
		});
	},
};

/** Runs one world with faults at random times, ownership faults well apart; returns what the checker says. */
async function runWorld(options: WorldOptions, names: readonly string[]): Promise<readonly string[]> {
	const world = createRolloutWorld({steps: 2, ...options});
	world.start();
	names.forEach((name, index) => {
		world.time.loop.after(500 + (index * 5000) + (world.random() * 3000), () => {
			faults[name]!(world);
		});
	});
	await world.time.advance(END_MS);
	return checkDelivery(world.answers, world.expectation());
}

async function runSeeds(count: number, names: readonly string[], options: Omit<WorldOptions, 'seed'> = {}): Promise<readonly string[]> {
	const runs = Array.from({length: count}, (_, index) => index + 1);
	return runs.reduce<Promise<readonly string[]>>(async (previous, seed) => {
		const before = await previous;
		const found = await runWorld({...options, seed}, names);
		return [...before, ...found.map(problem => `seed ${seed}: ${problem}`)];
	}, Promise.resolve([]));
}

async function expectCaught(problem: RegExp, names: readonly string[], broken: BrokenMechanisms, options: Omit<WorldOptions, 'seed'> = {}): Promise<void> {
	const found = await runSeeds(10, names, {...options, broken});
	assert.ok(found.some(line => problem.test(line)), `the checker did not catch it: ${found.join('; ') || 'nothing found'}`);
}

test('delivers a step without faults', async () => {
	assert.equal(await runWorld({seed: 1}, []), []);
});

test('delivers exactly once, labelled and fresh, under each fault alone', async () => {
	const found = await Object.keys(faults).reduce<Promise<readonly string[]>>(async (previous, name) => {
		const before = await previous;
		const problems = await runSeeds(Math.ceil(SEEDS / 8), [name, name]);
		return [...before, ...problems.map(problem => `${name}: ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('delivers exactly once, labelled and fresh, under random mixtures of faults', async () => {
	const names = Object.keys(faults).filter(name => name !== 'hang');
	const found = await Array.from({length: SEEDS * 5}, (_, index) => index + 1000).reduce<Promise<readonly string[]>>(async (previous, seed) => {
		const before = await previous;
		const order = names.toSorted((a, b) => hashToUint32(`${seed}/${a}`) - hashToUint32(`${seed}/${b}`)).slice(0, 5);
		const problems = await runWorld({seed, enough: 0.8}, order);
		return [...before, ...problems.map(problem => `seed ${seed} (${order.join(', ')}): ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('delivers exactly once, labelled and fresh, when the trainer posts its next step ahead', async () => {
	const found = await ['kill', 'pause', 'publish', 'crash'].reduce<Promise<readonly string[]>>(async (previous, name) => {
		const before = await previous;
		const problems = await runSeeds(Math.ceil(SEEDS / 8), [name, 'publish', name], {steps: 3, postsAhead: true, stalenessBound: 1});
		return [...before, ...problems.map(problem => `${name}: ${problem}`)];
	}, Promise.resolve([]));
	assert.equal(found, []);
});

test('catches a step posted ahead that is handed over without the staleness rule', async () => {
	await expectCaught(/over its staleness bound/, ['publish', 'publish'], {schedule: {rule: {isFresh: () => true, oldestAllowed: () => 1}}}, {steps: 3, postsAhead: true, stalenessBound: 0});
});

test('catches a ledger that is written without a condition, by a paused owner', async () => {
	const write: LedgerWriter = async (store, written) => {
		const found = await store.read(written);
		return store.write({...written, ifVersion: found._unsafeUnwrap()?.version ?? 0});
	};

	await expectCaught(/different samples|several batches/, ['pauseAndReturn'], {write}, {maximumBatch: 2, groups: 40});
});

test('catches a ledger that is kept in memory only, when its owner dies', async () => {
	const createKeeper = (): LedgerKeeper => {
		let ledger = emptyLedger;
		return {
			open: async fencing => ok({...ledger, fencing}),
			async commit(changed) {
				ledger = changed;
				return ok(changed);
			},
		};
	};

	await expectCaught(/different samples|several batches/, ['kill', 'kill'], {createKeeper}, {maximumBatch: 2});
});

test('catches hand-over without the staleness rule', async () => {
	const rule = {isFresh: () => true, oldestAllowed: () => 1};
	await expectCaught(/over its staleness bound/, ['publish', 'publish', 'publish'], {schedule: {rule}}, {stalenessBound: 0});
});

test('catches labels that name only the version at the end, when weights are swapped in mid-stream', async () => {
	const label: typeof labelGeneration = ({text, tokens, ranges}) => {
		const version = ranges?.at(-1)?.version ?? 1;
		return {
			text, tokens, ranges: [{version, from: 0, to: tokens}], oldestVersion: version,
		};
	};

	await expectCaught(/names versions/, ['publish', 'publish'], {schedule: {label}});
});

test('catches streams that are never given up, when an engine hangs', async () => {
	await expectCaught(/has \d of 6 groups/, ['hang'], {schedule: {stallMs: Number.POSITIVE_INFINITY}});
});

test.run();
