import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findCrashViolations, STABLE_MS} from './checkers/crash-checker.js';
import {createCrashingFleet, POISON, type CrashingFleet} from './fakes/crashing-fleet.js';

const test = suite('requests that crash servers');
const SEEDS = 20 * Number(process.env.FUZZ_FACTOR ?? 1);

async function repeat(times: number, action: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: times}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await action(index);
	}, Promise.resolve());
}

/** Sends a request at random daemons, once per `periodMs`. */
async function sendAgain(fleet: CrashingFleet, content: string, times: number, periodMs = 1000): Promise<void> {
	await repeat(times, async () => {
		void fleet.send(content);
		await fleet.time.advance(periodMs);
	});
}

function countRefusals(fleet: CrashingFleet, content: string): number {
	return fleet.answers.filter(answer => answer.content === content && answer.result.isErr() && answer.result.error.code === 'suspect').length;
}

// Incident docs/incidents/crash-requests.md: a request that had crashed three servers was sent to servers again and again, by any daemon.
test('a request that has crashed three servers reaches no more than three others, through whichever daemon it comes', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 1});
	await sendAgain(fleet, `${POISON} 1`, 30);
	assert.equal(findCrashViolations(fleet), []);
	const refused = fleet.answers.filter(answer => answer.result.isErr() && answer.result.error.code === 'suspect' && answer.result.error.effect === 'notRun');
	assert.ok(refused.length > 20, `${refused.length} refusals`);
	assert.ok(refused.every(answer => answer.answeredAt - answer.sentAt < 5), 'a request that is refused is answered at once');
	assert.ok(refused.every(answer => answer.result.isErr() && (answer.result.error.retryAfterMs ?? 0) > 0));
});

test('one attempt of a caller ends after the third crash, also where its route allows more servers', async () => {
	const fleet = createCrashingFleet({
		daemons: 2, servers: 12, seed: 2, attempts: 8,
	});
	const answer = fleet.send(`${POISON} 1`);
	await fleet.time.advance(4000);
	assert.is(fleet.crashes.length, 3);
	assert.is((await answer)?.result._unsafeUnwrapErr().effect, 'outcomeUnknown', 'the attempt itself has run');
});

test('a request is refused after all daemons were killed', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 3});
	await sendAgain(fleet, `${POISON} 1`, 6);
	const crashes = fleet.crashes.length;
	fleet.restart(fleet.names, 1500);
	await fleet.time.advance(2500);
	await sendAgain(fleet, `${POISON} 1`, 20);
	assert.is(fleet.crashes.length, crashes);
});

test('a request that has crashed two servers is remembered while all daemons are killed', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 4});
	await sendAgain(fleet, `${POISON} 1`, 1);
	assert.is(fleet.crashes.length, 2);
	fleet.restart(fleet.names, 1500);
	await fleet.time.advance(2500);
	await sendAgain(fleet, `${POISON} 1`, 10);
	assert.is(fleet.crashes.length, 3);
});

test('all daemons know a request that is refused while the store is away, also those that start then', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 5});
	fleet.cutFromStore(fleet.names, 60_000);
	await sendAgain(fleet, `${POISON} 1`, 2);
	await fleet.time.advance(1000);
	assert.ok(fleet.names.every(name => fleet.daemons.get(name)!.table.check(`${POISON} 1`, fleet.time.clock.monotonic()).isErr()));
	fleet.restart(['d1', 'd4'], 1000);
	await fleet.time.advance(1000 + STABLE_MS);
	assert.ok(fleet.names.every(name => fleet.daemons.get(name)!.table.check(`${POISON} 1`, fleet.time.clock.monotonic()).isErr()));
});

test('a daemon that was cut off from the others hears of refused requests when it returns', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 6});
	fleet.cutFromPeers(['d2'], 12_000);
	await sendAgain(fleet, `${POISON} 1`, 6);
	await fleet.time.advance(6000 + STABLE_MS);
	assert.ok(fleet.daemons.get('d2')!.table.check(`${POISON} 1`, fleet.time.clock.monotonic()).isErr());
});

