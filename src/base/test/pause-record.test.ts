import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createPauseRecord} from '../common/pause-record.js';

const test = suite('record of pauses of the process');

test('a pause is noticed by the first call after it, by whichever clock went on', () => {
	const record = createPauseRecord({monotonic: 0, wall: 1000});
	assert.is(record.resumedAt({monotonic: 400, wall: 1400}), Number.NEGATIVE_INFINITY);
	assert.is(record.resumedAt({monotonic: 4400, wall: 5400}), 4400, 'the process was stopped');
	assert.is(record.resumedAt({monotonic: 4500, wall: 5500}), 4400);
	assert.is(record.resumedAt({monotonic: 4600, wall: 9500}), 4600, 'the VM was suspended');
	assert.is(record.resumedAt({monotonic: 4700, wall: 5700}), 4600, 'the wall clock was set back');
});

test.run();
