/** Counts the connections of an HTTP server in the process's table, and the memory that unfinished heads of requests take. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {BytesHeld} from '../common/byte-budget.js';
import type {ConnectionTable} from '../common/connection-table.js';
import {computeHeadCost, computeHeadSize, UNFINISHED_HEAD_FACTOR} from '../common/head-cost.js';
import {headBudget} from '../common/message-budgets.js';

/** Limits of one server. */
export type ConnectionLimits = {
	/** Called when a request can't be handled because the heads in progress take too much memory. */
	readonly onOverload: (request: IncomingMessage, response: ServerResponse) => void;
	/** Maximum size of a head. */
	readonly maximumHeadBytes: () => number;
	/** Time within which the head of a request must arrive, in milliseconds. */
	readonly headTimeoutMs: () => number;
};

/** Number of requests that a connection may send ahead of their responses under overload, before it is closed. */
const MAXIMUM_PIPELINED_REQUESTS = 16;
/** Share of the memory for heads that requests with large heads may use, so that ordinary requests are served beside them. */
const LARGE_HEADS_SHARE = 0.75;
/** Cost from which a head counts as large: about 150 lines. */
const LARGE_HEAD_BYTES = 32 * 1024;

const HEAD_END = '\r\n\r\n';
const TOO_LARGE_HEAD = 'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';
const TOO_LARGE_HEAD_STATUS = 431;

/** A request whose response is not closed. */
type OpenRequest = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
};

/** Ends a connection whose request has a head that is too large, with a response if no other request waits for one. */
function refuseHead(socket: Socket, hasNoRequests: boolean): void {
	if (hasNoRequests && socket.writable) {
		socket.write(TOO_LARGE_HEAD);
	}

	socket.destroySoon();
}

/** Releases the lines of a head that is not needed any more. Until its response is closed, the request would keep them as texts and by name. */
function dropHead(message: IncomingMessage): void {
	message.rawHeaders = [];
	message.headers = {};
}

/** Follows the requests of one connection. */
function followConnection(socket: Socket, table: ConnectionTable, maximumHeadBytes: () => number) {
	const requests = new Set<OpenRequest>();
	let latest: IncomingMessage | undefined;
	let since = performance.now();
	let hasServed = false;
	/** Bytes received since the head of the latest request began. */
	let received = 0;
	/** Bytes of the heads, and of the bodies with a length, of requests whose head ended in the chunk that is being parsed. */
	let parsedBytes = 0;
	let requestsInChunk = 0;
	let unfinished: BytesHeld | undefined;

	function setUnfinished(bytes: number): void {
		const now = performance.now();
		if (bytes === 0) {
			unfinished?.release();
			unfinished = undefined;
			return;
		}

		if (unfinished === undefined) {
			since = requests.size === 0 ? now : since;
			unfinished = headBudget.open(() => {
				socket.destroy();
			}, now);
		}

		unfinished.set(bytes * UNFINISHED_HEAD_FACTOR, now);
	}

	/** Bytes behind the end of the latest request, which begin another one. */
	function countTrailing(chunk: Uint8Array): number {
		if (latest?.complete !== true) {
			return 0;
		}

		if (Number(latest.headers['content-length'] ?? 0) > 0) {
			// Spaces around values are not part of the computed size; most callers send one a line, and a line of a further head has 4 bytes or more.
			const spaces = latest.rawHeaders.length;
			return Math.max(0, Math.min(chunk.length, received - parsedBytes - spaces));
		}

		// Heads and chunked bodies end with an empty line, so other bytes at the end of the chunk belong to another request.
		return String.fromCodePoint(...chunk.subarray(-HEAD_END.length)) === HEAD_END ? 0 : chunk.length;
	}

	let wasComplete = true;
	let unfinishedBytes = 0;
	socket.on('data', (chunk: Uint8Array) => {
		if (requestsInChunk === 0 && wasComplete) {
			unfinishedBytes += chunk.length;
		} else {
			received = requestsInChunk > 0 ? unfinishedBytes + chunk.length : received + chunk.length;
			unfinishedBytes = countTrailing(chunk);
		}

		requestsInChunk = 0;
		wasComplete = latest?.complete ?? true;
		setUnfinished(unfinishedBytes);
		if (unfinishedBytes > maximumHeadBytes()) {
			refuseHead(socket, requests.size === 0);
		}
	});
	const isReceiving = (): boolean => unfinishedBytes > 0 || [...requests].some(({message}) => !message.complete);
	const isUnread = (): boolean => requests.size > 0 && [...requests].every(({response}) => response.writableEnded);
	const remove = table.add({
		state: () => (isReceiving() || isUnread() || (requests.size === 0 && !hasServed) ? 'incomplete' : (requests.size > 0 ? 'active' : 'idle')),
		since: () => since,
		requestCount: () => requests.size,
		close() {
			socket.destroy();
		},
	});
	socket.on('close', () => {
		remove();
		setUnfinished(0);
	});

	return {
		begin(message: IncomingMessage, response: ServerResponse): number {
			const isFirst = requestsInChunk === 0;
			parsedBytes = (isFirst ? 0 : parsedBytes) + computeHeadSize(message) + Number(message.headers['content-length'] ?? 0);
			requestsInChunk += 1;
			latest = message;
			if (requests.size === 0) {
				since = performance.now();
			}

			const open = {message, response};
			requests.add(open);
			response.once('close', () => {
				requests.delete(open);
				hasServed = true;
				since = performance.now();
			});
			return requests.size;
		},
	};
}

