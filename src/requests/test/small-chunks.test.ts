import {createServer as createHttpServer, Agent} from 'node:http';
import {
	connect, createServer, type AddressInfo, type Server,
} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createConnectionTable} from '../../base/common/connection-table.js';
import {limitConnections} from '../../base/node/connection-limits.js';
import {silentLog} from '../../kernel/common/log.js';
import {createSystemClock} from '../../base/node/system-clock.js';
import {createTimerLoop} from '../../kernel/node/timer-loop.js';
import {readBody} from '../node/read-body.js';
import {exchange} from '../../adapters/node/http-exchange.js';

const test = suite('messages in very small chunks');
const PIECE = '10\r\nabcdefghijklmnop\r\n';
const PIECES = 150_000;
const CROWD = 4;
/** Chunks in the largest read of Node.js, of 64 KB. */
const CHUNKS_PER_READ = 65_536 / PIECE.length;
const body = `${PIECE.repeat(PIECES)}0\r\n\r\n`;

async function listen(server: Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return (server.address() as AddressInfo).port;
}

/** Counts the turns of the event loop until it is stopped, and the most chunks that came in one of them. */
function createTurnCount() {
	let chunks = 0;
	let most = 0;
	let isStopped = false;
	const beginTurn = (): void => {
		most = Math.max(most, chunks);
		chunks = 0;
		if (!isStopped) {
			setImmediate(beginTurn);
		}
	};

	beginTurn();
	return {
		countChunk() {
			chunks += 1;
		},
		stop() {
			isStopped = true;
			return Math.max(most, chunks);
		},
	};
}

// Incident docs/incidents/endless-event.md: timers and other connections waited while a server's chunks were handled.
test('a turn of the event loop handles few reads of a response in small chunks, and the response arrives whole', async () => {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body}`);
		});
	});
	const port = await listen(server);
	const agent = new Agent();
	const turns = createTurnCount();
	let bytes = 0;
	const {result} = await exchange({
		step: 'read', method: 'GET', path: '/', timeoutMs: 20_000, onData(chunk) {
			turns.countChunk();
			bytes += chunk.length;
			return undefined;
		},
	}, {base: new URL(`http://127.0.0.1:${port}`), agent});
	const most = turns.stop();
	agent.destroy();
	server.close();
	assert.ok(result.isOk());
	assert.is(bytes, PIECES * 16);
	// A read that waited while the response was suspended, and the next one.
	assert.ok(most <= 2 * CHUNKS_PER_READ, `${most} chunks in one turn`);
});

test('the same holds for bodies of callers, and a caller beside several such gets its turn', async () => {
	const clock = createSystemClock();
	const loop = createTimerLoop(clock, () => 0.5, silentLog);
	const sizes: number[] = [];
	const server = createHttpServer((request, response) => {
		void readBody(request, {maximumBytes: 64 * 1024 * 1024, timeoutMs: 20_000}, loop).then(read => {
			sizes.push(read.match(({length}) => length, () => -1));
			response.end();
		});
	});
	limitConnections(server, createConnectionTable(1000), {onOverload: () => undefined, maximumHeadBytes: () => 16_384, headTimeoutMs: () => 5000});
	const port = await listen(server);
	const turns = createTurnCount();
	server.on('request', request => {
		request.on('data', turns.countChunk);
	});
	const send = async (text: string): Promise<void> => new Promise(resolve => {
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(text);
		});
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.destroy();
			resolve();
		});
	});
	const crowd = Array.from({length: CROWD}, async () => send(`POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n${body}`));
	await send('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx');
	assert.is(sizes.length, 1, 'the small request is answered before any of the others');
	await Promise.all(crowd);
	const most = turns.stop();
	server.close();
	assert.equal(sizes.toSorted((a, b) => a - b), [1, ...Array.from({length: CROWD}, () => PIECES * 16)]);
	assert.ok(most <= (CROWD + 1) * CHUNKS_PER_READ, `${most} chunks in one turn`);
});

test.run();
