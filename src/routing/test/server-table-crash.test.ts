import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createServerTable} from '../common/server-table.js';

const test = suite('server table after a crash');

test('a crash counts as one failure, however many requests it broke off', () => {
	const table = createServerTable(() => 'region');
	table.update([{
		id: 'engine-1', address: '127.0.0.1', port: 1, availabilityZone: 'zone', state: 'live', pool: 'pool',
	}], 0);
	Array.from({length: 16}).forEach(() => {
		table.recordFailure('engine-1', 100);
	});
	assert.not.ok(table.isUsable('engine-1', 1000));
	assert.ok(table.isUsable('engine-1', 1100));
});

test('a server is tried again at least every 4 s after crashes, however many', () => {
	const table = createServerTable(() => 'region');
	table.update([{
		id: 'engine-1', address: '127.0.0.1', port: 1, availabilityZone: 'zone', state: 'live', pool: 'pool',
	}], 0);
	Array.from({length: 10}, (_, index) => index * 5000).forEach(now => {
		table.recordFailure('engine-1', now);
		assert.ok(table.isUsable('engine-1', now + 4000));
	});
});

test('a server that has started again under its id is used at once', () => {
	const table = createServerTable(() => 'region');
	const vm = {
		id: 'engine-1', address: '127.0.0.1', port: 1, availabilityZone: 'zone', state: 'live', pool: 'pool',
	} as const;
	table.update([{...vm, startedAt: 1000}], 0);
	table.recordFailure('engine-1', 100);
	table.update([{...vm, startedAt: 1000}], 200);
	assert.not.ok(table.isUsable('engine-1', 200));
	table.update([{...vm, startedAt: 2000}], 300);
	assert.ok(table.isUsable('engine-1', 300));
});

test.run();
