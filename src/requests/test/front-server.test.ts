import {Buffer} from 'node:buffer';
import {request as startRequest} from 'node:http';
import {connect} from 'node:net';
import {ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSystemClock} from '../../base/node/system-clock.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createTimerLoop} from '../../kernel/node/timer-loop.js';
import type {FrontRequest} from '../common/front.js';
import {createFrontServer, type FrontOptions, type FrontServer} from '../node/front-server.js';
import {createHealthRoute} from '../node/health.js';
import {sendJson} from '../node/respond.js';

const test = suite('front server');
const address = '127.0.0.1';
const fronts: FrontServer[] = [];

async function open(options: Partial<FrontOptions> = {}) {
	const clock = createSystemClock();
	const front = createFrontServer({
		address,
		port: 0,
		maximumBodyBytes: 1000,
		headerTimeoutMs: 300,
		deadlineMs: 5000,
		drainMs: 3000,
		authenticate: access => ok(access === 'customer'
			? {
				kind: 'customer', plan: {
					name: 'p', customer: 'c', weight: 1, keyHashes: [], trainers: [],
				},
			}
			: {kind: 'anyone'}),
		clock,
		loop: createTimerLoop(clock, () => 0.5, silentLog),
		log: silentLog,
		metrics: silentMetrics,
		...options,
	});
	fronts.push(front);
	const received: FrontRequest[] = [];
	const held: Array<() => void> = [];
	front.register(createHealthRoute(front));
	front.register({
		method: 'POST',
		path: '/v1/echo/:name/*rest',
		access: 'customer',
		async handle(request, response) {
			received.push(request);
			sendJson(response, 200, {name: request.parameters.name, rest: request.parameters.rest, size: request.body.length});
		},
	});
	front.register({
		method: 'GET',
		path: '/v1/held',
		access: 'customer',
		async handle(request, response) {
			received.push(request);
			await new Promise<void>(resolve => {
				held.push(resolve);
				request.signal.addEventListener('abort', () => {
					resolve();
				});
			});
			sendJson(response, 200, {});
		},
	});
	const port = await front.listen();
	return {
		front, port, received, held,
	};
}

async function call(port: number, method: string, path: string, body = '') {
	return new Promise<{readonly status: number; readonly json: Record<string, unknown>; readonly requestId: unknown; readonly retryAfter: unknown}>((resolve, reject) => {
		const request = startRequest({
			host: address, port, method, path, agent: false,
		}, response => {
			const pieces: Uint8Array[] = [];
			response.on('data', (piece: Uint8Array) => {
				pieces.push(piece);
			});
			response.on('end', () => {
				resolve({
					status: response.statusCode ?? 0, json: JSON.parse(Buffer.concat(pieces).toString()), requestId: response.headers['request-id'], retryAfter: response.headers['retry-after'],
				});
			});
		});
		request.on('error', reject);
		request.end(body);
	});
}

async function sendRaw(port: number, text: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, address);
		const pieces: string[] = [];
		socket.on('data', piece => {
			pieces.push(String(piece));
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(pieces.join(''));
		});
		socket.write(text);
	});
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

test.after(() => {
	fronts.forEach(front => {
		front.dispose();
	});
});

test('routes with parameters and gives every answer a request id', async () => {
	const {port} = await open();
	const answer = await call(port, 'POST', '/v1/echo/a%20b/c/d', 'body');
	assert.equal(answer.json, {name: 'a b', rest: 'c/d', size: 4});
	assert.type(answer.requestId, 'string');
	const missing = await call(port, 'GET', '/v1/nothing');
	assert.is(missing.status, 404);
	const unsupported = await call(port, 'GET', '/v1/echo/a/b');
	assert.is(unsupported.json.type, 'urn:rosemaryshore:unsupported');
});

test('refuses oversized bodies, declared or chunked, before the route runs', async () => {
	const {port, received, front} = await open();
	const declared = await call(port, 'POST', '/v1/echo/a/b', 'x'.repeat(1001));
	assert.is(declared.status, 400);
	assert.is(declared.json.effect, 'notRun');
	const chunked = await sendRaw(port, `POST /v1/echo/a/b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5dc\r\n${'x'.repeat(1500)}\r\n`);
	assert.match(chunked, /400 Bad Request[\s\S]*larger than 1000 bytes/);
	assert.is(received.length, 0);
	await until(() => front.inProgress() === 0);
});

test('ends malformed and slow requests with a problem', async () => {
	const {port, front} = await open();
	assert.match(await sendRaw(port, 'NOT HTTP\r\n\r\n'), /400 Bad Request[\s\S]*notRun/);
	assert.match(await sendRaw(port, 'POST /v1/echo/a/b HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc'), /504 [\s\S]*did not arrive/);
	assert.match(await sendRaw(port, 'POST /v1/echo/a/b HTTP/1.1\r\nhost'), /504 [\s\S]*headers did not arrive/);
	await until(() => front.inProgress() === 0);
});

test('tells the route that its caller has gone', async () => {
	const {port, received, front} = await open();
	const socket = connect(port, address);
	socket.write('GET /v1/held HTTP/1.1\r\nhost: a\r\n\r\n');
	await until(() => received.length === 1);
	socket.destroy();
	await until(() => received[0]?.signal.aborted === true);
	await until(() => front.inProgress() === 0);
});

test('drains without cutting off a request in progress, and refuses new ones', async () => {
	const {port, front, held} = await open();
	const inProgress = call(port, 'GET', '/v1/held');
	await until(() => held.length === 1);
	const drained = front.drain();
	const refused = await call(port, 'POST', '/v1/echo/a/b');
	assert.is(refused.status, 503);
	assert.is(refused.json.effect, 'notRun');
	assert.is(refused.retryAfter, '1');
	const health = await call(port, 'GET', '/v1/health');
	assert.equal([health.status, health.json], [503, {state: 'draining'}]);
	held[0]?.();
	const answer = await inProgress;
	await drained;
	assert.is(answer.status, 200);
});

test.run();
