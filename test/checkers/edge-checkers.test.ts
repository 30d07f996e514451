import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {renderGeneration} from '../../src/standins/node/deterministic-text.js';
import type {ReceivedSample, TrainerStep} from '../../src/standins/node/trainer-standin.js';
import type {CallEntry, EdgeRecord, StandinRecord} from '../edge-record.js';
import {
	checkAllSucceededUnlessSuspect, checkAnswered, checkAtMostOnce, checkConfiguration, checkFencing, checkNotRun, checkOwnAnswers, checkSamples,
	checkCompleteSteps, createGrantCheck, safetyCheckers, type Checker,
} from './edge-checkers.js';

const test = suite('edge checkers');

const source = {
	model: 'diag', prompt: 'note 0', seed: 5, outcome: 'ended', engine: 'engine-1',
};
const versions = [{version: 1, from: 0, to: 3}, {version: 2, from: 3, to: 5}];
const sample: ReceivedSample = {
	id: 's1', group: 0, text: renderGeneration(source, versions), tokens: 5, versions, oldestVersion: 1,
};
const step: TrainerStep = {
	step: 1, weightVersion: 1, prompts: ['note 0'], samplesPerGroup: 1, maximumTokens: 5, limitMs: 1,
};
const call: CallEntry = {
	daemon: 'entry-1', route: 'POST /v1/services/rounds-app/stock/count', key: 'k', body: '{"order":"1"}',
	status: 200, replayed: false, sentAt: 0, answeredAt: 10, answer: String.raw`{"echo":"{\"order\":\"1\"}"}`,
};
const run = {body: call.body, worker: 'worker-1'};
const engine: StandinRecord = {
	streams: [source], calls: [], runs: [], latest: {}, orders: [],
};
const worker: StandinRecord = {
	streams: [], calls: [{body: call.body, route: 'POST /stock/count'}], runs: [run], latest: {}, orders: [],
};

function createRecord(samples: readonly ReceivedSample[], calls: readonly CallEntry[], runs = [run]): EdgeRecord {
	const batches = [{
		step: 1, batch: 1, samples: [...samples], done: true, weightVersion: 2,
	}];
	return {
		calls, steps: [{
			step, batches, done: true, errors: [], idleMs: 0,
		}], exits: [], configurations: [], killed: [], standins: {'engine-1': engine, 'worker-1': {...worker, runs}}, logs: '',
	};
}

test('the checkers find no violation in a record in which all guarantees hold', () => {
	assert.equal([...safetyCheckers, checkCompleteSteps].flatMap(check => check(createRecord([sample], [call]))), []);
});

const refused = {...call, status: 503, answer: '{"effect":"notRun"}'};
const violatingRecords: ReadonlyArray<readonly [string, Checker, EdgeRecord]> = [
	['a sample delivered twice', checkSamples, createRecord([sample, sample], [])],
	['a sample with a wrong version label', checkSamples, createRecord([{...sample, versions: [{version: 2, from: 0, to: 5}], oldestVersion: 2}], [])],
	['a sample with a wrong oldest version', checkSamples, createRecord([{...sample, oldestVersion: 2}], [])],
	['a sample older than the staleness bound', checkSamples, {
		...createRecord([], []), steps: [{
			step: {...step, stalenessBound: 0}, batches: [{
				step: 1, batch: 1, samples: [sample], done: true, weightVersion: 2,
			}], done: true, errors: [], idleMs: 0,
		}],
	}],
	['a missing sample', checkCompleteSteps, createRecord([], [])],
	['a second run of a billing call', checkAtMostOnce, createRecord([], [call], [run, run])],
	['a successful answer without a run', checkAtMostOnce, createRecord([], [call], [])],
	['an answer to another request', checkOwnAnswers, createRecord([], [{...call, body: '{"order":"2"}'}])],
	['a call that ran, but was refused as notRun', checkNotRun, createRecord([], [refused])],
	['an order with an old fencing number', checkFencing, {
		...createRecord([], []), standins: {'engine-1': {...engine, orders: [{version: 2, fencing: 5, verdict: 'accepted'}, {version: 2, fencing: 4, verdict: 'accepted'}]}},
	}],
	['a configuration that reverts to an older version', checkConfiguration, {
		...createRecord([], []), configurations: [{daemon: 'entry-1', version: 2}, {daemon: 'entry-2', version: 1}, {daemon: 'entry-1', version: 1}],
	}],
	['calls beyond the grant', createGrantCheck(1), createRecord([], [call, {...call, sentAt: 5, answeredAt: 15}])],
	['a call without a response', checkAnswered, createRecord([], [{...call, status: 0, answer: 'outcomeUnknown'}])],
];
const refusedAsSuspect: CallEntry = {
	...call, route: 'POST /v1/models/diag-models/completions', body: '{"prompt":"note 0"}', status: 422, answer: '{"type":"urn:rosemaryshore:suspect","effect":"outcomeUnknown"}',
};
const crashed: StandinRecord = {...engine, streams: [{...source, outcome: 'crashed'}]};

test('a refusal as suspect is accepted only when two engines crashed while they ran the request', () => {
	const record = createRecord([], [refusedAsSuspect]);
	const once = {...record, standins: {'engine-1': crashed, 'engine-2': engine}};
	const twice = {...record, standins: {'engine-1': crashed, 'engine-2': crashed}};
	assert.is(checkAllSucceededUnlessSuspect(once).length, 1);
	assert.equal(checkAllSucceededUnlessSuspect(twice), []);
	assert.is(checkAllSucceededUnlessSuspect({...twice, calls: [{...refusedAsSuspect, status: 503}]}).length, 1);
});

violatingRecords.forEach(([what, checker, record]) => {
	test(`the checker finds ${what}`, () => {
		assert.ok(checker(record).length > 0);
	});
});

test.run();
