/** The peer mesh over Node's `http` module: one port per daemon, persistent connections, bounded bodies. */
import {Buffer} from 'node:buffer';
import {
	Agent, createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createHttpBase} from '../../adapters/node/http-base.js';
import {exchange} from '../../adapters/node/http-exchange.js';
import {LIMITED_SERVER_OPTIONS, limitConnections, refuseOverload} from '../../base/node/connection-limits.js';
import type {Clock} from '../../base/common/clock.js';
import type {ConnectionTable} from '../../base/common/connection-table.js';
import {createMessagePace} from '../../base/node/message-pace.js';
import {createCompactBytes} from '../../base/common/compact-bytes.js';
import {parseJson} from '../../base/common/json.js';
import {requestBudget} from '../../base/common/message-budgets.js';
import type {Log} from '../../kernel/common/log.js';
import type {
	PeerDaemon, PeerHandler, PeerMesh, PeerReply,
} from '../common/peer-mesh.js';
import type {PeerStreamHandler, PeerStreams} from './peer-streams.js';

/** A peer mesh with the server on its port. */
export type ListeningPeerMesh = PeerMesh & PeerStreams & {
	readonly listen: () => Promise<void>;
	readonly close: () => void;
};

/** Maximum size of a body, well above that of a complete batch with its prompts or of a page of results. */
const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;
/** Limits of the head of a call. */
const MAXIMUM_HEAD_BYTES = 16_384;
const HEAD_TIMEOUT_MS = 10_000;
/** Idle timeouts of connections. The caller's is shorter, so that a call is never sent on a connection that the server is closing. */
const CLIENT_IDLE_TIMEOUT_MS = 20_000;
const SERVER_IDLE_TIMEOUT_MS = 60_000;
/** Daemons whose last call failed within this time are listed last. */
const RECENT_FAILURE_MS = 3000;

async function readBody(request: IncomingMessage): Promise<string> {
	return new Promise((resolve, reject) => {
		const body = createCompactBytes();
		const pace = createMessagePace(request);
		const heldBytes = requestBudget.open(reason => {
			request.destroy(new Error(reason));
		}, performance.now());
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			pace.countChunk();
			length += chunk.length;
			heldBytes.add(body.add(chunk), performance.now());
			if (length > MAXIMUM_BODY_BYTES) {
				request.destroy(new Error(`the body of the call exceeds ${MAXIMUM_BODY_BYTES} bytes`));
			}
		});
		request.on('error', reject);
		request.on('close', () => {
			pace.dispose();
			heldBytes.release();
		});
		request.on('end', () => {
			pace.dispose();
			heldBytes.release();
			resolve(Buffer.from(body.take()).toString('utf8'));
		});
	});
}

function sendReply(response: ServerResponse, reply: PeerReply): void {
	const body = JSON.stringify(reply.body ?? null);
	response.writeHead(reply.status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
}

/** Creates the mesh of one daemon; `connections` are those that the process accepts on all its ports. */
export function createPeerMesh(self: PeerDaemon, clock: Clock, log: Log, connections?: ConnectionTable): ListeningPeerMesh {
	const handlers = new Map<string, PeerHandler>();
	const streamHandlers = new Map<string, PeerStreamHandler>();
	const agent = new Agent({keepAlive: true, timeout: CLIENT_IDLE_TIMEOUT_MS});
	let knownDaemons: readonly PeerDaemon[] = [];
	const failedAtByName = new Map<string, number>();

	async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const name = (request.url ?? '').slice(1);
		const streamHandler = streamHandlers.get(name);
		if (streamHandler !== undefined) {
			await streamHandler(request, response);
			return;
		}

		const handler = handlers.get(name);
		const text = await readBody(request);
		if (handler === undefined) {
			sendReply(response, {status: 404, body: null});
			return;
		}

		sendReply(response, await handler(parseJson(text)));
	}

	const server = createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
		handleRequest(request, response).catch((error: unknown) => {
			log.warn('handling a peer call failed', {call: request.url, error: String(error)});
			if (!response.headersSent) {
				sendReply(response, {status: 500, body: null});
			}
		});
	});
	server.keepAliveTimeout = SERVER_IDLE_TIMEOUT_MS;
	if (connections !== undefined) {
		limitConnections(server, connections, {onOverload: refuseOverload, maximumHeadBytes: () => MAXIMUM_HEAD_BYTES, headTimeoutMs: () => HEAD_TIMEOUT_MS});
	}

	function baseOf(peer: PeerDaemon): Result<URL, Failure> {
		// The address from the directory takes precedence over the one that came with a message.
		const listed = knownDaemons.find(daemon => daemon.name === peer.name && daemon.incarnation === peer.incarnation) ?? peer;
		return createHttpBase('call daemon', listed);
	}

	function recordOutcome(peer: PeerDaemon, hasReplied: boolean): void {
		if (hasReplied) {
			failedAtByName.delete(peer.name);
		} else {
			failedAtByName.set(peer.name, clock.monotonic());
		}
	}

	return {
		self,
		handleStream(name, handler) {
			streamHandlers.set(name, handler);
		},
		async callStream(peer, name, call) {
			return baseOf(peer).asyncAndThen(base => new ResultAsync(exchange({
				...call, step: `peer call ${name}`, method: 'POST', path: `/${name}`,
			}, {base, agent}).then(({result}) => result)));
		},
		handle(name, handler) {
			handlers.set(name, handler);
		},
		async call(peer, name, body, timeoutMs): Promise<Result<PeerReply, Failure>> {
			const base = baseOf(peer);
			if (base.isErr()) {
				return err(base.error);
			}

			const {result} = await exchange({
				step: `peer call ${name}`,
				method: 'POST',
				path: `/${name}`,
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(body),
				timeoutMs,
			}, {base: base.value, agent});
			recordOutcome(peer, result.isOk());

			return result.andThen(httpResponse => ok({status: httpResponse.status, body: parseJson(Buffer.from(httpResponse.body).toString('utf8'))}));
		},
		others: () => knownDaemons.filter(daemon => daemon.name !== self.name),
		othersByReachability() {
			const now = clock.monotonic();
			const others = knownDaemons.filter(daemon => daemon.name !== self.name);
			const hasFailedRecently = (daemon: PeerDaemon): boolean => now - (failedAtByName.get(daemon.name) ?? Number.NEGATIVE_INFINITY) < RECENT_FAILURE_MS;
			return [...others.filter(daemon => !hasFailedRecently(daemon)), ...others.filter(daemon => hasFailedRecently(daemon))];
		},
		setKnownDaemons(daemons) {
			knownDaemons = daemons;
		},
		async listen() {
			return new Promise((resolve, reject) => {
				server.once('error', reject);
				server.listen({host: self.ip, port: self.port}, resolve);
			});
		},
		close() {
			server.close();
			server.closeAllConnections();
			agent.destroy();
		},
	};
}
