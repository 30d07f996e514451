import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findLimitViolations, type Excuse} from './checkers/limit-checker.js';
import {createLimitedFleet, GOAL_MS, type LimitedFleet} from './fakes/limited-fleet.js';

const test = suite('servers that limit their requests');
const SEEDS = 12 * Number(process.env.FUZZ_FACTOR ?? 1);

function countServed(fleet: LimitedFleet, kind: 'caller' | 'background', from: number): {readonly share: number; readonly inTime: number} {
	const answers = fleet.answers.filter(answer => answer.kind === kind && answer.sentAt >= from);
	const served = answers.filter(answer => answer.isServed);
	return {share: served.length / answers.length, inTime: served.filter(answer => answer.answeredAt - answer.sentAt <= GOAL_MS).length / answers.length};
}

// Incident docs/incidents/server-limits.md: a server got 51 requests in 4 s where its limit allowed 45, from daemons that knew the limit.
test('a limit that a server names holds for the sum of all daemons', async () => {
	const fleet = createLimitedFleet({daemons: 9, servers: 3, seed: 1});
	await fleet.play(5000, 25, 0.25);
	fleet.setLimit(0, 6.7);
	fleet.setLimit(1, 2.2);
	await fleet.play(20_000, 25, 0.25);
	assert.equal(findLimitViolations(fleet).slice(0, 3), []);
});

test('a limit is used, callers are served in time, and the others are refused at once with a time to return', async () => {
	const fleet = createLimitedFleet({daemons: 9, servers: 3, seed: 2});
	[0, 1, 2].forEach(index => {
		fleet.setLimit(index, 2.8);
	});
	await fleet.play(40_000, 14, 0.3);
	assert.equal(findLimitViolations(fleet).slice(0, 3), []);
	const arrived = fleet.arrivals.filter(arrival => arrival.at > 10_000).length / 30;
	assert.ok(arrived > 0.85 * 3 * 2.8, `${arrived.toFixed(1)} requests a second of 8.4`);
	const callers = countServed(fleet, 'caller', 10_000);
	assert.ok(callers.inTime > 0.85, `${callers.inTime.toFixed(2)} of the callers in time`);
	const refused = fleet.answers.filter(answer => answer.kind === 'caller' && !answer.isServed);
	assert.ok(refused.every(answer => answer.answeredAt - answer.sentAt < GOAL_MS), 'a caller that is refused does not wait for longer than its target');
	assert.ok(refused.every(answer => (answer.retryAfterMs ?? 0) > 0 && (answer.retryAfterMs ?? 0) < 2000));
});

test('servers without a limit take what the limited ones do not, and the limited ones are used again when it ends', async () => {
	const fleet = createLimitedFleet({
		daemons: 9, servers: 3, seed: 3, isSpread: true,
	});
	fleet.setLimit(0, 0.4);
	await fleet.play(20_000, 25, 0.3);
	assert.equal(findLimitViolations(fleet), []);
	assert.ok(countServed(fleet, 'caller', 5000).inTime > 0.99);
	fleet.setLimit(0, undefined);
	await fleet.play(12_000, 25, 0.3);
	const last = fleet.arrivals.filter(arrival => arrival.at > 28_000 && arrival.serverId === 's0').length;
	assert.ok(last > 15, `${last} requests in the last 4 s, of about 33`);
});

test('one daemon with all the demand can use nearly all of a limit', async () => {
	const fleet = createLimitedFleet({daemons: 9, servers: 1, seed: 4});
	fleet.setLimit(0, 5);
	await fleet.play(30_000, 20, 0.2, () => 'd3');
	assert.equal(findLimitViolations(fleet), []);
	assert.ok(fleet.arrivals.filter(arrival => arrival.at > 10_000).length > 0.85 * 5 * 20);
});

test('360 daemons obey limits below one request a second each', async () => {
	const fleet = createLimitedFleet({daemons: 360, servers: 40, seed: 5});
	await fleet.play(3000, 150, 0.5);
	Array.from({length: 40}).forEach((_, index) => {
		fleet.setLimit(index, index % 2 === 0 ? 0.7 : 2);
	});
	await fleet.play(15_000, 150, 0.5);
	assert.equal(findLimitViolations(fleet).slice(0, 3), []);
});

/** Plays changes of limits, restarts, crashes, pauses and joining daemons at random. */
async function playFaults(seed: number, isEnforced = true): Promise<{readonly fleet: LimitedFleet; readonly excuses: readonly Excuse[]}> {
	const fleet = createLimitedFleet({
		daemons: 7, servers: 3, seed, isSpread: seed % 2 === 0, isEnforced,
	});
	const {random, time} = fleet;
	const excuses: Excuse[] = [];
	const pick = (): string => fleet.names[Math.floor(random() * fleet.names.length)]!;
	const paused = new Map<string, number>();
	const down = new Map<string, number>();
	for (let round = 0; round < 40; round += 1) {
		const now = time.clock.monotonic();
		[...paused].filter(([, until]) => until <= now).forEach(([name]) => {
			fleet.network.unresponsive.delete(name);
			paused.delete(name);
		});
		[...down].filter(([, until]) => until <= now).forEach(([name]) => {
			fleet.start(name, String(round + 2));
			down.delete(name);
		});
		const draw = random();
		const name = pick();
		const until = now + 500 + (random() * 5000);
		if (draw < 0.25) {
			fleet.setLimit(Math.floor(random() * 3), [undefined, 0.3, 1.5, 4, 9][Math.floor(random() * 5)]);
		} else if (draw < 0.4 && !down.has(name)) {
			fleet.kill(name);
			down.set(name, until);
			excuses.push({daemon: name, from: now, until});
		} else if (draw < 0.5 && !down.has(name) && !paused.has(name)) {
			fleet.network.unresponsive.add(name);
			paused.set(name, until);
			excuses.push({daemon: name, from: now, until});
		} else if (draw < 0.55 && fleet.names.length < 12) {
			fleet.names.push(`d${fleet.names.length}`);
			fleet.start(fleet.names.at(-1)!, '1');
		}

		await fleet.play(300 + (random() * 1200), 30, 0.3, pick);
	}

	return {fleet, excuses};
}

Array.from({length: SEEDS}, (_, index) => index + 1).forEach(seed => {
	test(`limits hold while they change and daemons are killed, restarted, cut off and added, seed ${seed}`, async () => {
		const {fleet, excuses} = await playFaults(seed);
		assert.equal(findLimitViolations(fleet, excuses).slice(0, 3), []);
	});
});

test('without permits, the checker finds that limits are exceeded', async () => {
	const {fleet, excuses} = await playFaults(1, false);
	assert.ok(findLimitViolations(fleet, excuses).length > 0);
});

test.run();
