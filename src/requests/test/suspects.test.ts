import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Random} from '../../base/common/random.js';
import {createSuspectTable, type Crash, type SuspectRules} from '../common/suspect-table.js';
import {permissiveGuard} from '../common/suspect-guard.js';
import {POISON} from './harness/suspect-servers.js';
import {
	checkSuspects, createSuspectWorld, type BrokenMechanisms, type SuspectWorld,
} from './harness/suspect-world.js';

const test = suite('suspects');
const SEEDS = 100 * Number(process.env.FUZZ_FACTOR ?? 1);
const ROUNDS = 15;

const crash = (fingerprint: string, crashId: string, serverId = crashId): Crash => ({
	fingerprint, crashId, serverId, at: 0, alone: false, acquitted: false,
});
const pick = <T>(values: readonly T[], random: Random): T => values[Math.floor(random() * values.length)]!;

/** Sends a request until it succeeds, at most `left` times, through random daemons; harmless requests wait for the retry-after time. */
async function sendWithRetries(world: SuspectWorld, fingerprint: string, random: Random, left: number): Promise<void> {
	const result = await world.send(pick(world.daemonIds, random), fingerprint);
	if (result.isErr() && left > 1) {
		const retryAfterMs = fingerprint.startsWith(POISON) ? 0 : result.error.retryAfterMs ?? 0;
		await world.time.loop.sleep(retryAfterMs + (random() * 500));
		await sendWithRetries(world, fingerprint, random, left - 1);
	}
}

async function runSchedule(seed: number, breakage: BrokenMechanisms = {}): Promise<SuspectWorld> {
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

async function countDetected(breakage: BrokenMechanisms): Promise<number> {
	const worlds = await Promise.all(seeds.slice(0, 20).map(async seed => runSchedule(seed, breakage)));
	return worlds.filter(world => checkSuspects(world).length > 0).length;
}

test('a request crashes at most two backend servers over all daemons, and no harmless request stays refused', async () => {
	const worlds = await Promise.all(seeds.map(async seed => ({seed, world: await runSchedule(seed)})));
	const violations = worlds.flatMap(({seed, world}) => checkSuspects(world).map(fault => `seed ${seed}: ${fault}`));
	assert.equal(violations, []);
	assert.ok(worlds.reduce((sum, {world}) => sum + world.crashes.length, 0) > SEEDS);
	const answered = new Set(worlds.flatMap(({seed, world}) => world.results.filter(entry => entry.result.isOk()).map(entry => `${seed} ${entry.fingerprint}`)));
	assert.is(answered.size, SEEDS * ROUNDS * 2, 'every harmless request is answered in the end');
});

test('the checks detect a missing guard', async () => {
	assert.ok(await countDetected({guard: () => permissiveGuard}) > 0);
});

test('the checks detect daemons that do not exchange crashes', async () => {
	assert.ok(await countDetected({isolated: true}) > 0);
});

test('the checks detect crashes missed because servers restart at once and do not report their uptime', async () => {
	assert.ok(await countDetected({hidesUptime: true}) > 0);
});

test('a request with one crash runs in isolation, and is cleared once it completes', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1')], 0);
	assert.is(table.check('f', 1)._unsafeUnwrap(), 'alone');
	assert.is(table.acquit('f', 2).length, 1);
	assert.is(table.check('f', 3)._unsafeUnwrap(), 'shared');
});

test('a permanently refused request is not cleared, neither directly nor by a merged crash', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1'), crash('f', '2')], 0);
	assert.equal(table.acquit('f', 1), []);
	assert.equal(table.add([{...crash('f', '1'), acquitted: true}], 1), []);
	assert.is(table.check('f', 1e9)._unsafeUnwrapErr().effect, 'notRun');
});

test('a request is not refused when other requests are proven to have caused its crashes', () => {
	const table = createSuspectTable();
	table.add([crash('harmless', '1', 's1'), crash('guilty', '2', 's1'), crash('harmless', '3', 's2'), crash('other', '4', 's2')], 0);
	assert.ok(table.check('harmless', 1).isErr());
	table.add([crash('guilty', '5', 's3'), crash('other', '6', 's4')], 1);
	assert.is(table.check('harmless', 2)._unsafeUnwrap(), 'alone');
	assert.ok(table.check('guilty', 2).isErr());
	assert.ok(table.check('other', 2).isErr());
});

