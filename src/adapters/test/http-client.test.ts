/** Checks calls over kept-alive connections that the peer has closed in the meantime. */
import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createHttpClient} from '../node/http-client.js';
import type {HttpCall} from '../node/http-exchange.js';

const test = suite('http client');

type Peer = {readonly url: string; readonly answered: () => number; readonly dispose: () => void};

/** Starts a peer that answers the first request on each connection and closes the connection at the second. */
async function startPeer(): Promise<Peer> {
	const used = new WeakSet();
	let answered = 0;
	const server: Server = createServer((request, response) => {
		if (used.has(request.socket)) {
			request.socket.destroy();
			return;
		}

		used.add(request.socket);
		answered += 1;
		response.end('{}');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		answered: () => answered,
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Makes the same call twice in sequence. */
async function callTwice(call: Pick<HttpCall, 'method' | 'connection'>): Promise<{readonly effect: string; readonly answered: number}> {
	const peer = await startPeer();
	const client = createHttpClient(peer.url);
	const fullCall = {
		step: 'test', path: '/', timeoutMs: 5000, ...call,
	};
	await client.call(fullCall);
	const second = await client.call(fullCall);
	peer.dispose();
	return {effect: second.match(() => 'answered', failure => failure.effect), answered: peer.answered()};
}

test('a GET is sent again over a new connection when the peer has closed the kept connection', async () => {
	assert.equal(await callTwice({method: 'GET'}), {effect: 'answered', answered: 2});
});

test('any other call has an unknown outcome when its kept connection breaks', async () => {
	assert.equal(await callTwice({method: 'POST'}), {effect: 'outcomeUnknown', answered: 1});
});

test('a call over a new connection is not affected by closed kept connections', async () => {
	assert.equal(await callTwice({method: 'POST', connection: 'new'}), {effect: 'answered', answered: 2});
});

test('a GET to a peer that has stopped fails as not run', async () => {
	const peer = await startPeer();
	const client = createHttpClient(peer.url);
	const call = {
		step: 'test', method: 'GET', path: '/', timeoutMs: 5000,
	};
	await client.call(call);
	peer.dispose();
	const second = await client.call(call);
	assert.is(second._unsafeUnwrapErr().effect, 'notRun');
});

test.run();
