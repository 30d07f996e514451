import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createNotRun, createOutcomeUnknown} from '../../base/common/failure.js';
import type {ResponseHead} from '../common/server-protocol.js';
import {
	classifyOutcome, decideAfterAttempt, type AttemptEnd, type AttemptState,
} from '../common/attempt-policy.js';

const test = suite('decision after an attempt');
const origin = {step: 'call', peer: 's1'};
const unknown: AttemptEnd = {kind: 'failure', failure: createOutcomeUnknown('unavailable', origin, 'reset')};
const notSent: AttemptEnd = {kind: 'failure', failure: createNotRun('unavailable', origin, 'refused')};

function answer(status: number, more: Partial<ResponseHead> = {}): AttemptEnd {
	return {
		kind: 'answer', head: {
			status, requestId: 'r', isNotRun: false, isOtherServer: false, isLeaving: false, limitPerSecond: undefined, load: undefined, signature: undefined, version: undefined, ...more,
		},
	};
}

function state(more: Partial<AttemptState> = {}): AttemptState {
	return {
		repeatability: 'idempotent', servers: 1, attempts: 3, remainingMs: 500, minimumAttemptMs: 20, ...more,
	};
}

test('a response is delivered', () => {
	assert.is(decideAfterAttempt(answer(200), state(), false), 'deliver');
	assert.is(decideAfterAttempt(answer(404), state(), false), 'deliver');
	assert.is(decideAfterAttempt(answer(500), state({repeatability: 'nonIdempotent'}), false), 'deliver');
});

test('an idempotent request is retried at another server after any failure, while attempts and time remain', () => {
	assert.is(decideAfterAttempt(unknown, state(), false), 'tryAgain');
	assert.is(decideAfterAttempt(answer(500), state(), false), 'tryAgain');
	assert.is(decideAfterAttempt(unknown, state({servers: 3}), true), 'fail');
	assert.is(decideAfterAttempt(unknown, state({remainingMs: 10}), true), 'fail');
	assert.is(decideAfterAttempt(answer(500), state({servers: 3}), true), 'deliver');
});

test('a request that is not idempotent is retried only when it certainly has not run', () => {
	const once = state({repeatability: 'nonIdempotent'});
	assert.is(decideAfterAttempt(notSent, once, false), 'tryAgain');
	assert.is(decideAfterAttempt(answer(503, {isNotRun: true}), once, false), 'tryAgain');
	assert.is(decideAfterAttempt(answer(421, {isOtherServer: true}), once, false), 'tryAgain');
	assert.is(decideAfterAttempt(unknown, once, false), 'fail');
});

test('a refusal is reported only when the request has run in no attempt', () => {
	const last = state({servers: 3});
	assert.is(decideAfterAttempt(answer(503, {isNotRun: true}), last, false), 'refuse');
	assert.is(decideAfterAttempt(answer(503, {isNotRun: true}), last, true), 'fail');
	assert.is(decideAfterAttempt(notSent, state({servers: 3, repeatability: 'nonIdempotent'}), false), 'refuse');
});

test('an attempt without a response is silent if its deadline passed or its caller left, and broken if its connection broke', () => {
	const none = {hasTimedOut: false, hasCallerLeft: false};
	assert.is(classifyOutcome(unknown, none), 'broken');
	assert.is(classifyOutcome(unknown, {...none, hasTimedOut: true}), 'silent');
	assert.is(classifyOutcome(unknown, {...none, hasCallerLeft: true}), 'silent');
	assert.is(classifyOutcome(notSent, {...none, hasTimedOut: true}), 'unclear');
	assert.is(classifyOutcome(answer(200), none), 'completed');
});

test.run();
