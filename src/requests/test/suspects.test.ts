import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Random} from '../../base/common/random.js';
import {createSuspectTable, type Crash} from '../common/suspect-table.js';
import {trustingGuard} from '../common/suspect-guard.js';
import {POISON} from './harness/suspect-servers.js';
import {
	checkSuspects, createSuspectWorld, type Breakage, type SuspectWorld,
} from './harness/suspect-world.js';

const test = suite('suspects');
const SEEDS = 100 * Number(process.env.FUZZ_FACTOR ?? 1);
const ROUNDS = 15;

const crash = (fingerprint: string, crashId: string, serverId = crashId): Crash => ({
	fingerprint, crashId, serverId, at: 0, alone: false, acquitted: false,
});
const pick = <T>(values: readonly T[], random: Random): T => values[Math.floor(random() * values.length)]!;

/** A caller that sends its request again, through any daemon; harmless callers wait as long as they are results. */
async function sendWithRetries(world: SuspectWorld, fingerprint: string, random: Random, left: number): Promise<void> {
	const result = await world.send(pick(world.daemonIds, random), fingerprint);
	if (result.isErr() && left > 1) {
		const retryAfterMs = fingerprint.startsWith(POISON) ? 0 : result.error.retryAfterMs ?? 0;
		await world.time.loop.sleep(retryAfterMs + (random() * 500));
		await sendWithRetries(world, fingerprint, random, left - 1);
	}
}

async function runSchedule(seed: number, breakage: Breakage = {}): Promise<SuspectWorld> {
	const random = createSeededRandom(seed);
	const world = createSuspectWorld(random, breakage);
	await world.time.advance(10);
	await Array.from({length: ROUNDS}).reduce<Promise<void>>(async (previous, _, round) => {
		await previous;
		if (random() < 0.15) {
			void sendWithRetries(world, `${POISON} ${round}`, random, 6);
		}

		void sendWithRetries(world, `harmless ${round}`, random, 10);
		void sendWithRetries(world, `harmless too ${round}`, random, 10);
		if (random() < 0.1) {
			void world.restart(pick(world.daemonIds, random));
		}

		await world.time.advance(random() * 500);
	}, Promise.resolve());
	await world.time.advance(40_000);
	return world;
}

const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);

async function countCaught(breakage: Breakage): Promise<number> {
	const worlds = await Promise.all(seeds.slice(0, 20).map(async seed => runSchedule(seed, breakage)));
	return worlds.filter(world => checkSuspects(world).length > 0).length;
}

test('stops a request after its second backend server, whoever runs it, and blames no other', async () => {
	const worlds = await Promise.all(seeds.map(async seed => ({seed, world: await runSchedule(seed)})));
	const wrong = worlds.flatMap(({seed, world}) => checkSuspects(world).map(fault => `seed ${seed}: ${fault}`));
	assert.equal(wrong, []);
	assert.ok(worlds.reduce((sum, {world}) => sum + world.crashes.length, 0) > SEEDS);
	const answered = new Set(worlds.flatMap(({seed, world}) => world.results.filter(entry => entry.result.isOk()).map(entry => `${seed} ${entry.fingerprint}`)));
	assert.is(answered.size, SEEDS * ROUNDS * 2, 'every harmless request is answered in the end');
});

test('is caught without the guard', async () => {
	assert.ok(await countCaught({guard: () => trustingGuard}) > 0);
});

test('is caught when daemons do not tell each other', async () => {
	assert.ok(await countCaught({isolated: true}) > 0);
});

test('is caught when servers that are back at once hide how long they have been running', async () => {
	assert.ok(await countCaught({hidesUptime: true}) > 0);
});

test('runs a request with one crash alone, and clears it once it is answered', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1')], 0);
	assert.is(table.check('f', 1)._unsafeUnwrap(), 'alone');
	assert.is(table.acquit('f', 2).length, 1);
	assert.is(table.check('f', 3)._unsafeUnwrap(), 'shared');
});

test('takes no acquittal for a request that is refused for good, in whatever order the books merge', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1'), crash('f', '2')], 0);
	assert.equal(table.acquit('f', 1), []);
	assert.equal(table.add([{...crash('f', '1'), acquitted: true}], 1), []);
	assert.is(table.check('f', 1e9)._unsafeUnwrapErr().effect, 'notRun');
});

test('clears a request whose crashes others are proven to have caused', () => {
	const table = createSuspectTable();
	table.add([crash('harmless', '1', 's1'), crash('guilty', '2', 's1'), crash('harmless', '3', 's2'), crash('other', '4', 's2')], 0);
	assert.ok(table.check('harmless', 1).isErr());
	table.add([crash('guilty', '5', 's3'), crash('other', '6', 's4')], 1);
	assert.is(table.check('harmless', 2)._unsafeUnwrap(), 'alone');
	assert.ok(table.check('guilty', 2).isErr());
	assert.ok(table.check('other', 2).isErr());
});

test('blames a request that ran alone, although another had killed the same server shortly before', () => {
	const table = createSuspectTable();
	table.add([crash('other', '1', 's1'), crash('other', '2', 's2'), crash('other', '3', 's3'), crash('f', '4', 's2'), crash('f', '5', 's1')], 0);
	assert.ok(table.check('f', 1).isOk(), 'both deaths have another cause');
	table.add([crash('g', '6', 's2'), {...crash('g', '7', 's1'), alone: true}], 0);
	assert.ok(table.check('g', 1).isErr());
});

test('ends the isolation of a request that nobody sends again', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1')], 0);
	assert.is(table.check('f', 700_000)._unsafeUnwrap(), 'shared');
});

test.run();
