import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createGenerationProgress} from '../common/generation-progress.js';
import {MAXIMUM_RESULTS_CHARACTERS} from '../common/text-parts.js';

const test = suite('texts without end');

// Issue 46, report of other operators: the bytes of a server in trouble filled the memory of the daemon. Events of an item were kept without a bound.
test('a text that goes on without end is dropped when no record of the log could hold it', () => {
	const progress = createGenerationProgress();
	progress.beginRun(1, 'v1');
	const data = 'x'.repeat(1000);
	const kept = Array.from({length: 10_000}, (_, index) => index + 1).findIndex(id => progress.add({id, data, version: 1}) !== undefined);
	assert.is(kept, Math.floor(MAXIMUM_RESULTS_CHARACTERS / (data.length + 1)));
	assert.equal([progress.lastEventId(), progress.text(), progress.memoryBytes()], [0, '', 0]);
	progress.beginRun(1, 'v1');
	assert.is(progress.add({id: 1, data, version: 1}), undefined, 'the next run begins anew');
});

test('events without characters are bounded too', () => {
	const progress = createGenerationProgress();
	progress.beginRun(1, 'v1');
	const kept = Array.from({length: MAXIMUM_RESULTS_CHARACTERS + 10}, (_, index) => index + 1).findIndex(id => progress.add({id, data: '', version: 1}) !== undefined);
	assert.is(kept, MAXIMUM_RESULTS_CHARACTERS);
});

test.run();
