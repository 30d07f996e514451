import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createLimitUsage} from '../../limits/common/limit-usage.js';
import {createServerLimits} from '../../limits/common/server-limits.js';
import type {BackendServer} from '../../routing/common/router.js';
import {createServerLinks} from '../common/server-links.js';
import {createServerStatements} from '../common/server-statements.js';
import {copyEndToEndHeaders, createServerCaller} from '../node/server-caller.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('one attempt at a backend server');

function createCaller(startTimeOf: () => number | undefined, onLeaving: (notice: unknown) => void) {
	const limits = createServerLimits();
	return createServerCaller({
		links: createServerLinks(() => 1),
		protocol: new IdProtocol(),
		statements: createServerStatements({
			startTimeOf, onLeaving, limits, limitUsage: createLimitUsage(limits),
		}),
		clock: createVirtualTime().clock,
	});
}

function createTarget(port: number): BackendServer {
	return {
		id: 's1', pool: 'p', address: '127.0.0.1', port, availabilityZone: 'z', region: 'r', state: 'live',
	};
}

/** Starts a server that calls `respond` for each request, and makes one attempt at it. */
async function callOnce(respond: (socket: Socket) => void, onLeaving: (notice: unknown) => void = () => undefined) {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const caller = createCaller(() => 1000, onLeaving);
	const target = createTarget((server.address() as AddressInfo).port);
	const result = await caller.attempt(target, {
		method: 'POST', path: '/', headers: {}, body: Buffer.from('x'),
	}, {requestId: 'r1', remainingMs: 1000, serverId: 's1'}, {timeoutMs: 2000, signal: new AbortController().signal});
	caller.close();
	server.close();
	return result;
}

