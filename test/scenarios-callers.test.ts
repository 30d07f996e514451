import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkAllSucceeded, checkAtMostOnce} from './checkers/edge-checkers.js';
import {addViolationScenario, addScenario} from './scenario-suite.js';

const test = suite('separate processes: callers');

addScenario(test, 'graceful-stop', [checkAllSucceeded], record => {
	assert.equal(record.exits, [{member: 'entry-1', code: 0}]);
});
addViolationScenario(test, 'graceful-stop', checkAllSucceeded, {name: 'a daemon receives SIGTERM, and its settings leave running requests only 1 ms to finish', settings: {requests: {drainMs: 1}}});
addScenario(test, 'billing-after-kill', []);
addViolationScenario(test, 'billing-declared-idempotent', checkAtMostOnce);

addScenario(test, 'crashing-request', [], record => {
	const crashed = Object.values(record.standins).flatMap(standin => standin.streams).filter(stream => stream.outcome === 'crashed');
	assert.is(crashed.length, 2);
	assert.equal(record.calls.slice(1).map(call => call.status), [422, 422, 422]);
	assert.ok(record.calls.slice(1).every(call => call.answer.includes('urn:rosemaryshore:suspect')));
});

test.run();
