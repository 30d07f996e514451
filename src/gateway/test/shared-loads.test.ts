import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLoadEstimate} from '../../routing/common/load-estimate.js';
import {createSharedLoads} from '../common/shared-loads.js';

const test = suite('shared loads');

const createLoads = () => createSharedLoads(createLoadEstimate(() => 8), id => id.startsWith('e'));

test('the generations of other owners are added to the load of an engine', () => {
	const loads = createLoads();
	loads.beginDispatch('e1', 0);
	loads.applyReport('d2', {e1: 3}, 0);
	loads.applyReport('d3', {e1: 2, e2: 1}, 0);
	assert.is(loads.read('e1', 100).likelyRequests, 6);
	assert.is(loads.read('e2', 100).likelyRequests, 1);
});

test('only the newest report of an owner counts, until it expires', () => {
	const loads = createLoads();
	loads.applyReport('d2', {e1: 5}, 0);
	loads.applyReport('d2', {}, 500);
	assert.is(loads.read('e1', 600).likelyRequests, 0);
	loads.applyReport('d2', {e1: 5}, 1000);
	assert.is(loads.read('e1', 9000).likelyRequests, 0);
});

test('reported generations of other owners count in full, without the decay that applies to short requests', () => {
	const loads = createLoads();
	loads.report('e1', {
		running: 8, queued: 4, slots: 8, tokensPerSecond: 0, ageMs: 0,
	}, 0);
	loads.applyReport('d2', {e1: 8}, 1000);
	assert.is(loads.read('e1', 2000).likelyRequests, 8);
});

test('the estimate of a server that is not an engine is unchanged', () => {
	const loads = createLoads();
	loads.applyReport('d2', {p1: 4}, 0);
	loads.beginDispatch('p1', 0);
	assert.is(loads.read('p1', 10).likelyRequests, 1);
});

test.run();
