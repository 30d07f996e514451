import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createDrainRate} from '../common/drain-rate.js';
import {createPoolQueue} from '../common/pool-queue.js';

const test = suite('pool queue');
const RUN_MS = 100;
const SLOTS = 10;
const CAPACITY = SLOTS * 1000 / RUN_MS;
const DEADLINE_MS = 1000;

type Sender = {readonly plan: string; readonly weight: number; readonly perSecond: number};

/** Runs senders against one pool; returns answers in time by plan, over the second half of the run. */
async function runLoad(senders: readonly Sender[], toldDeadlineMs = DEADLINE_MS, runMsAt: (now: number) => number = () => RUN_MS) {
	const {clock, loop, advance} = createVirtualTime(createSeededRandom(1));
	const queue = createPoolQueue('pool', createDrainRate(RUN_MS), createSeededRandom(2));
	const inTime = new Map<string, number>();
	const refused: number[] = [];
	queue.setConcurrency(SLOTS);

	async function send(sender: Sender): Promise<void> {
		const sentAt = clock.monotonic();
		const place = await queue.enter({...sender, cost: 1, deadline: sentAt + toldDeadlineMs}, sentAt, new AbortController().signal);
		if (place.isErr()) {
			assert.is(place.error.effect, 'notRun');
			refused.push(place.error.retryAfterMs ?? 0);
			return;
		}

		await loop.sleep(runMsAt(clock.monotonic()));
		place.value.end(clock.monotonic());
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

const goodput = async (load: number, toldDeadlineMs?: number) => {
	const {inTime} = await runLoad([{plan: 'a', weight: 1, perSecond: load * CAPACITY}], toldDeadlineMs);
	return inTime('a') / 10;
};

test('keeps its goodput at three times saturation', async () => {
	const peak = Math.max(await goodput(0.9), await goodput(1));
	const overloaded = await goodput(3);
	assert.ok(overloaded >= 0.9 * peak, `${overloaded} of ${peak} requests a second`);
});

test('is caught without refusal by deadline', async () => {
	const peak = Math.max(await goodput(0.9), await goodput(1));
	assert.ok(await goodput(3, 1_000_000) < 0.5 * peak);
});

test('gets its goodput back after a time in which all answers came too late', async () => {
	const {inTime} = await runLoad([{plan: 'a', weight: 1, perSecond: 0.9 * CAPACITY}], DEADLINE_MS, now => now < 5000 ? 3 * DEADLINE_MS : RUN_MS);
	assert.ok(inTime('a') / 10 >= 0.8 * CAPACITY, `${inTime('a') / 10} requests a second`);
});

test('divides capacity by weight, and gives an idle part to the others', async () => {
	const both = await runLoad([{plan: 'a', weight: 3, perSecond: 2 * CAPACITY}, {plan: 'b', weight: 1, perSecond: 2 * CAPACITY}]);
	const ratio = both.inTime('a') / both.inTime('b');
	assert.ok(ratio > 2.4 && ratio < 3.6, `ratio ${ratio}`);
	const uneven = await runLoad([{plan: 'a', weight: 3, perSecond: 0.1 * CAPACITY}, {plan: 'b', weight: 1, perSecond: 3 * CAPACITY}]);
	assert.ok(uneven.inTime('a') > 0.09 * CAPACITY * 10, 'a small demand is met in full');
	assert.ok(uneven.inTime('b') > 0.8 * CAPACITY * 10, 'the rest goes to the others');
});

test('says when to return, and ends empty', async () => {
	const {refused, queue} = await runLoad([{plan: 'a', weight: 1, perSecond: 3 * CAPACITY}]);
	assert.ok(refused.length > 0 && refused.every(retryAfterMs => retryAfterMs > 0));
	assert.equal([queue.running(), queue.waiting()], [0, 0]);
});

test('gives up the place of a caller that goes away', async () => {
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
