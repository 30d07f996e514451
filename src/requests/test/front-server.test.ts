import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {FrontRequest} from '../common/front.js';
import type {FrontOptions, FrontServer} from '../node/front-server.js';
import {createHealthRoute} from '../node/health.js';
import {sendJson} from '../node/respond.js';
import {address, callFront, createOpenFront} from './harness/open-front.js';

const test = suite('front server');
const fronts: FrontServer[] = [];

type FrontSetup = {
	readonly options?: Partial<FrontOptions>;
	/** Signal that routes use instead of that of the request. */
	readonly signal?: AbortSignal;
};

async function open({options, signal}: FrontSetup = {}) {
	const front = createOpenFront(options);
	fronts.push(front);
	const received: FrontRequest[] = [];
	const held: Array<() => void> = [];
	const ended: string[] = [];
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
				(signal ?? request.signal).addEventListener('abort', () => {
					resolve();
				});
			});
			ended.push(request.requestId);
			sendJson(response, 200, {});
		},
	});
	const port = await front.listen();
	return {
		front, port, received, held, ended,
	};
}

async function call(port: number, method: string, path: string, body = '') {
	const {status, text, headers} = await callFront(port, method, path, body);
	const json: Readonly<Record<string, unknown>> = JSON.parse(text);
	return {status, json, headers};
}

/** Sends text and returns everything received until the connection closes or is idle for `timeoutMs`. */
async function sendRaw(port: number, text: string, timeoutMs = 10_000): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, address);
		socket.setTimeout(timeoutMs, () => {
			socket.destroy();
		});
		const chunks: string[] = [];
		socket.on('data', chunk => {
			chunks.push(String(chunk));
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(chunks.join(''));
		});
		socket.write(text);
	});
}

async function waitUntil(condition: () => boolean): Promise<void> {
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

test('passes path parameters to routes and sends a request id with every response', async () => {
	const {port} = await open();
	const answer = await call(port, 'POST', '/v1/echo/a%20b/c/d', 'body');
	assert.equal(answer.json, {name: 'a b', rest: 'c/d', size: 4});
	assert.type(answer.headers['request-id'], 'string');
	const missing = await call(port, 'GET', '/v1/nothing');
	assert.is(missing.status, 404);
	const unsupported = await call(port, 'GET', '/v1/echo/a/b');
	assert.is(unsupported.json.type, 'urn:rosemaryshore:unsupported');
});

/** Sends an oversized body with a declared length and one in chunks; returns the responses and how often the route ran. */
async function sendOversized(change: FrontSetup = {}) {
	const {port, received, front} = await open(change);
	const declared = await call(port, 'POST', '/v1/echo/a/b', 'x'.repeat(1001));
	const chunked = await sendRaw(port, `POST /v1/echo/a/b HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5dc\r\n${'x'.repeat(1500)}\r\n0\r\n\r\n`);
	await waitUntil(() => front.inProgress() === 0);
	return {declared, chunked, runs: received.length};
}

test('refuses oversized bodies, declared or chunked, before the route runs', async () => {
	const {declared, chunked, runs} = await sendOversized();
	assert.is(declared.status, 400);
	assert.is(declared.json.effect, 'notRun');
	assert.match(chunked, /400 Bad Request[\s\S]*larger than 1000 bytes/);
	assert.is(runs, 0);
});

test('the check of oversized bodies detects a missing limit', async () => {
	const {runs} = await sendOversized({options: {maximumBodyBytes: 1_000_000}});
	assert.is(runs, 2);
});

const rejectsMalformed = async (port: number): Promise<boolean> => /400 Bad Request[\s\S]*notRun/.test(await sendRaw(port, 'NOT HTTP\r\n\r\n'));

test('responds to malformed requests with a problem detail', async () => {
	const {port, front} = await open();
	assert.ok(await rejectsMalformed(port));
	await waitUntil(() => front.inProgress() === 0);
});

test('the check of malformed requests detects the default response of Node.js', async () => {
	const server = createServer();
	await new Promise<void>(resolve => {
		server.listen(0, address, resolve);
	});
	// `address()` returns an object for servers that listen on a port.

	const {port} = server.address() as AddressInfo;
	assert.not(await rejectsMalformed(port));
	server.close();
});

/** Sends a body and headers that are never completed; returns the responses. */
async function sendSlowly(change: FrontSetup = {}, timeoutMs?: number): Promise<readonly string[]> {
	const {port} = await open(change);
	return Promise.all([
		sendRaw(port, 'POST /v1/echo/a/b HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc', timeoutMs),
		sendRaw(port, 'POST /v1/echo/a/b HTTP/1.1\r\nhost', timeoutMs),
	]);
}

test('responds to incomplete requests with a problem detail after the time limit', async () => {
	const [body = '', headers = ''] = await sendSlowly();
	assert.match(body, /504 [\s\S]*did not arrive/);
	assert.match(headers, /504 [\s\S]*headers did not arrive/);
});

test('the check of incomplete requests detects a missing time limit', async () => {
	const options = {headerTimeoutMs: 60_000, deadlineMs: 60_000};
	assert.equal(await sendSlowly({options}, 2000), ['', '']);
});

/** Disconnects while the route runs; returns whether the route has ended by the time the request is no longer in progress. */
async function disconnectDuringRoute(change: FrontSetup = {}): Promise<boolean> {
	const {port, received, front, ended} = await open(change);
	const socket = connect(port, address);
	socket.write('GET /v1/held HTTP/1.1\r\nhost: a\r\n\r\n');
	await waitUntil(() => received.length === 1);
	socket.destroy();
	await waitUntil(() => received[0]?.signal.aborted === true);
	await waitUntil(() => front.inProgress() === 0);
	return ended.length === 1;
}

test('ends the route when its caller disconnects', async () => {
	assert.ok(await disconnectDuringRoute());
});

test('the check of disconnections detects a route that is not notified', async () => {
	assert.not(await disconnectDuringRoute({signal: new AbortController().signal}));
});

test('refuses new requests while draining, and completes those in progress', async () => {
	const {port, front, held} = await open();
	const inProgress = call(port, 'GET', '/v1/held');
	await waitUntil(() => held.length === 1);
	const drained = front.drain();
	const refused = await call(port, 'POST', '/v1/echo/a/b');
	assert.is(refused.status, 503);
	assert.is(refused.json.effect, 'notRun');
	assert.is(refused.headers['retry-after'], '1');
	const health = await call(port, 'GET', '/v1/health');
	assert.equal([health.status, health.json], [503, {state: 'draining'}]);
	held[0]?.();
	const answer = await inProgress;
	await drained;
	assert.is(answer.status, 200);
});

/** Drains and stops during a request; returns the status that its caller received, or undefined if the connection was closed. */
async function stopDuringRequest(change: FrontSetup = {}): Promise<number | undefined> {
	const {port, front, held} = await open(change);
	const status = call(port, 'GET', '/v1/held').then(answer => answer.status, () => undefined);
	await waitUntil(() => held.length === 1);
	const stopped = front.drain().then(front.dispose);
	setTimeout(() => {
		held[0]?.();
	}, 200);
	await stopped;
	return status;
}

test('a stop waits for a request in progress', async () => {
	assert.is(await stopDuringRequest(), 200);
});

test('the check of stops detects a stop that does not wait', async () => {
	assert.is(await stopDuringRequest({options: {drainMs: 0}}), undefined);
});

test.run();
