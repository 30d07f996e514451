/** A server in trouble: its answers begin as event streams, and go on without end with bytes that are no event, until the caller closes. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';

const [ip = '', id = ''] = process.argv.slice(2);
/** A chunk of HTTP with some letters, as a server sends them that flushes after each piece. */
const PIECE = 'abcdefghijklmnop';
const PIECES_PER_WRITE = 4000;
const bytes = Buffer.from(`${PIECE.length.toString(16)}\r\n${PIECE}\r\n`.repeat(PIECES_PER_WRITE));

const server = createServer((request, response) => {
	request.resume();
	const expected = request.headers['expect-instance'];
	if (expected !== undefined && expected !== id) {
		response.writeHead(421, {'Instance-Id': id, 'content-length': 0}).end();
		return;
	}

	console.log(`request ${String(request.headers['attempt-id'])} arrived`);
	const {socket} = request;
	socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${String(request.headers['attempt-id'])}\r\nServer-Stamp: stamp-${String(request.headers['attempt-id'])}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`);
	let written = 0;
	const pour = (): void => {
		if (socket.destroyed) {
			console.log(`connection closed by the caller after ${written} bytes were written`);
			return;
		}

		written += bytes.length;
		if (socket.write(bytes)) {
			setImmediate(pour);
		} else {
			socket.once('drain', pour);
		}
	};

	socket.on('error', () => undefined);
	socket.on('close', () => {
		console.log(`connection closed after ${written} bytes were written`);
	});
	pour();
});
server.listen(0, ip, () => {
	const bound = server.address();
	console.log(`port ${typeof bound === 'object' && bound !== null ? bound.port : 0}`);
});
