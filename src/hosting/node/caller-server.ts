/** Serves callers: routes each request, bounds its time, passes a caller's leaving on, and answers every request once. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Batches} from '../../batches/common/batches.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {readBody} from '../../requests/node/read-body.js';
import type {HostAddress} from '../../settings/common/host.js';
import type {CallerProtocol, CallerRequest} from '../common/caller-protocol.js';
import type {CallerLimits, DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import type {Forwarder} from '../../gateway/node/forwarder.js';
import {copyEndToEndHeaders} from '../../gateway/node/server-caller.js';
import type {StreamForwarder} from '../../gateway/node/stream-forwarder.js';

/** The callers' side of one daemon. */
export type CallerServer = {
	readonly listen: () => Promise<void>;
	/** Closes connections as their requests end; resolves when none is left. */
	readonly drain: () => Promise<void>;
	readonly close: () => void;
};

/** What the server works with. */
export type CallerServerParts = {
	readonly callers: HostAddress;
	readonly readiness: HostAddress | undefined;
	readonly protocol: CallerProtocol;
	readonly deployment: DeploymentHolder;
	readonly forwarder: Forwarder;
	readonly streams: StreamForwarder;
	readonly batches: Batches;
	readonly isReady: () => boolean;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Limits before a configuration is known. */
const FIRST_LIMITS: CallerLimits = {maximumBodyBytes: 33_554_432, headerTimeoutMs: 5000, idleTimeoutMs: 15_000};
/** Largest header block that is read. */
const MAXIMUM_HEADER_BYTES = 65_536;
/** Time within which a refused caller may come back, when nothing better is known, in milliseconds. */
const RETURN_AFTER_MS = 500;
const STATUS = {
	ok: 200, accepted: 202, badRequest: 400, notFound: 404, requestTimeout: 408, tooLarge: 413, badGateway: 502, unavailable: 503, timeout: 504,
} as const;
/** Time for a caller to send its body, in milliseconds: the longest deadline of callers that state none. */
const BODY_TIMEOUT_MS = 10_000;
/** Deadline of callers that state none and whose route has none. */
const DEFAULT_DEADLINE_MS = 10_000;

/** Creates the server. */
export function createCallerServer(parts: CallerServerParts): CallerServer {
	const {
		protocol, deployment, forwarder, streams, batches, clock, log, metrics,
	} = parts;
	let isDraining = false;
	let open = 0;
	const onIdle: Array<() => void> = [];

	function limits(): CallerLimits {
		return deployment.current()?.limits ?? FIRST_LIMITS;
	}

	function reply(response: ServerResponse, status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, body: Uint8Array | string): void {
		if (response.destroyed || response.headersSent) {
			return;
		}

		const given = Object.fromEntries(Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, typeof value === 'string' ? value : [...value]]])));
		response.writeHead(status, {...given, 'content-length': Buffer.byteLength(body), ...(isDraining && {connection: 'close'})});
		response.end(body);
	}

	function refuse(response: ServerResponse, requestId: string, status: number, reason: string, retryAfterMs?: number): void {
		log.info('request not served', {
			requestId, status, reason, retryAfterMs, configuration: deployment.current()?.version,
		});
		metrics.count('request.not_served', 1, {status: String(status)});
		reply(response, status, {
			...(requestId !== '' && {[protocol.requestIdHeader]: requestId}),
			...(retryAfterMs !== undefined && {[protocol.retryAfterHeader]: (retryAfterMs / 1000).toFixed(2)}),
		}, '');
	}

	function refuseFor(response: ServerResponse, requestId: string, failure: Failure, isTimeOver: boolean): void {
		if (failure.code === 'notFound') {
			refuse(response, requestId, STATUS.notFound, failure.message);
		} else if (failure.code === 'invalid') {
			refuse(response, requestId, STATUS.badRequest, failure.message);
		} else if (failure.effect === 'notRun') {
			refuse(response, requestId, STATUS.unavailable, failure.message, failure.retryAfterMs ?? RETURN_AFTER_MS);
		} else {
			refuse(response, requestId, isTimeOver ? STATUS.timeout : STATUS.badGateway, failure.message);
		}
	}

	/** A route that is not known may stand in a configuration that this daemon lacks. */
	function refuseWithoutRoute(response: ServerResponse, requestId: string): void {
		if (deployment.current() === undefined) {
			refuse(response, requestId, STATUS.unavailable, 'no configuration yet', RETURN_AFTER_MS);
		} else if (deployment.mayBeOutdated(clock.monotonic())) {
			refuse(response, requestId, STATUS.unavailable, 'no route in a configuration that may be outdated', RETURN_AFTER_MS);
		} else {
			refuse(response, requestId, STATUS.notFound, 'no route');
		}
	}

	async function submit(request: IncomingMessage, response: ServerResponse, call: CallerRequest & {readonly type: 'forward'}, body: Uint8Array): Promise<void> {
		const batch = protocol.readBatch(call.requestId, call.host, request.url ?? '/', Buffer.from(body).toString('utf8'));
		if (typeof batch === 'string') {
			refuse(response, call.requestId, STATUS.badRequest, batch);
			return;
		}

		const accepted = await batches.submit(batch, clock.monotonic() + (call.deadlineMs ?? DEFAULT_DEADLINE_MS));
		accepted.match(() => {
			reply(response, STATUS.accepted, {[protocol.requestIdHeader]: call.requestId}, '');
		}, failure => {
			refuseFor(response, call.requestId, failure, true);
		});
	}

	async function forward(request: IncomingMessage, response: ServerResponse, call: CallerRequest & {readonly type: 'forward'}): Promise<void> {
		const receivedAt = clock.monotonic();
		const left = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				left.abort();
			}
		});
		const read = await readBody(request, {maximumBytes: limits().maximumBodyBytes, timeoutMs: BODY_TIMEOUT_MS}, parts.loop);
		if (read.isErr()) {
			// The rest of the body is not read, so the connection carries no further request.
			response.shouldKeepAlive = false;
			if (read.error.code === 'overloaded') {
				refuseFor(response, call.requestId, read.error, false);
			} else {
				refuse(response, call.requestId, read.error.code === 'invalid' ? STATUS.tooLarge : STATUS.requestTimeout, read.error.message);
			}

			return;
		}

		const body = read.value;

		const route = deployment.findRoute(call.host, request.url ?? '/');
		if (route === undefined) {
			refuseWithoutRoute(response, call.requestId);
			return;
		}

		if (route.repeatability === 'batch') {
			await submit(request, response, call, body);
			return;
		}

		await forwardRouted(request, response, {
			call, route, body, receivedAt, signal: left.signal,
		});
	}

	type RoutedRequest = {
		readonly call: CallerRequest & {readonly type: 'forward'};
		readonly route: Route;
		readonly body: Uint8Array;
		readonly receivedAt: number;
		readonly signal: AbortSignal;
	};

	async function forwardRouted(request: IncomingMessage, response: ServerResponse, routed: RoutedRequest): Promise<void> {
		const {
			call, route, body, receivedAt, signal,
		} = routed;
		const allowedMs = Math.min(call.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs > 0 ? route.timeoutMs : DEFAULT_DEADLINE_MS);
		const plain = {
			requestId: call.requestId,
			route,
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: copyEndToEndHeaders(request.rawHeaders, protocol.replacedHeaders),
			body: body.length === 0 && request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined ? undefined : body,
			deadlineAt: receivedAt + allowedMs,
			signal,
			urgency: Math.min(route.priority, 9),
		};
		if (route.repeatability === 'stream') {
			const failure = await streams.forward(plain, response, isDraining);
			if (failure !== undefined) {
				refuseFor(response, call.requestId, failure, clock.monotonic() >= plain.deadlineAt - 50);
			}

			return;
		}

		const answered = await forwarder.forward(plain);
		if (signal.aborted) {
			log.debug('caller left', {requestId: call.requestId});
			return;
		}

		answered.match(answer => {
			const headers = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => !['connection', 'keep-alive', 'transfer-encoding', 'content-length'].includes(name)));
			reply(response, answer.status, headers, answer.body);
		}, failure => {
			refuseFor(response, call.requestId, failure, clock.monotonic() >= plain.deadlineAt - 50);
		});
	}

	async function answerBatchCall(response: ServerResponse, call: Exclude<CallerRequest, {type: 'forward'}>): Promise<void> {
		if (call.type === 'batchRead') {
			const page = await batches.read(call.batchId, call.after, isDraining ? 0 : call.waitMs);
			page.match(found => {
				reply(response, STATUS.ok, {'content-type': 'application/json'}, protocol.renderPage(found));
			}, failure => {
				refuseFor(response, '', failure, false);
			});
			return;
		}

		if (call.type === 'batchBody') {
			const body = await batches.readBody(call.batchId, call.itemId);
			body.match(bytes => {
				reply(response, STATUS.ok, {'content-type': 'application/octet-stream'}, bytes);
			}, failure => {
				refuseFor(response, '', failure, false);
			});
			return;
		}

		const ended = await batches.end(call.batchId);
		ended.match(() => {
			reply(response, STATUS.ok, {}, '');
		}, failure => {
			refuseFor(response, '', failure, false);
		});
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const call = protocol.readRequest(request.method ?? 'GET', request.url ?? '/', request.headers);
		if (call.type === 'forward') {
			await forward(request, response, call);
			return;
		}

		request.resume();
		await answerBatchCall(response, call);
	}

	function createListener(): Server {
		const server = createServer({
			maxHeaderSize: MAXIMUM_HEADER_BYTES, keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs, requestTimeout: 0, noDelay: true,
		}, (request, response) => {
			server.keepAliveTimeout = limits().idleTimeoutMs;
			open += 1;
			response.on('close', () => {
				open -= 1;
				if (open === 0) {
					onIdle.splice(0).forEach(listener => {
						listener();
					});
				}
			});
			handle(request, response).catch((error: unknown) => {
				log.error('request failed here', {url: request.url, error: String(error)});
				refuse(response, '', STATUS.badGateway, 'internal error');
			});
		});
		return server;
	}

	const server = createListener();
	const readinessServer = createServer((request, response) => {
		const isAsked = protocol.isReadiness(request.method ?? 'GET', request.url ?? '/');
		response.writeHead(isAsked ? (parts.isReady() && !isDraining ? STATUS.ok : STATUS.unavailable) : STATUS.notFound, {'content-length': 0});
		response.end();
	});

	async function openListener(listener: Server, address: HostAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			listener.once('error', reject);
			listener.listen({host: address.ip, port: address.port, backlog: 1024}, resolve);
		});
	}

	return {
		async listen() {
			await openListener(server, parts.callers);
			if (parts.readiness !== undefined) {
				await openListener(readinessServer, parts.readiness);
			}
		},
		async drain() {
			isDraining = true;
			// Accepts no further connection and closes idle ones; those in use close with their next answer.
			server.close();
			if (open > 0) {
				await new Promise<void>(resolve => {
					onIdle.push(resolve);
				});
			}
		},
		close() {
			server.close();
			server.closeAllConnections();
			readinessServer.close();
			readinessServer.closeAllConnections();
		},
	};
}
