import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createMemoryStore, type StoreFault} from '../common/memory-store.js';
import {writeSettled} from '../common/settled-write.js';
import type {ConditionalWrite} from '../common/store.js';

const test = suite('settled write');

const write: ConditionalWrite = {
	kind: 'status', name: 'a', value: '1', ifVersion: 0, writeId: {writer: 'entry-1', sequence: '1'},
};

function openWithFaults(faults: readonly StoreFault[]) {
	const memory = createMemoryStore();
	const remaining = [...faults];
	return {memory, store: memory.open(() => remaining.shift() ?? 'none')};
}

test('recognises its own write when the response was lost', async () => {
	const {store} = openWithFaults(['lostAnswer']);
	const written = await writeSettled(store, write);
	assert.is(written._unsafeUnwrap().value, '1');
});

test('reports a conflict when another write was applied first', async () => {
	const {memory, store} = openWithFaults(['lostAnswer']);
	await memory.open().write({...write, writeId: {writer: 'entry-2', sequence: '1'}});
	const written = await writeSettled(store, write);
	assert.is(written._unsafeUnwrapErr().code, 'conflict');
});

test('does not report a write as not run when another write may have replaced it', async () => {
	const memory = createMemoryStore();
	const other = memory.open();
	const store = memory.open(call => {
		if (call === 'read') {
			void other.write({...write, ifVersion: 1, writeId: {writer: 'entry-2', sequence: '1'}});
			return 'none';
		}

		return 'lostAnswer';
	});
	const written = await writeSettled(store, write);
	assert.is(written._unsafeUnwrapErr().code, 'conflict');
	assert.is(written._unsafeUnwrapErr().effect, 'outcomeUnknown');
});

test('keeps the outcome unknown while the store cannot be read', async () => {
	const {store} = openWithFaults(['lostAnswer', 'down', 'down', 'down']);
	const written = await writeSettled(store, write);
	assert.is(written._unsafeUnwrapErr().effect, 'outcomeUnknown');
});

test.run();
