import process from 'node:process';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSystemClock} from '../../base/node/system-clock.js';
import {silentLog} from '../common/log.js';
import {createTimerLoop} from '../node/timer-loop.js';
import {logUncaughtErrors} from '../node/uncaught-errors.js';

const test = suite('errors that nothing has handled');

function createErrorLog() {
	const errors: string[] = [];
	return {
		errors, log: {
			...silentLog, error(message: string, fields?: Readonly<Record<string, unknown>>) {
				errors.push(`${message}: ${String(fields?.error)}`);
			},
		},
	};
}

// Issue 37, review/2: an error in the listener of a response ended the daemon, with all requests that it had passed on.
test('errors and rejections are logged, and the process goes on', async () => {
	const {errors, log} = createErrorLog();
	const handlers = logUncaughtErrors(log);
	process.nextTick(() => {
		throw new Error('in a listener');
	});
	void Promise.reject(new Error('in a promise'));
	await nextTurn();
	await nextTurn();
	handlers.dispose();
	assert.is(errors.length, 2);
	assert.match(errors.join('\n'), /Error: in a listener/);
	assert.match(errors.join('\n'), /Error: in a promise/);
});

test('a timer that throws is logged, and the loop goes on', async () => {
	const {errors, log} = createErrorLog();
	const loop = createTimerLoop(createSystemClock(), Math.random, log);
	loop.after(0, () => {
		throw new Error('in a timer');
	});
	await loop.sleep(10);
	assert.match(errors.join('\n'), /timer failed: Error: in a timer/);
});

test.run();
