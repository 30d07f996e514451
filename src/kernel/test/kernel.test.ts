import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Contribution} from '../common/contribution.js';
import {createKernel} from '../common/kernel.js';
import {silentLog} from '../common/log.js';
import {silentMetrics} from '../common/metrics.js';
import {createSystemClock} from '../../base/node/system-clock.js';
import {createTimerLoop} from '../node/timer-loop.js';

const test = suite('kernel');

function createRecordingContribution(notes: string[], id: string, requires: readonly string[]): Contribution {
	return {
		id,
		requires,
		start() {
			notes.push(`start ${id}`);
			return {
				async drain() {
					notes.push(`drain ${id}`);
				},
				dispose() {
					notes.push(`dispose ${id}`);
				},
			};
		},
	};
}

function createTestKernel(contributions: readonly Contribution[]) {
	const clock = createSystemClock();
	const surroundings = {
		clock, random: () => 0.5, loop: createTimerLoop(clock, () => 0.5, silentLog), log: silentLog, metrics: silentMetrics,
	};
	return createKernel(surroundings, contributions, () => undefined);
}

test('starts contributions after those they require, and stops them in reverse order', async () => {
	const notes: string[] = [];
	const kernel = createTestKernel([createRecordingContribution(notes, 'b', ['a']), createRecordingContribution(notes, 'a', [])]);
	const started = await kernel.start();
	assert.ok(started.isOk());
	await kernel.stop();
	assert.equal(notes, ['start a', 'start b', 'drain b', 'drain a', 'dispose b', 'dispose a']);
});

test('fails with the names of contributions whose requirements cannot be met', async () => {
	const kernel = createTestKernel([createRecordingContribution([], 'a', ['missing'])]);
	const started = await kernel.start();
	assert.match(started._unsafeUnwrapErr().message, /a \(requires missing\)/);
});

test('disposes started contributions when a later one fails', async () => {
	const notes: string[] = [];
	const broken: Contribution = {
		id: 'broken',
		requires: ['a'],
		start() {
			throw new Error('no address');
		},
	};
	const kernel = createTestKernel([createRecordingContribution(notes, 'a', []), broken]);
	const started = await kernel.start();
	assert.is(started._unsafeUnwrapErr().peer, 'broken');
	assert.equal(notes, ['start a', 'dispose a']);
});

test('calls `onDidStart` listeners after all contributions have started, in order of registration', async () => {
	const notes: string[] = [];
	const listening: Contribution = {
		id: 'a',
		requires: [],
		async start(context) {
			context.onDidStart(async () => {
				notes.push('open a');
			});
			return createRecordingContribution(notes, 'a', []).start(context);
		},
	};
	const kernel = createTestKernel([listening, createRecordingContribution(notes, 'b', ['a'])]);
	const started = await kernel.start();
	assert.ok(started.isOk());
	assert.equal(notes, ['start a', 'start b', 'open a']);
});

test('disposes all contributions when an `onDidStart` listener fails', async () => {
	const notes: string[] = [];
	const broken: Contribution = {
		id: 'broken',
		requires: ['a'],
		async start(context) {
			context.onDidStart(() => {
				throw new Error('port in use');
			});
			return createRecordingContribution(notes, 'broken', []).start(context);
		},
	};
	const kernel = createTestKernel([createRecordingContribution(notes, 'a', []), broken]);
	const started = await kernel.start();
	assert.is(started._unsafeUnwrapErr().message, 'port in use');
	assert.equal(notes, ['start a', 'start broken', 'dispose broken', 'dispose a']);
});

test.run();
