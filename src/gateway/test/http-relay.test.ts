import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err, ok} from 'neverthrow';
import {createOutcomeUnknown} from '../../base/common/failure.js';
import {findFreePorts} from '../../base/node/free-ports.js';
import {createSystemClock} from '../../base/node/system-clock.js';
import {createTimerLoop} from '../../kernel/node/timer-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {createLimitUsage} from '../../limits/common/limit-usage.js';
import {createServerLimits} from '../../limits/common/server-limits.js';
import {createPeerMesh} from '../../peers/node/peer-mesh.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import type {RelayCall, RelayedHead, RelayEnd} from '../common/relay.js';
import {createServerLinks} from '../common/server-links.js';
import {createServerStatements} from '../common/server-statements.js';
import {createHttpRelayTransport, serveRelays} from '../node/http-relay.js';
import {createRelayHelper} from '../node/relay-helper.js';
import {createServerCaller} from '../node/server-caller.js';
import {IdProtocol} from './id-protocol.js';

const test = suite('relays over the peer mesh');
const systemClock = createSystemClock();

type Relayed = {
	readonly end: RelayEnd;
	readonly heads: readonly RelayedHead[];
	readonly body: string;
};

/** Relays one attempt from one daemon over another to a server on the loopback interface. */
async function relayOnce(respond: (request: IncomingMessage, response: ServerResponse) => void, options: {readonly isHelper?: boolean; readonly isCut?: boolean; readonly abortAfterMs?: number; readonly body?: string; readonly work?: RelayCall['work']; readonly reachesStore?: boolean; readonly maySend?: () => boolean} = {}): Promise<Relayed> {
	const server = createServer(respond);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	// A listening TCP server has an address with a port.

	const {port} = server.address() as AddressInfo;
	const ports = await findFreePorts('127.0.0.1', 2);
	const [self, helperDaemon] = ['a', 'b'].map((name, index): PeerDaemon => ({
		name, incarnation: '1', ip: '127.0.0.1', port: ports[index]!, region: 'r', availabilityZone: 'z',
	}));
	const mesh = createPeerMesh(self!, systemClock, silentLog);
	const helperMesh = createPeerMesh(helperDaemon!, systemClock, silentLog);
	const links = createServerLinks(() => 1);
	const limits = createServerLimits();
	const direct = createServerCaller({
		links, protocol: new IdProtocol(), clock: systemClock, statements: createServerStatements({
			startTimeOf: () => undefined, onLeaving: () => undefined, limits, limitUsage: createLimitUsage(limits),
		}),
	});
	if (options.isHelper !== false) {
		serveRelays(helperMesh, createRelayHelper({
			direct, links: {isCut: () => options.isCut === true}, reachesStore: () => options.reachesStore !== false, clock: systemClock, log: silentLog, findServer: id => ({
				id, address: '127.0.0.1', port, pool: 'p', availabilityZone: 'z', region: 'r', state: 'live',
			}),
		}), {loop: createTimerLoop(systemClock, () => 0.5, silentLog), clock: systemClock});
	}

	await helperMesh.listen();
	const call: RelayCall = {
		server: {id: 's', address: '127.0.0.1', port}, method: 'POST', path: '/x?y=1', headers: {'X-Caller': 'c'}, body: Buffer.from(options.body ?? 'the body'), attempt: {requestId: 'q', remainingMs: 2000, serverId: 's'}, timeoutMs: 2000, ...(options.work !== undefined && {work: options.work}),
	};
	const abort = new AbortController();
	if (options.abortAfterMs !== undefined) {
		setTimeout(() => {
			abort.abort();
		}, options.abortAfterMs);
	}

	const heads: RelayedHead[] = [];
	const chunks: Uint8Array[] = [];
	const end = await createHttpRelayTransport(mesh).send(helperDaemon!, call, {
		onHead(head) {
			heads.push(head);
			return undefined;
		},
		onData(chunk) {
			chunks.push(chunk);
			return undefined;
		},
	}, abort.signal, options.maySend);
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	mesh.close();
	helperMesh.close();
	direct.close();
	server.closeAllConnections();
	server.close();
	return {end, heads, body: Buffer.concat(chunks).toString('utf8')};
}

async function readAll(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];

	for await (const chunk of request) {
		chunks.push(Buffer.from(chunk as Uint8Array));
	}

	return Buffer.concat(chunks).toString('utf8');
}

test('the server gets the request unchanged, and the other daemon its response', async () => {
	const {end, heads, body} = await relayOnce((request, response) => {
		void readAll(request).then(received => {
			response.writeHead(200, {'request-id': 'q', 'x-signature': 'sig'});
			response.end(`${request.method} ${request.url} ${String(request.headers['x-caller'])} ${String(request.headers['request-id'])} ${received}`);
		});
	});
	assert.ok(end.kind === 'ended' && end.result.isOk());
	assert.is(heads[0]?.headers['x-signature'], 'sig');
	assert.is(body, 'POST /x?y=1 c q the body');
});

