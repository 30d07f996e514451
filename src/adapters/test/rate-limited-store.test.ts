import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createMemoryStore} from '../common/memory-store.js';
import {createRateLimitedStore} from '../common/rate-limited-store.js';

const test = suite('rate-limited store');

/** Maximum number of calls in the first second after an outage. */
const FIRST_SECOND_CALLS = 15;

const id = {kind: 'status', name: 'a'} as const;

function createTestStore(callsPerSecond: number, create = createRateLimitedStore) {
	const time = createVirtualTime();
	const memory = createMemoryStore();
	let isDown = false;
	const store = create(memory.open(() => (isDown ? 'down' : 'none')), {
		callsPerSecond, clock: time.clock, loop: time.loop, random: createSeededRandom(1), metrics: silentMetrics,
	});
	const callMany = (count: number) => {
		Array.from({length: count}).forEach(() => {
			void store.read(id);
		});
	};

	return {
		time,
		memory,
		store,
		callMany,
		setDown(value: boolean) {
			isDown = value;
		},
	};
}

test('allows a burst of one second of calls, delays as many for up to 1 s and refuses the rest as not run', async () => {
	const {time, memory, store, callMany} = createTestStore(10);
	callMany(30);
	await time.advance(1);
	assert.is(memory.calls(), 10);
	const refused = await store.read(id);
	assert.is(refused._unsafeUnwrapErr().effect, 'notRun');
	assert.is(refused._unsafeUnwrapErr().retryAfterMs, 1000);
	await time.advance(1000);
	assert.is(memory.calls(), 20);
});

/** Counts the calls that reach the store in each second after an outage of a minute, while 400 per second are attempted. */
async function countAfterOutage({time, memory, callMany, setDown}: ReturnType<typeof createTestStore>): Promise<readonly number[]> {
	setDown(true);
	callMany(10);
	await time.advance(60_000);
	setDown(false);
	const perSecond: number[] = [];
	await Array.from({length: 12}).reduce<Promise<void>>(async previous => {
		await previous;
		const before = memory.calls();
		await Array.from({length: 10}).reduce<Promise<void>>(async step => {
			await step;
			callMany(40);
			await time.advance(100);
		}, Promise.resolve());
		perSecond.push(memory.calls() - before);
	}, Promise.resolve());
	return perSecond;
}

test('starts with a low rate after an outage and doubles it', async () => {
	const perSecond = await countAfterOutage(createTestStore(100));
	assert.ok(perSecond[0]! <= FIRST_SECOND_CALLS, `first second: ${perSecond[0]} calls`);
	assert.ok(perSecond[2]! <= 60, `third second: ${perSecond[2]} calls`);
	assert.ok(perSecond.at(-1)! >= 95, `last second: ${perSecond.at(-1)} calls`);
});

test('without the rate limit, the check fails: a thundering herd calls the store in the first second after an outage', async () => {
	const perSecond = await countAfterOutage(createTestStore(100, inner => inner));
	assert.ok(perSecond[0]! > FIRST_SECOND_CALLS, `first second: ${perSecond[0]} calls`);
});

test.run();