test('innocent requests that a burst of crashes broke are served within seconds of its end', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 6, seed: 7});
	const sendAll = () => {
		Array.from({length: 12}).forEach((_, index) => {
			void fleet.send(`innocent ${index}`);
		});
	};

	await repeat(30, async index => {
		sendAll();
		await fleet.time.advance(40);
		fleet.crash(fleet.servers[index % 6]!, 400);
		await fleet.time.advance(300);
	});
	const calmAt = fleet.time.clock.monotonic() + 8000;
	await fleet.time.advance(8000);
	sendAll();
	await fleet.time.advance(3000);
	const answers = fleet.answers.filter(answer => answer.sentAt >= calmAt);
	assert.is(answers.length, 12);
	assert.ok(answers.every(answer => answer.result.isOk()));
});

test('a stream that crashes servers is refused like a plain request', async () => {
	const fleet = createCrashingFleet({
		daemons: 5, servers: 12, seed: 10, attempts: 3,
	});
	await repeat(10, async () => {
		void fleet.send(`${POISON} 1`, undefined, 'stream');
		await fleet.time.advance(1000);
	});
	assert.is(fleet.crashes.length, 3);
	assert.ok(countRefusals(fleet, `${POISON} 1`) >= 8);
});

test('requests that never count as the cause are not refused', async () => {
	const fleet = createCrashingFleet({daemons: 3, servers: 6, seed: 8});
	await repeat(8, async () => {
		void fleet.send('scoring', 'd0', 'exempt');
		await fleet.time.advance(20);
		fleet.servers.forEach(server => {
			fleet.crash(server, 300);
		});
		await fleet.time.advance(2500);
	});
	assert.is(countRefusals(fleet, 'scoring'), 0);
	assert.ok(fleet.names.every(name => fleet.daemons.get(name)!.table.isEmpty()));
});

test('360 daemons know a refused request within the bound, at a few calls each', async () => {
	const fleet = createCrashingFleet({daemons: 360, servers: 40, seed: 9});
	await fleet.time.advance(5000);
	const before = fleet.network.traffic();
	await sendAgain(fleet, `${POISON} 1`, 4);
	const calls = fleet.network.traffic().calls - before.calls;
	assert.ok(fleet.names.every(name => fleet.daemons.get(name)!.table.check(`${POISON} 1`, fleet.time.clock.monotonic()).isErr()));
	assert.ok(calls < 360 * 5, `${calls} calls`);
});

/** Plays crashing requests beside innocent ones, bursts of crashes, restarts and partitions at random. */
async function playFaults(seed: number, isGuarded = true): Promise<CrashingFleet> {
	const fleet = createCrashingFleet({
		daemons: 7, servers: 10, seed, attempts: 1 + (seed % 4), isGuarded,
	});
	const {random} = fleet;
	const pick = () => fleet.names[Math.floor(random() * fleet.names.length)]!;
	await repeat(60, async () => {
		const draw = random();
		if (draw < 0.06) {
			fleet.restart(draw < 0.02 ? fleet.names : [pick()], 300 + (random() * 1500));
		} else if (draw < 0.1) {
			fleet.cutFromStore(draw < 0.08 ? fleet.names : [pick()], 500 + (random() * 6000));
		} else if (draw < 0.13) {
			fleet.cutFromPeers([pick()], 500 + (random() * 6000));
		} else if (draw < 0.2) {
			fleet.crash(fleet.servers[Math.floor(random() * fleet.servers.length)]!, 400 + (random() * 2000));
		}

		void fleet.send(`${POISON} ${Math.floor(random() * 2)}`);
		void fleet.send(`innocent ${Math.floor(random() * 30)}`);
		void fleet.send(`innocent ${Math.floor(random() * 30)}`);
		await fleet.time.advance(300 + (random() * 800));
	});
	await fleet.time.advance(65_000);
	await repeat(30, async index => {
		void fleet.send(`innocent ${index}`);
		await fleet.time.advance(100);
	});
	await fleet.time.advance(3000);
	return fleet;
}

Array.from({length: SEEDS}, (_, index) => index + 1).forEach(seed => {
	test(`crashing requests are refused and innocent ones served in the end, while daemons are killed and cut off, seed ${seed}`, async () => {
		const fleet = await playFaults(seed);
		assert.equal(findCrashViolations(fleet), []);
		const served = new Set(fleet.answers.filter(answer => answer.result.isOk()).slice(-30).map(answer => answer.content));
		assert.is(served.size, 30, 'no innocent request stays refused');
	});
});

test('without the guard, the checker finds requests that crash servers without end', async () => {
	const fleets = await Promise.all([1, 2, 3].map(async seed => playFaults(seed, false)));
	assert.ok(fleets.every(fleet => findCrashViolations(fleet).length > 0));
});

test.run();