/** Options of `createServer` with which the limits are enforced in time. */
export const LIMITED_SERVER_OPTIONS = {
	/** Maximum of Node.js for the names and values of a head, above the limits of configurations. */
	maxHeaderSize: 65_536,
	/** Period in which Node.js looks for heads that did not arrive in time, in milliseconds. */
	connectionsCheckingInterval: 500,
} as const;

/** Refuses a request of another daemon or of the platform while heads take too much memory. */
export function refuseOverload(_request: IncomingMessage, response: ServerResponse): void {
	response.shouldKeepAlive = false;
	response.writeHead(503, {'content-length': 0}).end();
}

/** Applies the limits to a server. Its own listeners for requests get only those that may be handled. */
export function limitConnections(server: Server, table: ConnectionTable, {onOverload, maximumHeadBytes, headTimeoutMs}: ConnectionLimits): void {
	// Node.js would drop the lines beyond its own limit silently. The size of a head bounds them here.
	server.maxHeadersCount = 0;
	const connections = new WeakMap<Socket, ReturnType<typeof followConnection>>();
	const listeners = server.listeners('request');
	server.removeAllListeners('request');
	server.on('connection', (socket: Socket) => {
		server.headersTimeout = headTimeoutMs();
		connections.set(socket, followConnection(socket, table, maximumHeadBytes));
	});
	server.on('request', (message: IncomingMessage, response: ServerResponse) => {
		const openRequests = connections.get(message.socket)?.begin(message, response) ?? 1;
		if (computeHeadSize(message) > maximumHeadBytes()) {
			dropHead(message);
			response.shouldKeepAlive = false;
			response.writeHead(TOO_LARGE_HEAD_STATUS, {'content-length': 0}).end();
			return;
		}

		const cost = computeHeadCost(message);
		const room = headBudget.maximumBytes() * (cost > LARGE_HEAD_BYTES ? LARGE_HEADS_SHARE : 1);
		if (headBudget.held() + cost > room) {
			if (cost > LARGE_HEAD_BYTES || openRequests > MAXIMUM_PIPELINED_REQUESTS) {
				dropHead(message);
				message.socket.destroy();
				return;
			}

			onOverload(message, response);
			dropHead(message);
			return;
		}

		const held = headBudget.open(() => undefined, performance.now());
		held.keep();
		held.set(cost, performance.now());
		response.once('close', held.release);
		listeners.forEach(listener => {
			Reflect.apply(listener, server, [message, response]);
		});
	});
}
