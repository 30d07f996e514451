import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createScoringBackoff} from '../common/scoring-backoff.js';

const test = suite('delays of scoring calls');

test('a call under which servers crash is repeated less and less often, and at the usual pace after a response', () => {
	const backoff = createScoringBackoff();
	const delays = Array.from({length: 9}, () => backoff.nextDelayMs(true));
	assert.equal(delays, [150, 150, 150, 300, 600, 1200, 2000, 2000, 2000]);
	assert.is(backoff.nextDelayMs(false), 150);
	assert.is(backoff.nextDelayMs(true), 150);
});

test.run();
