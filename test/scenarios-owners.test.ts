import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {checkCompleteSteps, createGrantCheck} from './checkers/edge-checkers.js';
import {addScenario} from './scenario-suite.js';

const test = suite('separate processes: owners');

addScenario(test, 'owner-killed', [checkCompleteSteps]);
addScenario(test, 'owner-frozen', [checkCompleteSteps]);
addScenario(test, 'claims-owner-frozen', []);
addScenario(test, 'shares-owner-frozen', [createGrantCheck(20)], record => {
	assert.ok(record.calls.some(call => call.status === 429), 'calls exceed the grant, so some must be refused');
});

test.run();
