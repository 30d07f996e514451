import process from 'node:process';
import {ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Random} from '../../base/common/random.js';
import {Store} from '../../adapters/common/store.js';
import type {ClaimTransport} from '../common/claim-transport.js';
import {
	checkAtMostOnce, createClaimWorld, type BrokenMechanisms, type ClaimWorld,
} from './harness/claim-world.js';

const test = suite('at most once');
const SEEDS = 300 * Number(process.env.FUZZ_FACTOR ?? 1);
const KEYS = 6;

type Fault = (world: ClaimWorld, random: Random) => void;

const pick = <T>(values: readonly T[], random: Random): T => values[Math.floor(random() * values.length)]!;

const faults: readonly Fault[] = [
	(world, random) => {
		world.pause(pick(world.daemonIds, random), 200 + (random() * 6000));
	},
	(world, random) => {
		world.restart(pick(world.daemonIds, random));
	},
	(world, random) => {
		world.moveLease(pick(world.daemonIds, random), random() * 3000);
	},
	world => {
		world.store.down = !world.store.down;
	},
	(world, random) => {
		world.store.lostAnswerShare = random() * 0.5;
	},
	(world, random) => {
		world.setTransportLoss(random() * 0.3);
	},
];

async function runSchedule(seed: number, breakage: BrokenMechanisms = {}): Promise<ClaimWorld> {
	const random = createSeededRandom(seed);
	const world = createClaimWorld(random, breakage);
	await Array.from({length: 40}).reduce<Promise<void>>(async (previous, _, step) => {
		await previous;
		world.send(pick(world.daemonIds, random), `key ${Math.floor(random() * KEYS)}`, `send ${step}`);
		if (random() < 0.3) {
			pick(faults, random)(world, random);
		}

		await world.time.advance(random() * 500);
	}, Promise.resolve());
	world.store.down = false;
	await world.time.advance(20_000);
	return world;
}

const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);

async function countDetected(breakage: BrokenMechanisms): Promise<number> {
	const worlds = await Promise.all(seeds.slice(0, 40).map(async seed => runSchedule(seed, breakage)));
	return worlds.filter(world => checkAtMostOnce(world.record).length > 0).length;
}

test('a key runs at most once under random pauses, restarts, lease moves, store outages and lost messages', async () => {
	const worlds = await Promise.all(seeds.map(async seed => ({seed, world: await runSchedule(seed)})));
	const violations = worlds.flatMap(({seed, world}) => checkAtMostOnce(world.record).map(fault => `seed ${seed}: ${fault}`));
	assert.equal(violations, []);
	const executions = worlds.reduce((sum, {world}) => sum + world.record.executions.length, 0);
	assert.ok(executions > SEEDS, `only ${executions} executions in ${SEEDS} schedules`);
});

test('the checks detect claims that are granted without the owner', async () => {
	const transport = (inner: ClaimTransport): ClaimTransport => ({...inner, claim: async (_owner, _request, now) => ok({kind: 'granted', until: now + 2000})});
	assert.ok(await countDetected({transport}) > 0);
});

test('the checks detect claims that are written unconditionally', async () => {
	const store = (inner: Store): Store => new (class extends Store {
		override read: Store['read'] = async id => inner.read(id);
		override async write(write: Parameters<Store['write']>[0]) {
			const found = await inner.read(write);
			return inner.write({...write, ifVersion: found.map(object => object?.version ?? 0).unwrapOr(0)});
		}

		override remove: Store['remove'] = async removal => inner.remove(removal);
		override list: Store['list'] = async (kind, prefix) => inner.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => inner.watch(kind, listener);
	})();
	assert.ok(await countDetected({store}) > 0);
});

test('a repetition at another daemon and after a restart receives the first outcome', async () => {
	const world = createClaimWorld(() => 0.5);
	world.send('entry-1', 'key', 'first');
	await world.time.advance(1000);
	world.restart('entry-1');
	world.moveLease('entry-3', 0);
	world.send('entry-2', 'key', 'second');
	await world.time.advance(1000);
	assert.is(world.record.executions.length, 1);
	assert.equal(world.record.reports.map(report => report.result._unsafeUnwrap().replayed), [false, true]);
});

test('refuses a key with a different body, and every new key during a store outage, as not run', async () => {
	const world = createClaimWorld(() => 0.5);
	world.send('entry-1', 'key', 'first');
	await world.time.advance(1000);
	world.send('entry-1', 'key', 'other body', 'other');
	await world.time.advance(1000);
	world.store.down = true;
	world.send('entry-2', 'key 2', 'outage');
	await world.time.advance(5000);
	const failures = world.record.reports.slice(1).map(report => report.result._unsafeUnwrapErr());
	assert.equal(failures.map(failure => [failure.code, failure.effect]), [['conflict', 'notRun'], ['unavailable', 'notRun']]);
	assert.ok((failures[1]?.retryAfterMs ?? 0) > 0);
});

test('does not send a request after the window of its claim has ended', async () => {
	const world = createClaimWorld(() => 0.5, {windowMs: 300});
	world.send('entry-1', 'key', 'first');
	// The claim is being written at this time, and its result arrives after the pause.
	await world.time.advance(50);
	world.pause('entry-1', 500);
	await world.time.advance(1000);
	world.send('entry-2', 'key', 'second');
	await world.time.advance(20_000);
	assert.equal(world.record.executions.map(execution => execution.sendId), ['second']);
	assert.equal(checkAtMostOnce(world.record), []);
	assert.is(world.record.reports.find(report => report.sendId === 'first')?.result._unsafeUnwrapErr().effect, 'notRun');
});

test.run();
