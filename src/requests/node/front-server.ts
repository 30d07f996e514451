/** The HTTP server for callers, trainers and operators. */
import {randomUUID} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Duplex} from 'node:stream';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Authenticate} from '../common/access.js';
import type {Front, FrontRequest} from '../common/front.js';
import {createProblem} from '../common/problem.js';
import {createRouteTable, type RouteMatch} from '../common/route-table.js';
import {readBody} from './read-body.js';
import {sendProblem} from './respond.js';

/** Limits and dependencies of the HTTP server. */
export type FrontOptions = {
	readonly address: string;
	/** 0 chooses any free port. */
	readonly port: number;
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	/** Deadline of requests without a `deadline-ms` header. */
	readonly deadlineMs: number;
	readonly drainMs: number;
	readonly authenticate: Authenticate;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** The HTTP API with the controls of its server. */
export type FrontServer = Front & {
	/** Starts to listen; resolves with the port. */
	readonly listen: () => Promise<number>;
	/** Refuses new customer requests; resolves when the requests in progress have ended or after `drainMs`. */
	readonly drain: () => Promise<void>;
	readonly draining: () => boolean;
	/** Number of requests in progress. */
	readonly inProgress: () => number;
	readonly dispose: () => void;
};

const MAXIMUM_DEADLINE_MS = 3_600_000;
const KEEP_ALIVE_TIMEOUT_MS = 65_000;
/** Time within which a caller must receive a response that is complete; then its connection is closed. */
const DELIVERY_TIMEOUT_MS = 30_000;
const DRAIN_POLL_MS = 50;
/** Interval at which connections are checked for headers that did not arrive in time. */
const CONNECTION_CHECK_INTERVAL_MS = 1000;

const drainingFailure = createNotRun('unavailable', {step: 'accept request', peer: 'self'}, 'the daemon is draining', 1000);

function rejectMalformed(error: NodeJS.ErrnoException, socket: Duplex): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const isLate = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	const failure = isLate
		? createNotRun('deadlineExceeded', {step: 'read headers', peer: 'caller'}, 'the headers did not arrive in time')
		: createNotRun('invalid', {step: 'read headers', peer: 'caller'}, `malformed HTTP request: ${error.code ?? error.message}`);
	const problem = createProblem(failure, '');
	const body = JSON.stringify(problem);
	const reason = isLate ? 'Gateway Timeout' : 'Bad Request';
	socket.end([
		`HTTP/1.1 ${problem.status} ${reason}`,
		'content-type: application/problem+json',
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
}

function readDeadline(message: IncomingMessage, defaultMs: number): number | undefined {
	const header = message.headers['deadline-ms'];
	if (header === undefined) {
		return defaultMs;
	}

	const value = Number(header);
	return Number.isInteger(value) && value > 0 && value <= MAXIMUM_DEADLINE_MS ? value : undefined;
}

/** Creates a server that is not listening yet. */
export function createFrontServer(options: FrontOptions): FrontServer {
	const {clock, loop, log, metrics} = options;
	const routes = createRouteTable();
	const inProgress = new Set<ServerResponse>();
	let draining = false;

	const server = createServer({
		headersTimeout: options.headerTimeoutMs,
		requestTimeout: 0,
		keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
		connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
	});

	function refuse(response: ServerResponse, failure: Failure, requestId: string): void {
		metrics.count('requests.refused', 1, {code: failure.code});
		sendProblem(response, failure, requestId);
	}

	/** Refuses a request whose body has not been read completely, and closes the connection. */
	function refuseUnread(message: IncomingMessage, response: ServerResponse, failure: Failure, requestId: string): void {
		response.shouldKeepAlive = false;
		response.once('finish', () => {
			message.socket.end();
			message.resume();
		});
		refuse(response, failure, requestId);
	}

	async function runRoute(match: RouteMatch, request: FrontRequest, response: ServerResponse): Promise<void> {
		try {
			await match.route.handle(request, response, clock.monotonic());
		} catch (error) {
			log.error('route failed', {requestId: request.requestId, path: match.route.path, error: String(error)});
			refuse(response, createOutcomeUnknown('unavailable', {step: 'handle request', peer: 'self'}, 'internal error'), request.requestId);
		}

		if (!response.writableEnded) {
			response.destroy();
		}
	}

	function limitDeliveryTime(response: ServerResponse): void {
		if (response.writableFinished || response.destroyed) {
			return;
		}

		const timer = loop.after(DELIVERY_TIMEOUT_MS, () => {
			response.destroy();
		});
		response.once('close', timer.dispose);
	}

	async function handle(message: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
		const receivedAt = clock.monotonic();
		const url = URL.canParse(message.url ?? '/', 'http://self') ? new URL(message.url ?? '/', 'http://self') : undefined;
		if (url === undefined) {
			refuseUnread(message, response, createNotRun('invalid', {step: 'read headers', peer: 'caller'}, 'the request target is not a path'), requestId);
			return;
		}

		const match = routes.match(message.method ?? '', url.pathname);
		if (match.isErr()) {
			refuseUnread(message, response, match.error, requestId);
			return;
		}

		const principal = options.authenticate(match.value.route.access, message.headers.authorization);
		if (principal.isErr()) {
			refuseUnread(message, response, principal.error, requestId);
			return;
		}

		if (draining && match.value.route.access === 'customer') {
			refuseUnread(message, response, drainingFailure, requestId);
			return;
		}

		const deadlineMs = readDeadline(message, options.deadlineMs);
		if (deadlineMs === undefined) {
			refuseUnread(message, response, createNotRun('invalid', {step: 'read headers', peer: 'caller'}, 'deadline-ms must be a whole number of milliseconds, at least 1'), requestId);
			return;
		}

		const controller = new AbortController();
		response.once('close', () => {
			controller.abort();
		});
		const body = await readBody(message, {maximumBytes: options.maximumBodyBytes, timeoutMs: Math.min(options.headerTimeoutMs, deadlineMs)}, loop);
		if (body.isErr()) {
			refuseUnread(message, response, body.error, requestId);
			return;
		}

		await runRoute(match.value, {
			requestId,
			principal: principal.value,
			parameters: match.value.parameters,
			query: url.searchParams,
			body: body.value,
			raw: message,
			deadline: receivedAt + deadlineMs,
			signal: controller.signal,
		}, response);
	}

	server.on('request', (message, response) => {
		const requestId = randomUUID();
		response.setHeader('request-id', requestId);
		if (draining) {
			response.setHeader('connection', 'close');
		}

		const receivedAt = clock.monotonic();
		inProgress.add(response);
		response.once('close', () => {
			inProgress.delete(response);
			// The caller may have disconnected before it received the complete response.
			const status = response.writableFinished ? String(response.statusCode) : 'aborted';
			metrics.timing('requests.duration', clock.monotonic() - receivedAt, {status});
			metrics.gauge('requests.in_progress', inProgress.size);
		});
		void handle(message, response, requestId).then(() => {
			limitDeliveryTime(response);
		}, (error: unknown) => {
			log.error('request failed', {requestId, error: String(error)});
			response.destroy();
		});
	});
	server.on('clientError', rejectMalformed);

	async function waitUntilIdle(until: number): Promise<void> {
		if (inProgress.size === 0 || clock.monotonic() >= until) {
			return;
		}

		await loop.sleep(DRAIN_POLL_MS);
		await waitUntilIdle(until);
	}

	return {
		register: routes.add,
		async listen() {
			return new Promise((resolve, reject) => {
				server.once('error', reject);
				server.listen(options.port, options.address, () => {
					// `address()` returns an object for servers that listen on a port.
					// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
					resolve((server.address() as AddressInfo).port);
				});
			});
		},
		async drain() {
			draining = true;
			await waitUntilIdle(clock.monotonic() + options.drainMs);
			if (inProgress.size > 0) {
				log.warn('drain timed out with requests in progress', {requests: inProgress.size});
			}
		},
		draining: () => draining,
		inProgress: () => inProgress.size,
		dispose() {
			server.close();
			server.closeAllConnections();
		},
	};
}
