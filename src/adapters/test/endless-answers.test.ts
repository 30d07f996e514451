import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createByteBudget} from '../../base/common/byte-budget.js';
import {createEventBound, LARGEST_EVENT_BYTES} from '../common/event-bound.js';
import {exchange, type HttpCall} from '../node/http-exchange.js';

const test = suite('answers without end');
/** Closes what a test has opened, also when it failed. */
const opened: Array<() => void> = [];
test.after.each(() => {
	opened.splice(0).forEach(close => {
		close();
	});
});
const PIECE = Buffer.alloc(64 * 1024, 'x');
const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const CHUNK = Buffer.concat([Buffer.from(`${PIECE.length.toString(16)}\r\n`), PIECE, Buffer.from('\r\n')]);
const MEGABYTE = 1024 * 1024;

/** Writes a piece again and again until the other side closes, no faster than it reads. */
function writeForever(socket: Socket, piece: Uint8Array): void {
	if (socket.destroyed) {
		return;
	}

	if (socket.write(piece)) {
		setImmediate(writeForever, socket, piece);
	} else {
		socket.once('drain', () => {
			writeForever(socket, piece);
		});
	}
}

/** Opens a server that answers a request on each connection with `answer`. */
async function openServer(answer: (socket: Socket) => void) {
	const sockets = new Set<Socket>();
	let written = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			written += socket.bytesWritten;
			sockets.delete(socket);
		});
		socket.once('data', () => {
			answer(socket);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const agent = new Agent({keepAlive: true});
	const close = () => {
		agent.destroy();
		sockets.forEach(socket => {
			socket.destroy();
		});
		server.close();
	};

	opened.push(close);
	return {
		call: async (more: Partial<HttpCall> = {}) => exchange({
			step: 'call', method: 'GET', path: '/', timeoutMs: 20_000, ...more,
		}, {base: new URL(`http://127.0.0.1:${(server.address() as AddressInfo).port}`), agent}),
		written: () => written + [...sockets].reduce((sum, socket) => sum + socket.bytesWritten, 0),
	};
}

/** The smallest VMs have 250 MB, of which a process at rest takes up to 80 (docs/CAPACITY.md) and its other work 20. */
const LARGEST_GROWTH_BYTES = 150 * MEGABYTE;
/** What a socket of the loopback interface may hold beyond what was read. */
const SOCKET_BYTES = 8 * MEGABYTE;

const answers: ReadonlyArray<{readonly name: string; readonly answer: (socket: Socket) => void; readonly bound: number; readonly more?: Partial<HttpCall>}> = [
	{
		name: 'a header that never ends', bound: MEGABYTE, answer(socket) {
			socket.write('HTTP/1.1 200 OK\r\nX-A: ');
			writeForever(socket, PIECE);
		},
	},
	{
		name: 'headers that never end', bound: MEGABYTE, answer(socket) {
			socket.write('HTTP/1.1 200 OK\r\n');
			writeForever(socket, Buffer.from('X-A: 1\r\n'));
		},
	},
	{
		name: 'interim answers that never end', bound: MEGABYTE, answer(socket) {
			writeForever(socket, Buffer.from('HTTP/1.1 102 Processing\r\n\r\n'));
		},
	},
	{
		name: 'trailers that never end', bound: MEGABYTE, answer(socket) {
			socket.write(`${HEAD}1\r\nx\r\n0\r\n`);
			writeForever(socket, Buffer.from('X-A: 1\r\n'));
		},
	},
	{
		name: 'an extension of a chunk that never ends', bound: MEGABYTE, answer(socket) {
			socket.write(`${HEAD}1;a=`);
			writeForever(socket, PIECE);
		},
	},
	{
		name: 'bytes that are no answer', bound: MEGABYTE, answer(socket) {
			writeForever(socket, PIECE);
		},
	},
	{
		name: 'a body that never ends', bound: 8 * MEGABYTE, answer(socket) {
			socket.write(HEAD);
			writeForever(socket, CHUNK);
		},
	},
	{
		name: 'the body of an error in place of a stream', bound: MEGABYTE, more: {onData: () => undefined}, answer(socket) {
			socket.write(HEAD.replace('200 OK', '500 Error'));
			writeForever(socket, CHUNK);
		},
	},
	{
		name: 'a stream that its reader refuses', bound: MEGABYTE, more: {onData: () => 'no event'}, answer(socket) {
			socket.write(HEAD);
			writeForever(socket, CHUNK);
		},
	},
];

answers.forEach(({name, answer, bound, more}) => {
	test(`${name}: the call ends, and may have run`, async () => {
		const server = await openServer(answer);
		const {result} = await server.call(more);
		assert.is(result._unsafeUnwrapErr().effect, 'outcomeUnknown');
		assert.not.match(result._unsafeUnwrapErr().message, 'no answer within');
		assert.ok(server.written() < bound + SOCKET_BYTES, `${server.written()} bytes were taken`);
	});
});

test('the memory of 50 endless bodies at once stays bounded, and a small answer beside them is taken', async () => {
	const endless = await openServer(socket => {
		socket.write(HEAD);
		writeForever(socket, CHUNK);
	});
	const sound = await openServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	const before = process.memoryUsage().arrayBuffers;
	let most = 0;
	const sampling = setInterval(() => {
		most = Math.max(most, process.memoryUsage().arrayBuffers - before);
	}, 1);
	const calls = Array.from({length: 50}, async () => endless.call());
	const small = await sound.call();
	const ended = await Promise.all(calls);
	clearInterval(sampling);
	assert.is(Buffer.from(small.result._unsafeUnwrap().body).toString('utf8'), 'ok');
	assert.ok(ended.every(({result}) => result.isErr()));
	assert.ok(most < LARGEST_GROWTH_BYTES, `${Math.round(most / MEGABYTE)} MB`);
});

test('a budget ends the largest message, and what ended or was released counts no more', () => {
	const budget = createByteBudget(100);
	const ended: string[] = [];
	const open = (name: string) => budget.open(() => {
		ended.push(name);
	});
	const large = open('large');
	const small = open('small');
	large.add(60);
	small.add(30);
	assert.is(budget.held(), 90);
	small.add(20);
	assert.equal(ended, ['large']);
	assert.is(budget.held(), 50);
	large.add(500);
	assert.is(budget.held(), 50, 'an ended message counts no more');
	small.release();
	assert.is(budget.held(), 0);
});

test('an event may be large, but not without end; whole events begin the count anew', () => {
	const bound = createEventBound();
	const half = (LARGEST_EVENT_BYTES / 2) + 1;
	assert.is(bound.note(half, false), undefined);
	assert.is(bound.note(half, true), undefined);
	assert.ok(bound.note(half, false));
});

test.run();