// Issue 46, report of other operators: a status that no server may send came over another daemon.
[0, 99, 199, 600, 200.5].forEach(status => {
	test(`a relayed head with status ${status} is no answer`, async () => {
		const heads: RelayedHead[] = [];
		const transport = createHttpRelayTransport({
			handleStream: () => undefined,
			async callStream(_peer, _name, {onData}) {
				const problem = onData?.(Buffer.from(`${JSON.stringify({status, headers: {}})}\nbody`));
				return problem === undefined ? ok({status: 200, headers: {}, body: new Uint8Array()}) : err(createOutcomeUnknown('incomplete', {step: 'relay', peer: 'd'}, problem));
			},
		});
		const end = await transport.send({
			name: 'd', incarnation: '1', ip: '127.0.0.1', port: 1, region: 'r', availabilityZone: 'z',
		}, {
			server: {id: 's', address: '127.0.0.1', port: 1}, method: 'POST', path: '/', headers: {}, body: undefined, attempt: {requestId: 'q', remainingMs: 1000, serverId: 's'}, timeoutMs: 1000,
		}, {
			onHead(head) {
				heads.push(head);
				return undefined;
			},
			onData: () => undefined,
		}, new AbortController().signal);
		assert.equal(heads, []);
		assert.is(end.kind === 'ended' && end.result.isErr() && end.result.error.effect, 'outcomeUnknown');
	});
});

test('an error response is passed on with its status and body', async () => {
	const {end, heads, body} = await relayOnce((_, response) => {
		response.writeHead(500, {'request-id': 'q'});
		response.end('failed');
	});
	assert.ok(end.kind === 'ended' && end.result.isOk());
	assert.is(heads[0]?.status, 500);
	assert.is(body, 'failed');
});

test('a response that the server breaks off does not look complete', async () => {
	const {end, body} = await relayOnce((_, response) => {
		response.writeHead(200, {'request-id': 'q'});
		response.write('the first part');
		setTimeout(() => {
			response.destroy();
		}, 20);
	});
	assert.ok(end.kind === 'ended' && end.result.isErr() && end.result.error.effect === 'outcomeUnknown');
	assert.is(body, 'the first part');
});

test('a caller that leaves ends the request at the server', async () => {
	const closed: boolean[] = [];
	await relayOnce((_, response) => {
		response.on('close', () => {
			closed.push(true);
		});
	}, {abortAfterMs: 50});
	assert.equal(closed, [true]);
});

test('a daemon that is cut off too, and one of a build without relays, say that the request has not run', async () => {
	const respond = () => {
		throw new Error('the server must not get the request');
	};

	assert.equal((await relayOnce(respond, {isCut: true})).end, {kind: 'refused', reason: 'cut'});
	assert.equal((await relayOnce(respond, {isHelper: false})).end, {kind: 'refused', reason: 'unsupported'});
});

test('a large request is relayed', async () => {
	const text = 'x'.repeat(300_000);
	const {body} = await relayOnce((request, response) => {
		void readAll(request).then(received => {
			response.writeHead(200, {'request-id': 'q'});
			response.end(received);
		});
	}, {body: text});
	assert.is(body.length, text.length);
});

/** Relays an attempt of work in this state; returns how it ended, and whether the server got it. */
async function relayWork(options: Pick<NonNullable<Parameters<typeof relayOnce>[1]>, 'maySend' | 'reachesStore' | 'work'>): Promise<string> {
	let isReceived = false;
	const {end} = await relayOnce((request, response) => {
		isReceived = true;
		response.writeHead(200, {'request-id': 'q'});
		response.end();
	}, options);
	const outcome = end.kind === 'refused' ? end.reason : end.result.match(() => 'answered', ({effect}) => effect);
	return `${outcome}${isReceived ? ', received' : ''}`;
}

// Incident docs/incidents/sent-after-the-end.md: the daemons that relayed items of an ended batch could not tell that their sender's knowledge was old.
test('an attempt is sent only within the time for which its work is known to go on', async () => {
	assert.is(await relayWork({work: {kind: 'confirmed', beginWithinMs: 1000}}), 'answered, received');
	assert.is(await relayWork({work: {kind: 'confirmed', beginWithinMs: -1}}), 'notRun');
	assert.is(await relayWork({work: {kind: 'confirmed', beginWithinMs: 1000}, maySend: () => false}), 'notRun');
});

test('an attempt whose sender does not reach the store is sent only by a daemon that does not reach it either', async () => {
	assert.is(await relayWork({work: {kind: 'unconfirmed'}}), 'unconfirmed');
	assert.is(await relayWork({work: {kind: 'unconfirmed'}, reachesStore: false}), 'answered, received');
});

test.run();
