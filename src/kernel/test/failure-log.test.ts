import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createNotRun} from '../../base/common/failure.js';
import {createFailureLog} from '../common/failure-log.js';
import {silentLog, type LogFields} from '../common/log.js';

const test = suite('failure log');

const failure = createNotRun('unavailable', {step: 'list VMs', peer: 'platform'}, 'no answer');

function createTestLog() {
	const lines: Array<readonly [string, string, LogFields | undefined]> = [];
	const log = createFailureLog({
		...silentLog,
		info(message, fields) {
			lines.push(['info', message, fields]);
		},
		warn(message, fields) {
			lines.push(['warn', message, fields]);
		},
	}, 'VM list');
	return {lines, log};
}

test('a step that fails every second for three minutes logs its first failure, one line per minute and its recovery', () => {
	const {lines, log} = createTestLog();
	log.succeed(0);
	Array.from({length: 180}, (_, second) => second * 1000).forEach(now => {
		log.fail(failure, now);
	});
	log.succeed(180_000);
	log.succeed(181_000);
	assert.equal(lines.map(([level, message]) => `${level}: ${message}`), [
		'warn: VM list not read', 'warn: VM list not read', 'warn: VM list not read', 'info: VM list read again',
	]);
	assert.equal(lines.map(line => line[2]?.failures), [1, 60, 60, undefined]);
	assert.is(lines.at(-1)?.[2]?.failedForMs, 180_000);
});

test('a failure after a success is logged immediately', () => {
	const {lines, log} = createTestLog();
	log.fail(failure, 0);
	log.succeed(1000);
	log.fail(failure, 2000);
	assert.equal(lines.map(([level]) => level), ['warn', 'info', 'warn']);
});

test.run();
