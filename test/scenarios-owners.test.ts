import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkWholeSteps, createGrantCheck} from './checkers/edge-checkers.js';
import {addScenario} from './scenario-suite.js';

const test = suite('separate processes: owners');

addScenario(test, 'owner-killed', [checkWholeSteps]);
addScenario(test, 'owner-frozen', [checkWholeSteps]);
addScenario(test, 'claims-owner-frozen', []);
addScenario(test, 'shares-owner-frozen', [createGrantCheck(20)], record => {
	assert.ok(record.calls.some(call => call.status === 429), 'calls go beyond the grant');
});

test.run();