test('refuses a request that crashed a server in isolation, although another request crashed the same server at the same time', () => {
	const table = createSuspectTable();
	table.add([crash('other', '1', 's1'), crash('other', '2', 's2'), crash('other', '3', 's3'), crash('f', '4', 's2'), crash('f', '5', 's1')], 0);
	assert.ok(table.check('f', 1).isOk(), 'other requests caused both crashes');
	table.add([crash('g', '6', 's2'), {...crash('g', '7', 's1'), alone: true}], 0);
	assert.ok(table.check('g', 1).isErr());
});

test('the isolation of a request ends when it is not sent again', () => {
	const table = createSuspectTable();
	table.add([crash('f', '1')], 0);
	assert.is(table.check('f', 700_000)._unsafeUnwrap(), 'shared');
});

const endingRules: SuspectRules = {
	crashesToRefuse: 3, isolatesSuspects: false, refusalMs: 60_000, commonRefusalMs: 5000, refusalGrowth: 4, maximumTrials: 2,
};

test('a refusal that ends is longer after each trial that crashed a server, and a completed request is cleared of all crashes', () => {
	const table = createSuspectTable(endingRules);
	table.add(['1', '2', '3'].map(id => crash('f', id)), 0);
	assert.is(table.check('f', 59_999)._unsafeUnwrapErr().retryAfterMs, 1);
	assert.is(table.check('f', 60_000)._unsafeUnwrap(), 'trial');
	table.add([{...crash('f', '4'), isTrial: true}], 61_000);
	assert.ok(table.check('f', 300_999).isErr());
	assert.ok(table.check('f', 301_000).isOk());
	assert.is(table.acquit('f', 301_001).length, 4);
	table.add([crash('f', '5')], 302_000);
	assert.ok(table.check('f', 302_001).isOk());
});

test('a request that crashes a server in each trial is refused for a day after the last one', () => {
	const table = createSuspectTable(endingRules);
	table.add(['1', '2', '3', '4', '5'].map(id => ({...crash('f', id), isTrial: Number(id) > 3})), 0);
	assert.ok(table.check('f', 86_399_999).isErr());
	assert.is(table.check('f', 86_400_000)._unsafeUnwrap(), 'trial');
});

test('a request that completes a trial is cleared also where others still refuse it', () => {
	const table = createSuspectTable(endingRules);
	const other = createSuspectTable(endingRules);
	table.add(['1', '2', '3', '4'].map(id => crash('f', id)), 0);
	other.add(['1', '2', '3', '4'].map(id => crash('f', id)), 0);
	assert.equal(table.acquit('f', 1), []);
	other.add(table.acquit('f', 1, true), 1);
	assert.is(table.check('f', 2)._unsafeUnwrap(), 'shared');
	assert.is(other.check('f', 2)._unsafeUnwrap(), 'shared');
});

test('a crash that was none is withdrawn while the request is refused', () => {
	const table = createSuspectTable(endingRules);
	table.add(['1', '2', '3'].map(id => crash('f', id)), 0);
	assert.is(table.withdraw(['2', 'unknown'], 1).length, 1);
	assert.is(table.check('f', 2)._unsafeUnwrap(), 'shared');
	assert.is(table.find('f').filter(({acquitted}) => !acquitted).length, 2);
});

test('a fault that ends many servers at once refuses what ran on all of them only for as long as three crashes do', () => {
	const table = createSuspectTable(endingRules);
	table.add(Array.from({length: 40}, (_, index) => ({...crash('f', `${index}`), isCommon: true})), 0);
	assert.ok(table.check('f', 4999).isErr());
	assert.is(table.check('f', 5000)._unsafeUnwrap(), 'trial');
});

test('crashes at a time when other servers crashed as well refuse a request for less long', () => {
	const table = createSuspectTable(endingRules);
	table.add([{...crash('f', '1'), isCommon: true}, {...crash('f', '2'), isCommon: true}, crash('f', '3')], 0);
	assert.ok(table.check('f', 4999).isErr());
	assert.ok(table.check('f', 5000).isOk());
});

test('crashes under many requests keep the table bounded', () => {
	const table = createSuspectTable(endingRules);
	table.add(Array.from({length: 12_000}, (_, index) => crash(`f${index}`, `${index}`)), 0);
	assert.is(table.list().length, 10_000);
});

test.run();
