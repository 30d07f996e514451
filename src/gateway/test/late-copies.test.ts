import {Buffer} from 'node:buffer';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createLimitUsage} from '../../limits/common/limit-usage.js';
import {createServerLimits} from '../../limits/common/server-limits.js';
import {createCarriedRequests} from '../common/carried-requests.js';
import {classifyOutcome, isLateCopy} from '../common/attempt-policy.js';
import {createServerLinks} from '../common/server-links.js';
import {createServerStatements} from '../common/server-statements.js';
import {createServerCaller} from '../node/server-caller.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('late copies of answers');

/** A server that fails each request's first run, and sends each failure a second time ahead of the next answer on the same connection. */
async function startCopyingServer() {
	const runs = new Map<string, number>();
	const connections: Socket[] = [];
	const server = createServer(socket => {
		connections.push(socket);
		const copies: string[] = [];
		socket.on('error', () => undefined);
		socket.on('data', data => {
			const id = /request-id: (\S+)/i.exec(String(data))?.[1] ?? '';
			const run = (runs.get(id) ?? 0) + 1;
			runs.set(id, run);
			const answer = run === 1 && id.startsWith('failing')
				? `HTTP/1.1 500 Failed\r\nRequest-Id: ${id}\r\nContent-Length: 0\r\n\r\n`
				: `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 1\r\n\r\n${run}`;
			socket.write([...copies.splice(0), answer].join(''));
			if (answer.startsWith('HTTP/1.1 500')) {
				copies.push(answer);
			}
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const limits = createServerLimits();
	const caller = createServerCaller({
		links: createServerLinks(() => 1),
		protocol: new IdProtocol(),
		statements: createServerStatements({
			startTimeOf: () => undefined, onLeaving: () => undefined, limits, limitUsage: createLimitUsage(limits),
		}),
		clock: createVirtualTime().clock,
	});
	return {
		connections,
		async attempt(requestId: string) {
			return caller.attempt({
				id: 's1', pool: 'p', address: '127.0.0.1', port: (server.address() as AddressInfo).port, availabilityZone: 'z', region: 'r', state: 'live',
			}, {
				method: 'POST', path: '/', headers: {}, body: Buffer.from('x'),
			}, {requestId, remainingMs: 1000, serverId: 's1'}, {timeoutMs: 2000, signal: new AbortController().signal});
		},
		close() {
			caller.close();
			server.close();
		},
	};
}

// Incident docs/incidents/late-copy-of-a-failure.md: the copy of an item's first failure was counted as its second.
test('a request that is sent again is answered by its own run, not by a late copy of its earlier answer', async () => {
	const world = await startCopyingServer();
	const answers = [await world.attempt('failing'), await world.attempt('failing'), await world.attempt('failing'), await world.attempt('failing')];
	world.close();
	assert.equal(answers.map(answer => answer.match(({status, body}) => `${status} ${Buffer.from(body).toString('utf8')}`, ({code}) => code)), ['500 ', '200 2', '200 3', '200 4']);
});

test('requests that are sent once share one connection, and a request that is sent again opens one', async () => {
	const world = await startCopyingServer();
	await ['r1', 'r2', 'r3', 'r4', 'r5'].reduce<Promise<unknown>>(async (previous, id) => {
		await previous;
		return world.attempt(id);
	}, Promise.resolve());
	assert.is(world.connections.length, 1);
	await world.attempt('r5');
	await world.attempt('r4');
	world.close();
	assert.is(world.connections.length, 2, 'repeated requests share a connection');
});

test('a late copy of the answer to an earlier request is told from an answer of a server in trouble', async () => {
	const world = await startCopyingServer();
	await world.attempt('failing');
	const failure = (await world.attempt('r2'))._unsafeUnwrapErr();
	const next = await world.attempt('r3');
	world.close();
	assert.ok(isLateCopy(failure), failure.code);
	assert.is(classifyOutcome({kind: 'failure', failure}, {hasTimedOut: false, hasCallerLeft: false}), 'unclear', 'it does not speak against the server');
	assert.is(next._unsafeUnwrap().status, 200);
});

test('a connection remembers each request for two minutes, and forgets it later', () => {
	const carried = createCarriedRequests(0);
	carried.record('r1', 0);
	carried.record('r2', 119_000);
	carried.record('r3', 121_000);
	assert.ok(['r1', 'r2', 'r3'].every(carried.has));
	carried.record('r4', 242_000);
	assert.equal(['r1', 'r2', 'r3', 'r4'].map(carried.has), [false, false, true, true]);
});

test.run();
