import {createServer, type IncomingMessage} from 'node:http';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {getExitCode} from '../common/exit-code.js';
import {createOperatorClient} from '../node/operator-client.js';

const test = suite('operator client');

const lists = {plans: [], grants: []};
const received: Array<{readonly line: string; readonly key: string | undefined; readonly body: string}> = [];
let reply: {readonly status: number; readonly body: unknown} = {status: 200, body: {}};

const server = createServer((request: IncomingMessage, response) => {
	void text(request).then(body => {
		received.push({line: `${request.method} ${request.url}`, key: request.headers.authorization, body});
		response.writeHead(reply.status, {'content-type': 'application/json'}).end(JSON.stringify(reply.body));
	});
}).listen(0, '127.0.0.1');
await once(server, 'listening');
const address = server.address();
const port = typeof address === 'object' ? address?.port : undefined;
const client = createOperatorClient({daemon: `http://127.0.0.1:${port}`, key: 'secret'});
test.after(() => {
	server.close();
	server.closeAllConnections();
});

test('sends the key and the version that was read', async () => {
	reply = {status: 200, body: {version: 8, lists}};
	const written = await client.writeLists({operator: 'eleni', ifVersion: 7, lists});
	assert.is(written._unsafeUnwrap().version, 8);
	assert.equal(received.at(-1), {line: 'PUT /v1/configuration', key: 'Bearer secret', body: JSON.stringify({operator: 'eleni', ifVersion: 7, lists})});
});

test('converts a problem detail to a failure with its code, effect and peer, and a conflict to exit code 3', async () => {
	reply = {
		status: 409, body: {
			type: 'urn:rosemaryshore:conflict', detail: 'version 9 is newer', effect: 'notRun', step: 'write configuration', peer: 'store',
		},
	};
	const written = await client.writeLists({operator: 'eleni', ifVersion: 7, lists});
	const failure = written._unsafeUnwrapErr();
	assert.equal([failure.code, failure.effect, failure.peer, getExitCode(failure)], ['conflict', 'notRun', 'store', 3]);
});

test('treats an error response without a problem detail as an unknown outcome', async () => {
	reply = {status: 500, body: {}};
	const written = await client.writeLists({operator: 'eleni', ifVersion: 7, lists});
	assert.is(getExitCode(written._unsafeUnwrapErr()), 6);
});

test('reports that nothing was applied when the daemon is unreachable', async () => {
	const refused = await createOperatorClient({daemon: 'http://127.0.0.1:1', key: ''}).drain();
	assert.is(refused._unsafeUnwrapErr().effect, 'notRun');
	assert.is(getExitCode(refused._unsafeUnwrapErr()), 5);
});

test.run();