test('a late second copy of a refusal without an id does not answer the next request', async () => {
	const refusal = 'HTTP/1.1 503 Full\r\nX-Skipped: 1\r\nContent-Length: 0\r\n\r\n';
	const server = createServer(socket => {
		let requests = 0;
		socket.on('error', () => undefined);
		socket.on('data', data => {
			requests += 1;
			const answer = new TextDecoder().decode(data).includes('Request-Id: r1') ? refusal : 'HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 3\r\n\r\nran';
			// The copy of the refusal arrives when the connection carries the next request.
			socket.write(requests > 1 ? refusal + answer : answer);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const caller = createCaller(() => 1000, () => undefined);
	const target = createTarget((server.address() as AddressInfo).port);
	const attempt = async (requestId: string) => caller.attempt(target, {
		method: 'POST', path: '/', headers: {}, body: Buffer.from('x'),
	}, {requestId, remainingMs: 1000, serverId: 's1'}, {timeoutMs: 2000, signal: new AbortController().signal});
	const first = await attempt('r1');
	await delay(20);
	const second = await attempt('r2');
	caller.close();
	server.close();
	assert.is(first._unsafeUnwrap().head.isNotRun, true);
	assert.is(second.isOk() && second.value.head.isNotRun, false);
});

test('a response with a length and the id of the request is accepted', async () => {
	const result = await callOnce(socket => {
		socket.end('HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\nbody');
	});
	assert.is(Buffer.from(result._unsafeUnwrap().body).toString('utf8'), 'body');
});

test('a response without a length is not accepted as complete, because a connection reset after it looks like its end', async () => {
	const head = 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\n\r\nhalf a bo';
	const ends: ReadonlyArray<(socket: Socket) => void> = [
		socket => {
			socket.write(head, () => {
				socket.resetAndDestroy();
			});
		},
		socket => {
			socket.end(head);
		},
	];
	await ends.reduce(async (previous, end) => {
		await previous;
		const result = await callOnce(end);
		assert.is(result._unsafeUnwrapErr().effect, 'outcomeUnknown');
	}, Promise.resolve());
});

test('a truncated response, a response to another request, and bytes that are not HTTP are not accepted', async () => {
	const responses = [
		'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 40\r\n\r\nbody',
		'HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 4\r\n\r\nbody',
		'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody',
		'\u0001\u0002 no answer\r\n\r\n',
	];
	await responses.reduce(async (previous, response) => {
		await previous;
		const result = await callOnce(socket => {
			socket.end(response);
		});
		assert.ok(result.isErr(), response);
	}, Promise.resolve());
});

test('a leaving notice in a response is reported with the start time of the server that the request was sent to', async () => {
	const responses = [
		{text: 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n', notices: [{serverId: 's1', startedAt: 1000}]},
		{text: 'HTTP/1.1 503 Full\r\nX-Skipped: 1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n', notices: [{serverId: 's1', startedAt: 1000}]},
		{text: 'HTTP/1.1 421 Other\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n', notices: []},
		{text: 'HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n', notices: []},
	];
	await responses.reduce(async (previous, {text, notices}) => {
		await previous;
		const reported: unknown[] = [];
		const result = await callOnce(socket => {
			socket.end(text);
		}, notice => {
			reported.push(notice);
		});
		assert.ok(result.isOk(), text);
		assert.equal(reported, notices, text);
	}, Promise.resolve());
});

['while the connection is idle', 'before the next response'].forEach(moment => {
	test(`a duplicate of a response, sent ${moment}, is not delivered to another request`, async () => {
		const copies: Array<(socket: Socket) => void> = [];
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.on('data', data => {
				copies.splice(0).forEach(copy => {
					copy(socket);
				});
				const id = /request-id: (\S+)/i.exec(String(data))?.[1] ?? '';
				const response = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 2\r\n\r\n${id}`;
				socket.write(response);
				if (id === 'r1' && moment === 'before the next response') {
					copies.push(other => {
						other.write(response);
					});
				} else if (id === 'r1') {
					void delay(20).then(() => socket.write(response));
				}
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const caller = createCaller(() => undefined, () => undefined);
		const target: BackendServer = {
			id: 's1', pool: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, availabilityZone: 'z', region: 'r', state: 'live',
		};
		const attempt = async (requestId: string): Promise<string> => {
			const result = await caller.attempt(target, {
				method: 'POST', path: '/', headers: {}, body: Buffer.from('x'),
			}, {requestId, remainingMs: 1000, serverId: 's1'}, {timeoutMs: 2000, signal: new AbortController().signal});
			return result.match(response => Buffer.from(response.body).toString('utf8'), failure => failure.code);
		};

		const bodies = [await attempt('r1')];
		await delay(moment === 'before the next response' ? 0 : 200);
		bodies.push(await attempt('r2'), await attempt('r3'), await attempt('r4'));
		caller.close();
		server.close();
		assert.is(bodies[0], 'r1');
		const failureCodes = moment === 'before the next response' ? ['stale'] : ['incomplete', 'unavailable'];
		assert.ok(bodies.every((body, index) => [`r${index + 1}`, ...failureCodes].includes(body)), bodies.join(' '));
		assert.ok(bodies.filter(body => !body.startsWith('r')).length <= 1, `a connection with an unexpected response is not used again: ${bodies.join(' ')}`);
	});
});

test('a refusal without a request id is accepted as not run', async () => {
	const result = await callOnce(socket => {
		socket.end('HTTP/1.1 503 Full\r\nX-Skipped: 1\r\nContent-Length: 0\r\n\r\n');
	});
	assert.ok(result._unsafeUnwrap().head.isNotRun);
});

test('hop-by-hop headers are dropped, and other headers are copied with their spelling and repeated values', () => {
	assert.equal(copyEndToEndHeaders(['Host', 'h', 'Connection', 'close, X-Hop', 'X-Hop', '1', 'X-A', '1', 'X-A', '2', 'Deadline', '5'], ['deadline']), {Host: 'h', 'X-A': ['1', '2']});
});

test.run();
