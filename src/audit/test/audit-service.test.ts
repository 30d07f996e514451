import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {createMemoryStore, type StoreFault} from '../../adapters/common/memory-store.js';
import {createAuditService} from '../common/audit-service.js';

const test = suite('audit trail');

/** Maximum time that an entry waits: the period with its jitter, and the write. */
const MAXIMUM_WAIT_MS = 2700;

const order = {
	actor: 'entry-1', action: 'order-engine', subject: 'engine-1', fromVersion: 1, toVersion: 2, fencing: 3, detail: 'load',
} as const;

function createTestTrail(seed = 1) {
	const time = createVirtualTime(createSeededRandom(seed));
	const memory = createMemoryStore();
	let fault: StoreFault = 'none';
	const createTrail = (daemonId: string) => createAuditService({
		daemonId, store: memory.open(() => fault), loop: time.loop, clock: time.clock, log: silentLog,
	});
	const trail = createTrail('entry-1');
	return {
		time,
		memory,
		trail,
		setFault(value: StoreFault) {
			fault = value;
		},
		/** Reads the stored entries, as a daemon with an empty queue. */
		async readStored() {
			const read = await createTrail('entry-2').read({since: 0, limit: 1000});
			return read._unsafeUnwrap();
		},
	};
}

test('a single entry is in the store 100 ms later, so that it is not lost when the daemon is killed afterwards', async () => {
	const {time, trail, readStored} = createTestTrail();
	await time.advance(30_000);
	trail.record(order);
	await time.advance(101);
	const stored = await readStored();
	assert.is(stored.length, 1);
});

test('a daemon that is killed at any time loses at most the entries of the last period', async () => {
	await Array.from({length: 20}, (_, index) => index + 1).reduce(async (previous, seed) => {
		await previous;
		const {time, trail, readStored} = createTestTrail(seed);
		time.loop.every({
			name: 'order', periodMs: 50, run() {
				trail.record(order);
			},
		});
		await time.advance(30_000 + (100 * seed));
		const stored = await readStored();
		const waited = time.clock.wall() - stored.at(-1)!.at;
		assert.ok(waited <= MAXIMUM_WAIT_MS, `seed ${seed}: ${waited} ms of entries were lost`);
	}, Promise.resolve());
});

test('a daemon that records many entries writes at most once per period', async () => {
	const {time, memory, trail} = createTestTrail();
	time.loop.every({
		name: 'order', periodMs: 50, run() {
			trail.record(order);
		},
	});
	const before = memory.calls();
	await time.advance(60_000);
	assert.ok(memory.calls() - before <= 45, `${memory.calls() - before} calls`);
});

test('an orderly stop writes the queue, also when the first attempts fail', async () => {
	const {time, trail, setFault, readStored} = createTestTrail();
	trail.record(order);
	setFault('down');
	const drained = trail.drain();
	await time.advance(700);
	setFault('none');
	await time.advance(1000);
	const outcome = await drained;
	assert.ok(outcome.isOk());
	const stored = await readStored();
	assert.is(stored.length, 1);
});

test.run();
