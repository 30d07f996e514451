import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {renderGeneration} from '../../standins/node/deterministic-text.js';
import type {StreamEntry} from '../../standins/node/engine-standin.js';
import type {ReceivedBatch, ReceivedSample, TrainerRecord} from '../../standins/node/trainer-standin.js';
import {hasMetGuarantees, evaluateStep} from '../node/demo/report.js';

const test = suite('demo report');

const stream: StreamEntry = {
	engine: 'engine-1', requestId: 'r', model: 'notes', prompt: 'p', seed: 7, resumedFrom: 0, startedAt: 0, tokens: 4, outcome: 'ended',
};
const versions = [{version: 1, from: 0, to: 2}, {version: 2, from: 2, to: 4}];

function createSample(id: string, change: Partial<ReceivedSample> = {}): ReceivedSample {
	return {
		id, group: 0, text: renderGeneration(stream, versions), tokens: 4, versions, oldestVersion: 1, ...change,
	};
}

function evaluate(samples: readonly ReceivedSample[], weightVersion = 2) {
	const batches: readonly ReceivedBatch[] = samples.map((sample, index) => ({
		step: 1, batch: index + 1, samples: [sample], done: false, weightVersion,
	}));
	const record: TrainerRecord = {
		step: {
			step: 1, weightVersion: 1, prompts: ['p'], samplesPerGroup: 2, maximumTokens: 4, limitMs: 1,
		},
		batches, done: true, errors: [], idleMs: 3,
	};
	return evaluateStep(record, [stream], 1);
}

test('accepts complete, fresh and correctly labelled samples', () => {
	const figures = evaluate([createSample('a'), createSample('b')]);
	assert.ok(hasMetGuarantees(figures));
	assert.equal([figures.asked, figures.delivered, figures.fromNewWeights, figures.mixedVersions], [2, 2, 2, 2]);
});

const faults: ReadonlyArray<readonly [name: string, samples: readonly ReceivedSample[], weightVersion: number]> = [
	['a missing sample', [createSample('a')], 2],
	['a sample that was delivered twice', [createSample('a'), createSample('b'), createSample('a')], 2],
	['a sample beyond the staleness bound, even if its own oldestVersion is within it', [createSample('a', {oldestVersion: 2}), createSample('b')], 3],
	['a wrong version label', [createSample('a', {versions: [{version: 2, from: 0, to: 4}]}), createSample('b')], 2],
	['the text of another prompt', [createSample('a', {group: 1}), createSample('b')], 2],
];

faults.forEach(([name, samples, weightVersion]) => {
	test(`detects ${name}`, () => {
		assert.not(hasMetGuarantees(evaluate(samples, weightVersion)));
	});
});

test.run();
