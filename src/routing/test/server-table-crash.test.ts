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

test.run();
