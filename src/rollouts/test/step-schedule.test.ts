/** The schedule of one step: which streams it starts, hedges, cancels and resumes. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLengthForecast} from '../common/length-forecast.js';
import type {ScheduleOptions} from '../common/schedule-options.js';
import {createStepSchedule} from '../common/step-schedule.js';
import type {StreamBudget, ScheduleAction, StartAction} from '../common/stream-actions.js';

const test = suite('step schedule');

const budget: StreamBudget = {
	slots: 8, spare: 0, allowed: ['e1', 'e2'], weightVersion: 5,
};

function createSchedule(prompts: readonly string[], options: Partial<ScheduleOptions> = {}) {
	const forecast = options.forecast ?? createLengthForecast();
	const request = {
		trainer: 't', step: 1, weightVersion: 5, prompts, samplesPerGroup: 1, stalenessBound: 1, enough: undefined, maximumTokens: 1000, deadlineMs: undefined,
	};
	return createStepSchedule({
		request, forecast, stalenessBound: 1, required: prompts.length, attemptPrefix: 'a', stallMs: 1000, canHedge: true, canResume: true, longestFirst: true, ...options,
	});
}

const isStart = (action: ScheduleAction): action is StartAction => action.kind === 'start';
const startsOf = (actions: readonly ScheduleAction[]) => actions.filter(isStart);

function stream(schedule: ReturnType<typeof createSchedule>, attemptId: string, serverId: string, tokens: number, now: number): void {
	schedule.recordDispatched(attemptId, serverId);
	schedule.recordChunk(attemptId, {text: 'x'.repeat(tokens), tokens, version: 5}, now);
}

test('starts the samples with the longest expected length first, and none of a surplus group', () => {
	const forecast = createLengthForecast();
	['short', 'long', 'longest'].forEach((prompt, index) => {
		forecast.record(forecast.keyOf(prompt), 100 * (index + 1));
	});
	const schedule = createSchedule(['short', 'long', 'longest'], {forecast, required: 2});
	assert.equal(startsOf(schedule.decide(0, budget)).map(start => start.prompt), ['long', 'short']);
});

test('resumes a stalled stream on another engine from the tokens generated so far', () => {
	const schedule = createSchedule(['p']);
	const [first] = startsOf(schedule.decide(0, budget));
	stream(schedule, first!.attemptId, 'e1', 10, 100);
	const actions = schedule.decide(1200, budget);
	const [resumed] = startsOf(actions);
	assert.equal(actions[0], {kind: 'cancel', attemptId: first!.attemptId});
	assert.equal([resumed!.resumeFrom?.tokens, resumed!.excluded], [10, ['e1']]);
});

test('discards a partial text that exceeds the staleness bound, and starts the sample from the beginning', () => {
	const schedule = createSchedule(['p']);
	const [first] = startsOf(schedule.decide(0, budget));
	stream(schedule, first!.attemptId, 'e1', 10, 100);
	const [again] = startsOf(schedule.decide(200, {...budget, weightVersion: 7}));
	assert.is(again!.resumeFrom, undefined);
});

/** Completes a fast sample while a slow one runs, so that a second stream is expected to save time for the slow one. */
function createSlowStream() {
	const schedule = createSchedule(['fast', 'slow']);
	const starts = startsOf(schedule.decide(0, budget));
	const [fast, slow] = ['fast', 'slow'].map(prompt => starts.find(start => start.prompt === prompt)!.attemptId);
	[100, 200, 300, 400].forEach(now => {
		stream(schedule, fast!, 'e1', 50, now);
	});
	[100, 400, 700, 1000].forEach(now => {
		stream(schedule, slow!, 'e2', 2, now);
	});
	schedule.recordComplete(fast!, {
		requestId: fast!, text: 'x'.repeat(200), tokens: 200, ranges: [{version: 5, from: 0, to: 200}], finish: 'stop',
	}, 400);
	return {schedule, slow: slow!};
}

test('hedges a slow stream, and cancels the first stream when the second one completes', () => {
	const {schedule, slow} = createSlowStream();
	const [hedge] = startsOf(schedule.decide(1000, budget));
	assert.equal([hedge!.prompt, hedge!.excluded], ['slow', ['e2']]);
	stream(schedule, hedge!.attemptId, 'e1', 2, 1100);
	schedule.recordComplete(hedge!.attemptId, {
		requestId: hedge!.attemptId, text: 'x'.repeat(10), tokens: 10, ranges: [{version: 5, from: 0, to: 10}], finish: 'stop',
	}, 1100);
	assert.equal(schedule.decide(1200, budget), [{kind: 'cancel', attemptId: slow}]);
});

test('starts no other second stream before the retry-after time of a refused one', () => {
	const {schedule} = createSlowStream();
	const [hedge] = startsOf(schedule.decide(1000, budget));
	schedule.recordFailed(hedge!.attemptId, {kind: 'refused', retryAfterMs: 500}, 1000);
	assert.equal(schedule.decide(1000, budget), []);
	assert.is(startsOf(schedule.decide(1500, budget)).length, 1);
});

// Issue 25, second report: several engines crashed in a burst under one sound sample, which was then never placed again.
test('a sample under which engines crashed is placed again, however often', () => {
	const schedule = createSchedule(['unlucky', 'good'], {required: 2});
	schedule.decide(0, {...budget, slots: 0});
	['e1', 'e2', 'e3', 'e4', 'e5', 'e6'].forEach((serverId, index) => {
		const start = startsOf(schedule.decide(index * 10_000, budget)).find(entry => entry.prompt === 'unlucky');
		assert.ok(start !== undefined, `the sample is started again after ${index} crashes`);
		schedule.recordDispatched(start.attemptId, serverId);
		schedule.recordFailed(start.attemptId, {kind: 'died', retryAfterMs: 0}, index * 10_000);
	});
	const last = startsOf(schedule.decide(70_000, budget)).find(entry => entry.prompt === 'unlucky');
	assert.ok(last !== undefined, 'the sample is started again after all is calm');
	assert.equal(last.excluded, ['e5', 'e6']);
});

test.run();
