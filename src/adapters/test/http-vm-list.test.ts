import {once} from 'node:events';
import {createServer} from 'node:http';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Vm} from '../common/vm-list.js';
import {createHttpVmList} from '../node/http-vm-list.js';

const test = suite('http vm list');

const TIMEOUT_MS = 2000;

const live: Vm = {
	id: 'vm-1', address: '127.0.0.9', port: 1, availabilityZone: 'konya-a', state: 'live', pool: 'kalip-llm',
};

/** How a peer responds to a conditional read. */
type Tagging = 'conditional' | 'always complete' | 'untagged';

/** Serves a list and records the entity tag of each request and the status of its response. */
async function serveList(tagging: Tagging) {
	const requests: Array<readonly [string | undefined, number]> = [];
	const state = {vms: [live], etag: '"a"'};
	const server = createServer((request, response) => {
		const named = request.headers['if-none-match'];
		const status = tagging === 'conditional' && named === state.etag ? 304 : 200;
		requests.push([named, status]);
		response.writeHead(status, {'content-type': 'application/json', ...(tagging !== 'untagged' && {etag: state.etag})});
		response.end(status === 200 ? JSON.stringify({vms: state.vms}) : undefined);
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = address !== null && typeof address === 'object' ? address.port : 0;
	const list = createHttpVmList({url: `http://127.0.0.1:${port}`, timeoutMs: TIMEOUT_MS});
	return {
		state,
		requests,
		async read() {
			const listed = await list.list();
			return listed._unsafeUnwrap();
		},
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}

test('returns the same list while it is unchanged, and reads a changed one', async () => {
	const served = await serveList('conditional');
	const first = await served.read();
	assert.equal(first, [live]);
	assert.is(await served.read(), first);
	served.state.vms = [{...live, state: 'leaving'}];
	served.state.etag = '"b"';
	assert.equal(await served.read(), served.state.vms);
	assert.equal(served.requests, [[undefined, 200], ['"a"', 304], ['"a"', 200]]);
	served.dispose();
});

test('reads the complete list from a peer that sends entity tags but never responds with 304', async () => {
	const served = await serveList('always complete');
	await served.read();
	assert.equal(await served.read(), [live]);
	assert.equal(served.requests, [[undefined, 200], ['"a"', 200]]);
	served.dispose();
});

test('sends no conditional reads to a peer without entity tags', async () => {
	const served = await serveList('untagged');
	await served.read();
	assert.equal(await served.read(), [live]);
	assert.equal(served.requests, [[undefined, 200], [undefined, 200]]);
	served.dispose();
});

test.run();
