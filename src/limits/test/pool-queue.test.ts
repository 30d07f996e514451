import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createDrainRate} from '../common/drain-rate.js';
import {createPoolQueue} from '../common/pool-queue.js';

const test = suite('pool queue');
const RUN_MS = 100;
const SLOTS = 10;
const CAPACITY_PER_SECOND = SLOTS * 1000 / RUN_MS;
const DEADLINE_MS = 1000;

type Sender = {readonly plan: string; readonly weight: number; readonly perSecond: number};

/** Runs senders against one pool; returns the number of answers in time by plan, over the second half of the run. */
async function runLoad(senders: readonly Sender[], queueDeadlineMs = DEADLINE_MS, runMsAt: (now: number) => number = () => RUN_MS) {
	const {clock, loop, advance} = createVirtualTime(createSeededRandom(1));
	const queue = createPoolQueue('pool', createDrainRate(RUN_MS), createSeededRandom(2));
	const inTime = new Map<string, number>();
	const refused: number[] = [];
	queue.setConcurrency(SLOTS);

	async function send(sender: Sender): Promise<void> {
		const sentAt = clock.monotonic();
		const started = await queue.enter({...sender, cost: 1, deadline: sentAt + queueDeadlineMs}, sentAt, new AbortController().signal);
		if (started.isErr()) {
			assert.is(started.error.effect, 'notRun');
			refused.push(started.error.retryAfterMs ?? 0);
			return;
		}

		await loop.sleep(runMsAt(clock.monotonic()));
		started.value.end(clock.monotonic());
		if (clock.monotonic() - sentAt <= DEADLINE_MS && clock.monotonic() > 10_000) {
			inTime.set(sender.plan, (inTime.get(sender.plan) ?? 0) + 1);
		}
	}

	const tasks = senders.map(sender => loop.every({
		name: sender.plan,
		periodMs: 1000 / sender.perSecond,
		jitterShare: 0.5,
		run() {
			void send(sender);
		},
	}));
	const ticks = loop.every({name: 'tick', periodMs: 20, run: queue.tick});
	await advance(20_000);
	tasks.forEach(task => {
		task.dispose();
	});
	await advance(5000);
	ticks.dispose();
	return {
		inTime: (plan: string) => inTime.get(plan) ?? 0, refused, queue,
	};
}

const goodput = async (load: number, queueDeadlineMs?: number) => {
	const {inTime} = await runLoad([{plan: 'a', weight: 1, perSecond: load * CAPACITY_PER_SECOND}], queueDeadlineMs);
	return inTime('a') / 10;
};

test('goodput at three times saturation stays at 90 % of the peak or above', async () => {
	const peak = Math.max(await goodput(0.9), await goodput(1));
	const overloaded = await goodput(3);
	assert.ok(overloaded >= 0.9 * peak, `${overloaded} of ${peak} requests a second`);
});

test('goodput falls below half of the peak when requests are not refused by deadline', async () => {
	const peak = Math.max(await goodput(0.9), await goodput(1));
	assert.ok(await goodput(3, 1_000_000) < 0.5 * peak);
});

test('goodput recovers after a period in which all answers came too late', async () => {
	const {inTime} = await runLoad([{plan: 'a', weight: 1, perSecond: 0.9 * CAPACITY_PER_SECOND}], DEADLINE_MS, now => now < 5000 ? 3 * DEADLINE_MS : RUN_MS);
	assert.ok(inTime('a') / 10 >= 0.8 * CAPACITY_PER_SECOND, `${inTime('a') / 10} requests a second`);
});

test('run times of cheap requests do not predict those of expensive ones', async () => {
	const rate = createDrainRate(RUN_MS);
	const queue = createPoolQueue('pool', rate, createSeededRandom(1));
	queue.setConcurrency(SLOTS);
	rate.recordCompletion(1, 60);
	const results = await Promise.all(Array.from({length: SLOTS}, async () => queue.enter({
		plan: 'a', weight: 1, cost: 300, deadline: 10_000,
	}, 0, new AbortController().signal)));
	assert.equal(results.map(started => started.isOk()), results.map(() => true));
});

test('the drain rate learns how run time grows with cost', () => {
	const rate = createDrainRate(RUN_MS);
	Array.from({length: 200}).forEach((_, index) => {
		const cost = 10 + (index % 50);
		rate.recordCompletion(cost, 500 + (10 * cost));
	});
	assert.ok(Math.abs(rate.runMs(100) - 1500) < 100, `${rate.runMs(100)} ms`);
	assert.ok(Math.abs(rate.waitMs({requests: 20, cost: 20 * 100}, 10) - 3000) < 200);
});

test('capacity is divided by weight, and unused capacity of a plan goes to the others', async () => {
	const both = await runLoad([{plan: 'a', weight: 3, perSecond: 2 * CAPACITY_PER_SECOND}, {plan: 'b', weight: 1, perSecond: 2 * CAPACITY_PER_SECOND}]);
	const ratio = both.inTime('a') / both.inTime('b');
	assert.ok(ratio > 2.4 && ratio < 3.6, `ratio ${ratio}`);
	const uneven = await runLoad([{plan: 'a', weight: 3, perSecond: 0.1 * CAPACITY_PER_SECOND}, {plan: 'b', weight: 1, perSecond: 3 * CAPACITY_PER_SECOND}]);
	assert.ok(uneven.inTime('a') > 0.09 * CAPACITY_PER_SECOND * 10, 'a small demand is met completely');
	assert.ok(uneven.inTime('b') > 0.8 * CAPACITY_PER_SECOND * 10, 'the rest goes to the others');
});

test('refusals contain a retry-after time, and the queue is empty at the end', async () => {
	const {refused, queue} = await runLoad([{plan: 'a', weight: 1, perSecond: 3 * CAPACITY_PER_SECOND}]);
	assert.ok(refused.length > 0 && refused.every(retryAfterMs => retryAfterMs > 0));
	assert.equal([queue.running(), queue.waiting()], [0, 0]);
});

test('a request whose caller aborts leaves the queue', async () => {
	const queue = createPoolQueue('pool', createDrainRate(RUN_MS), () => 0.5);
	const request = {
		plan: 'a', weight: 1, cost: 1, deadline: 10_000,
	};
	const controller = new AbortController();
	const first = await queue.enter(request, 0, new AbortController().signal);
	const waiting = queue.enter(request, 0, controller.signal);
	controller.abort();
	const given = await waiting;
	assert.is(given._unsafeUnwrapErr().code, 'aborted');
	assert.is(queue.waiting(), 0);
	first._unsafeUnwrap().end(10);
	assert.is(queue.running(), 0);
});

test.run();
