import {
	closeSync, mkdtempSync, openSync, readFileSync, readSync, rmSync, writeSync,
} from 'node:fs';
import {execFileSync} from 'node:child_process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findFreePorts} from '../../base/node/free-ports.js';
import type {Log} from '../common/log.js';
import {createBudgetedLog, createLogBudget} from '../common/log-budget.js';
import {createLineSink} from '../node/line-sink.js';
import {createPrometheusMetrics, serveMetrics} from '../node/prometheus-metrics.js';

const test = suite('logs and metrics of a hosted daemon');

function createRecorder() {
	const lines: Array<{readonly message: string; readonly fields: unknown}> = [];
	const write = (message: string, fields?: unknown) => {
		lines.push({message, fields});
	};

	const log: Log = {
		debug: write, info: write, warn: write, error: write, child: () => log,
	};
	return {lines, log};
}

test('ten times the allowed rate writes no more lines than the budget, and reports what was omitted', () => {
	let now = 0;
	const {lines, log} = createRecorder();
	const budgeted = createBudgetedLog(log, createLogBudget({routinePerSecond: 100, failuresPerSecond: 50}), {monotonic: () => now, wall: () => now});
	Array.from({length: 10_000}).forEach(() => {
		now += 1;
		budgeted.info('run started', {itemId: 'x'});
	});
	const written = lines.filter(line => line.message === 'run started').length;
	assert.ok(written <= 1101, `${written} lines in 10 s`);
	const leftOut = lines.filter(line => line.message === 'log lines left out').map(line => (line.fields as {leftOut: Record<string, number>}).leftOut['run started'] ?? 0);
	assert.ok(leftOut.length >= 9);
	// Lines omitted in the last second would be reported with the next line, so they are missing here.
	assert.ok(written + leftOut.reduce((sum, count) => sum + count, 0) > 9000);
});

test('failures are still written when the budget of routine lines is exhausted', () => {
	const {lines, log} = createRecorder();
	const budgeted = createBudgetedLog(log, createLogBudget({routinePerSecond: 5, failuresPerSecond: 5}), {monotonic: () => 0, wall: () => 0});
	Array.from({length: 100}).forEach(() => {
		budgeted.info('run started');
	});
	budgeted.info('run ended', {reason: 'reset'});
	budgeted.warn('lost the object store');
	assert.ok(lines.some(line => line.message === 'run ended'));
	assert.ok(lines.some(line => line.message === 'lost the object store'));
});

test('a reader that does not read does not block the daemon, and lines are dropped and counted', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'sink-'));
	const pipe = path.join(folder, 'pipe');
	execFileSync('mkfifo', [pipe]);
	// Opening the pipe for reading and writing gives it a reader, which never reads.
	const descriptor = openSync(pipe, 'r+');
	const sink = createLineSink(descriptor);
	const startedAt = performance.now();
	Array.from({length: 20_000}).forEach((_, index) => {
		sink.write(`${'x'.repeat(90)} ${index}\n`);
	});
	assert.ok(performance.now() - startedAt < 2000, 'writing does not wait for the reader');
	const timerRuns: number[] = [];
	const timer = setInterval(() => {
		timerRuns.push(performance.now());
	}, 10);
	await delay(200);
	clearInterval(timer);
	assert.ok(timerRuns.length > 5, 'timers still run while the reader is blocked');
	// Empties the pipe until the sink has written all buffered lines.
	const reader = openSync(pipe, 'r+');
	const chunk = new Uint8Array(1_000_000);
	const decoder = new TextDecoder();
	let outputText = '';
	const flushed: boolean[] = [];
	sink.write('last\n');
	sink.flush(() => {
		flushed.push(true);
		// Ends the blocking read below, which would otherwise wait for more data.
		writeSync(descriptor, '\n');
	});
	const until = performance.now() + 5000;
	while (performance.now() < until && flushed.length === 0) {
		outputText += decoder.decode(chunk.subarray(0, readSync(reader, chunk, 0, chunk.length, null)));
		await delay(5);
	}

	assert.equal(flushed, [true]);
	assert.match(outputText, /"message":"log lines dropped","dropped":1\d{4}/);
	closeSync(reader);
	closeSync(descriptor);
	rmSync(folder, {recursive: true});
});

test('writes complete lines to a file in order', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'sink-'));
	const file = path.join(folder, 'log');
	const descriptor = openSync(file, 'w');
	const sink = createLineSink(descriptor);
	Array.from({length: 500}).forEach((_, index) => {
		sink.write(`line ${index}\n`);
	});
	await new Promise<void>(resolve => {
		sink.flush(resolve);
	});
	assert.equal(readFileSync(file, 'utf8').trim().split('\n'), Array.from({length: 500}, (_, index) => `line ${index}`));
	closeSync(descriptor);
	rmSync(folder, {recursive: true});
});

test('serves metrics as text with unit suffixes, and responds with 404 to other paths', async () => {
	const metrics = createPrometheusMetrics();
	metrics.count('store.calls', 2, {operation: 'read'});
	metrics.timing('request.duration', 30, {outcome: 'answered'});
	metrics.gauge('batches.open', 3);
	const [port] = await findFreePorts('127.0.0.1', 1);
	const serving = await serveMetrics(metrics, {ip: '127.0.0.1', port: port!, path: '/metrics'});
	const answer = await fetch(`http://127.0.0.1:${port}/metrics`);
	const text = await answer.text();
	assert.match(answer.headers.get('content-type') ?? '', 'text/plain');
	assert.match(text, 'rosemaryshore_store_calls_total{operation="read"} 2');
	assert.match(text, 'rosemaryshore_request_duration_seconds_bucket{le="0.05",outcome="answered"} 1');
	assert.match(text, 'rosemaryshore_batches_open 3');
	assert.ok(text.trim().split('\n').every(line => line === '' || line.startsWith('#') || /^[a-z_]+(?:{[^}]*})? [\d.e+-]+$/.test(line)), 'every line is a comment or a sample');
	assert.is((await fetch(`http://127.0.0.1:${port}/other`)).status, 404);
	serving.dispose();
});

test.run();
