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

/** How a peer answers a conditional read. */
type Tagging = 'conditional' | 'always whole' | 'untagged';

/** Serves a list and remembers the tags that requests named and the statuses that they got. */
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

test('an unchanged list is the same again, a changed one is read', async () => {
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

test('a peer that tags its list and always answers it whole is read whole', async () => {
	const served = await serveList('always whole');
	await served.read();
	assert.equal(await served.read(), [live]);
	assert.equal(served.requests, [[undefined, 200], ['"a"', 200]]);
	served.dispose();
});

test('a peer without entity tags is never asked conditionally', async () => {
	const served = await serveList('untagged');
	await served.read();
	assert.equal(await served.read(), [live]);
	assert.equal(served.requests, [[undefined, 200], [undefined, 200]]);
	served.dispose();
});

test.run();
