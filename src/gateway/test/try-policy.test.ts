import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createNotRun, createOutcomeUnknown} from '../../base/common/failure.js';
import type {AnswerHead} from '../common/server-protocol.js';
import {decideAfterTry, type TryEnd, type TryState} from '../common/try-policy.js';

const test = suite('decision after a try');
const origin = {step: 'call', peer: 's1'};
const unknown: TryEnd = {kind: 'failure', failure: createOutcomeUnknown('unavailable', origin, 'reset')};
const notSent: TryEnd = {kind: 'failure', failure: createNotRun('unavailable', origin, 'refused')};

function answer(status: number, more: Partial<AnswerHead> = {}): TryEnd {
	return {
		kind: 'answer', head: {
			status, requestId: 'r', isNotRun: false, isOtherServer: false, isLeaving: false, load: undefined, signature: undefined, version: undefined, ...more,
		},
	};
}

function state(more: Partial<TryState> = {}): TryState {
	return {
		repeatability: 'idempotent', servers: 1, attempts: 3, remainingMs: 500, shortestTryMs: 20, ...more,
	};
}

test('an answer is delivered', () => {
	assert.is(decideAfterTry(answer(200), state(), false), 'deliver');
	assert.is(decideAfterTry(answer(404), state(), false), 'deliver');
	assert.is(decideAfterTry(answer(500), state({repeatability: 'nonIdempotent'}), false), 'deliver');
});

test('an idempotent request is tried elsewhere after any failure, within its attempts and its time', () => {
	assert.is(decideAfterTry(unknown, state(), false), 'tryAgain');
	assert.is(decideAfterTry(answer(500), state(), false), 'tryAgain');
	assert.is(decideAfterTry(unknown, state({servers: 3}), true), 'fail');
	assert.is(decideAfterTry(unknown, state({remainingMs: 10}), true), 'fail');
	assert.is(decideAfterTry(answer(500), state({servers: 3}), true), 'deliver');
});

test('another request is tried elsewhere only when it certainly has not run', () => {
	const once = state({repeatability: 'nonIdempotent'});
	assert.is(decideAfterTry(notSent, once, false), 'tryAgain');
	assert.is(decideAfterTry(answer(503, {isNotRun: true}), once, false), 'tryAgain');
	assert.is(decideAfterTry(answer(421, {isOtherServer: true}), once, false), 'tryAgain');
	assert.is(decideAfterTry(unknown, once, false), 'fail');
});

test('a refusal is said only when no try may have run', () => {
	const last = state({servers: 3});
	assert.is(decideAfterTry(answer(503, {isNotRun: true}), last, false), 'refuse');
	assert.is(decideAfterTry(answer(503, {isNotRun: true}), last, true), 'fail');
	assert.is(decideAfterTry(notSent, state({servers: 3, repeatability: 'nonIdempotent'}), false), 'refuse');
});

test.run();
