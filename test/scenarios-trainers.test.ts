import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	checkAllSucceeded, checkAllSucceededUnlessSuspect, checkSamples, checkCompleteSteps,
} from './checkers/edge-checkers.js';
import {addViolationScenario, addScenario} from './scenario-suite.js';

const test = suite('separate processes: trainers');

addScenario(test, 'whole-path', [checkAllSucceeded, checkCompleteSteps], record => {
	assert.is(record.calls.filter(call => call.replayed).length, 8);
	assert.equal(record.standins['weight-store']?.latest, {diag: 2});
});
addScenario(test, 'store-down', [checkCompleteSteps], record => {
	const whileDown = record.calls.filter(call => call.body.includes('down-')).slice(0, 4);
	assert.equal(whileDown.map(call => /"effect":"(\w+)"/.exec(call.answer)?.[1]), ['notRun', 'notRun', 'notRun', 'notRun']);
	assert.equal(whileDown.map(call => call.status), [503, 503, 503, 503]);
	assert.ok(record.calls.filter(call => call.route.endsWith('/patterns')).every(call => call.status === 200));
});
addScenario(test, 'rolling-restart', [checkCompleteSteps], record => {
	assert.equal(record.exits.map(exit => exit.code), [0, 0, 0]);
	const billing = record.calls.filter(call => call.route.endsWith('/stock/count'));
	const others = record.calls.filter(call => !call.route.endsWith('/stock/count'));
	assert.equal(checkAllSucceeded({...record, calls: [...others, ...billing.slice(-18)]}), []);
});
addScenario(test, 'trainer-moves-on', [checkCompleteSteps]);
addViolationScenario(test, 'trainer-moves-on', checkSamples, {
	name: 'a trainer publishes two further weight versions in mid-step, and the settings permit samples that are up to 1,000 versions old',
	settings: {
		trainers: [{
			name: 'diag-trainer', pool: 'diag-models', model: 'diag', scoring: 'rater', stalenessBound: 1000,
		}],
	},
});
addScenario(test, 'swap-failure', [checkAllSucceeded, checkCompleteSteps], record => {
	const engines = ['engine-1', 'engine-2', 'engine-3'].map(name => record.standins[name]!);
	assert.ok(engines.flatMap(engine => engine.orders).length >= 5, 'failed swaps are ordered again');
	assert.equal(engines.map(engine => engine.status?.models[0]?.version), [2, 2, 2]);
});
addScenario(test, 'engine-crash', [checkAllSucceededUnlessSuspect, checkCompleteSteps]);

test.run();
