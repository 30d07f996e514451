import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEntryHistory} from '../common/entry-history.js';
import type {ServerEntry} from '../common/server-view.js';

const test = suite('history of server entries');
const entry = (id: string): ServerEntry => ({
	id, pool: 'p', address: '10.0.0.1', port: 80, availabilityZone: 'z', slots: 4, isLeaving: false, versions: new Map(), sequence: 1, startedAt: 1000,
});

test('the entry of a removed server is remembered for a minute', () => {
	const history = createEntryHistory();
	history.update([entry('a'), entry('b')], 0);
	history.update([entry('b')], 1000);
	assert.is(history.find('a')?.id, 'a');
	assert.not(history.isListed('a'));
	history.update([entry('b')], 62_000);
	assert.is(history.find('a'), undefined);
	assert.ok(history.isListed('b'));
});

test.run();
