import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkFencing, checkCompleteSteps} from './checkers/edge-checkers.js';
import {addViolationScenario, addScenario} from './scenario-suite.js';

const test = suite('separate processes: partitions');

addScenario(test, 'partition', [checkCompleteSteps], record => {
	const last = record.calls.slice(-24);
	assert.equal(last.map(call => call.status), last.map(() => 200));
	assert.ok(record.calls.filter(call => call.route.endsWith('/patterns')).every(call => call.status === 200));
});
addScenario(test, 'late-order', [], record => {
	assert.ok(Object.values(record.standins).flatMap(standin => standin.orders).some(order => order.verdict === 'fenced'));
});
addViolationScenario(test, 'late-order', checkFencing, {name: 'a late order of a previous owner reaches engines that ignore fencing numbers', engines: {fencing: 'ignored', loadMs: 500}});

test.run();
