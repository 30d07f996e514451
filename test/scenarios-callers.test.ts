import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkAllSucceeded, checkAtMostOnce} from './checkers/edge-checkers.js';
import {addCaught, addScenario} from './scenario-suite.js';

const test = suite('separate processes: callers');

addScenario(test, 'graceful-stop', [checkAllSucceeded], record => {
	assert.equal(record.exits, [{member: 'entry-1', code: 0}]);
});
addScenario(test, 'billing-after-kill', []);
addCaught(test, 'billing-declared-idempotent', checkAtMostOnce);

test.run();
