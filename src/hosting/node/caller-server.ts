/** HTTP server for callers. It routes each request, enforces its deadline, aborts it when the caller disconnects, and answers it exactly once. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {findUnsendableHeader, isRequestTarget} from '../../adapters/common/http-fields.js';
import type {Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import {createConnectionTable, type ConnectionTable} from '../../base/common/connection-table.js';
import {LIMITED_SERVER_OPTIONS, limitConnections, refuseOverload} from '../../base/node/connection-limits.js';
import {openUnreadBytes} from '../../base/node/unread-bytes.js';
import {assignOrganisation} from '../../batches/common/batch-access.js';
import type {Batches} from '../../batches/common/batches.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import {readBody} from '../../requests/node/read-body.js';
import type {HostAddress} from '../../settings/common/host.js';
import type {CallerProtocol, CallerRequest} from '../common/caller-protocol.js';
import {BATCH_BOUNDS} from '../common/batch-bounds.js';
import {compactJson} from '../common/json-size.js';
import {endsBeforeExit, EXIT_MARGIN_MS} from '../common/exit-time.js';
import type {CallerLimits, DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import {computeFingerprint} from '../../gateway/common/request-fingerprint.js';
import type {Forwarder} from '../../gateway/node/forwarder.js';
import {copyEndToEndHeaders} from '../../gateway/node/server-caller.js';
import type {StreamForwarder} from '../../gateway/node/stream-forwarder.js';
import {
	createCallerAdmissions, type AdmissionRefusal, type CallerAdmission,
} from './caller-admission.js';

/** The server for callers of one daemon. */
export type CallerServer = {
	readonly listen: () => Promise<void>;
	/** Announces that the process ends at `exitAt`, a monotonic time. What is open then is answered shortly before. */
	readonly startStopping: (exitAt: number) => void;
	/** Refuses all further requests. */
	readonly refuseFurther: () => void;
	/** Stops accepting connections, refuses requests that may not end before the process does, and closes each one when its request ends; resolves when no request is open. */
	readonly drain: () => Promise<void>;
	/** Resolves when no request is open: each response has been handed to the operating system as a whole, or its connection has closed. */
	readonly whenIdle: () => Promise<void>;
	readonly close: () => void;
};

/** Dependencies of the server. */
export type CallerServerDependencies = {
	readonly callers: HostAddress;
	/** The connections that the process accepts on all its ports; by default they are not bounded. */
	readonly connections?: ConnectionTable;
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

/** Limits used until a configuration is known. */
const INITIAL_LIMITS: CallerLimits = {maximumBodyBytes: 33_554_432, headerTimeoutMs: 5000, idleTimeoutMs: 15_000};
/** Retry-after time for a refused caller when the failure states none, in milliseconds. */
const RETRY_AFTER_MS = 500;
const STATUS = {
	ok: 200, accepted: 202, badRequest: 400, unauthorized: 401, notFound: 404, requestTimeout: 408, tooLarge: 413, badGateway: 502, unavailable: 503, timeout: 504,
} as const;
/** Time for a caller to send its body, in milliseconds: as long as the deadline of a caller that states none. */
const BODY_TIMEOUT_MS = 10_000;
/** Used for a deadline that the caller does not state and for a timeout that the route does not set, in milliseconds. */
const DEFAULT_DEADLINE_MS = 10_000;

/** Retry-after time for a caller that is refused because the daemon stops, in milliseconds: its next connection leads to another daemon. */
const RETRY_ELSEWHERE_MS = 100;
/** Minimum time for storing a batch, in milliseconds. */
const MINIMUM_SUBMISSION_MS = 1000;
/** Time before the end of the process at which all that is open is answered, in milliseconds. */
const EXIT_ANSWER_MS = 200;

/** A request whose response has not been sent completely. */
type OpenCall = {
	readonly requestId: string;
	/** Whether a backend server or the store may have got it. */
	isPassedOn: boolean;
};

/** Creates the server. */
export function createCallerServer(dependencies: CallerServerDependencies): CallerServer {
	const {
		protocol, deployment, forwarder, streams, batches, clock, log, metrics,
	} = dependencies;
	let isDraining = false;
	let isRefusing = false;
	let exitAt = Number.POSITIVE_INFINITY;
	const admissions = createCallerAdmissions(dependencies);
	const openCalls = new Map<ServerResponse, OpenCall>();
	const idleListeners: Array<() => void> = [];

	function markPassedOn(response: ServerResponse): void {
		const openCall = openCalls.get(response);
		if (openCall !== undefined) {
			openCall.isPassedOn = true;
		}
	}

	function limits(): CallerLimits {
		return deployment.current()?.limits ?? INITIAL_LIMITS;
	}

	function reply(response: ServerResponse, status: number, headers: Readonly<Record<string, string | readonly string[] | undefined>>, body: Uint8Array | string): void {
		if (response.destroyed || response.headersSent) {
			return;
		}

		const definedHeaders = Object.fromEntries(Object.entries(headers).flatMap(([name, value]) => (value === undefined ? [] : [[name, typeof value === 'string' ? value : [...value]]])));
		const length = Buffer.byteLength(body);
		response.writeHead(status, {...definedHeaders, 'content-length': length, ...(isDraining && {connection: 'close'})});
		if (length > 0) {
			openUnreadBytes(response).set(length, clock.monotonic());
		}

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
			...(status === STATUS.unauthorized && protocol.challengeHeaders),
		}, '');
	}

	function refuseUnadmitted(response: ServerResponse, requestId: string, {kind, reason}: AdmissionRefusal): void {
		if (kind === 'denied') {
			refuse(response, requestId, STATUS.unauthorized, reason);
		} else {
			refuse(response, requestId, STATUS.unavailable, reason, RETRY_AFTER_MS);
		}
	}

	/** Reads the rest of a body without keeping it, so that the caller gets the response and can use the connection again. */
	function discardBody(request: IncomingMessage): void {
		const timer = dependencies.loop.after(BODY_TIMEOUT_MS, () => {
			request.destroy();
		});
		request.once('close', () => {
			timer.dispose();
		});
		request.resume();
	}

	/** Refuses a request without a known key before its body is read, which would take memory. Returns whether the request was refused. */
	function refuseByHead(request: IncomingMessage, response: ServerResponse, call: CallerRequest & {readonly type: 'forward'}): boolean {
		if (!admissions.isRequired()) {
			return false;
		}

		const route = deployment.findRoute(call.host, request.url ?? '/');
		const admission = route === undefined ? undefined : admissions.admit(request.rawHeaders, route);
		if (admission?.kind === 'admitted') {
			return false;
		}

		discardBody(request);
		if (admission === undefined) {
			refuseWithoutRoute(response, call.requestId);
		} else {
			refuseUnadmitted(response, call.requestId, admission);
		}

		return true;
	}

	function refuseWithFailure(response: ServerResponse, requestId: string, failure: Failure, hasTimedOut: boolean): void {
		if (failure.code === 'notFound') {
			refuse(response, requestId, STATUS.notFound, failure.message);
		} else if (failure.code === 'invalid') {
			refuse(response, requestId, STATUS.badRequest, failure.message);
		} else if (failure.effect === 'notRun') {
			refuse(response, requestId, STATUS.unavailable, failure.message, failure.retryAfterMs ?? RETRY_AFTER_MS);
		} else {
			refuse(response, requestId, hasTimedOut ? STATUS.timeout : STATUS.badGateway, failure.message);
		}
	}

	/** Whether a request is refused because the daemon stops and may not have answered it by then. Before the drain, the load balancer may not know yet. */
	function mayBeCut(deadlineAt: number): boolean {
		return isRefusing || (isDraining && !endsBeforeExit(deadlineAt, exitAt));
	}

	function refuseWhileStopping(response: ServerResponse, requestId: string): void {
		refuse(response, requestId, STATUS.unavailable, 'the daemon is stopping', RETRY_ELSEWHERE_MS);
	}

	/** Answers all that is open, as the process ends next. */
	function answerOpenCalls(): void {
		isRefusing = true;
		openCalls.forEach(({requestId, isPassedOn}, response) => {
			if (isPassedOn) {
				refuse(response, requestId, STATUS.timeout, 'the daemon stops before a backend server has responded');
			} else {
				refuseWhileStopping(response, requestId);
			}
		});
	}

	/** Refuses a request without a known route. Says that the route does not exist only if the configuration is up to date, because a newer one may contain it. */
	function refuseWithoutRoute(response: ServerResponse, requestId: string): void {
		if (deployment.current() === undefined) {
			refuse(response, requestId, STATUS.unavailable, 'no configuration yet', RETRY_AFTER_MS);
		} else if (deployment.mayBeOutdated(clock.monotonic())) {
			refuse(response, requestId, STATUS.unavailable, 'no route in a configuration that may be outdated', RETRY_AFTER_MS);
		} else {
			refuse(response, requestId, STATUS.notFound, 'no route');
		}
	}

	async function submitBatch(request: IncomingMessage, response: ServerResponse, {call, body, admission}: RoutedRequest): Promise<void> {
		const json = compactJson(body, BATCH_BOUNDS);
		if ('exceeds' in json) {
			refuse(response, call.requestId, STATUS.tooLarge, `the batch has more than ${BATCH_BOUNDS[json.exceeds]} JSON ${json.exceeds}`);
			return;
		}

		const submitted = protocol.readBatch(call.requestId, call.host, request.url ?? '/', Buffer.from(json.text.buffer, json.text.byteOffset, json.text.length).toString('utf8'));
		if (typeof submitted === 'string') {
			refuse(response, call.requestId, STATUS.badRequest, submitted);
			return;
		}

		const batch = admission.organisation === undefined ? submitted : assignOrganisation(submitted, admission.organisation.name, admission.withheldHeaders);

		const now = clock.monotonic();
		const deadlineAt = Math.min(now + (call.deadlineMs ?? DEFAULT_DEADLINE_MS), exitAt - EXIT_MARGIN_MS);
		if (isRefusing || deadlineAt - now < MINIMUM_SUBMISSION_MS) {
			refuseWhileStopping(response, call.requestId);
			return;
		}

		markPassedOn(response);
		const accepted = await batches.submit(batch, deadlineAt);
		accepted.match(() => {
			reply(response, STATUS.accepted, {[protocol.requestIdHeader]: call.requestId}, '');
		}, failure => {
			refuseWithFailure(response, call.requestId, failure, true);
		});
	}

	async function forward(request: IncomingMessage, response: ServerResponse, call: CallerRequest & {readonly type: 'forward'}): Promise<void> {
		const receivedAt = clock.monotonic();
		const disconnected = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				disconnected.abort();
			}
		});
		if (refuseByHead(request, response, call)) {
			return;
		}

		const read = await readBody(request, {
			maximumBytes: limits().maximumBodyBytes,
			timeoutMs: BODY_TIMEOUT_MS,
			onDidEnd(release) {
				response.once('close', release);
			},
		}, dependencies.loop);
		if (read.isErr()) {
			// The rest of the body is not read, so the connection can't be used for another request.
			response.shouldKeepAlive = false;
			if (read.error.code === 'overloaded') {
				refuseWithFailure(response, call.requestId, read.error, false);
			} else {
				refuse(response, call.requestId, read.error.code === 'invalid' ? STATUS.tooLarge : STATUS.requestTimeout, read.error.message);
			}

			return;
		}

		const body = read.value;
		if (isRefusing) {
			refuseWhileStopping(response, call.requestId);
			return;
		}

		const route = deployment.findRoute(call.host, request.url ?? '/');
		if (route === undefined) {
			refuseWithoutRoute(response, call.requestId);
			return;
		}

		// The key may have been removed while the body arrived.
		const admission = admissions.admit(request.rawHeaders, route);
		if (admission.kind !== 'admitted') {
			refuseUnadmitted(response, call.requestId, admission);
			return;
		}

		const routed: RoutedRequest = {
			call, route, admission, body, receivedAt, signal: disconnected.signal,
		};
		await (route.repeatability === 'batch' ? submitBatch(request, response, routed) : forwardRouted(request, response, routed));
	}

	type RoutedRequest = {
		readonly call: CallerRequest & {readonly type: 'forward'};
		readonly route: Route;
		readonly admission: CallerAdmission & {readonly kind: 'admitted'};
		readonly body: Uint8Array;
		readonly receivedAt: number;
		readonly signal: AbortSignal;
	};

	async function forwardRouted(request: IncomingMessage, response: ServerResponse, routed: RoutedRequest): Promise<void> {
		const {
			call, route, admission, body, receivedAt, signal,
		} = routed;
		const organisation = admission.organisation?.name;
		const allowedMs = Math.min(call.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs > 0 ? route.timeoutMs : DEFAULT_DEADLINE_MS);
		const content = {
			method: request.method ?? 'GET',
			path: request.url ?? '/',
			headers: {...copyEndToEndHeaders(request.rawHeaders, [...protocol.replacedHeaders, ...admission.withheldHeaders]), ...admission.addedHeaders},
			body: body.length === 0 && request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined ? undefined : body,
		};
		let fingerprint: string | undefined;
		const plainRequest = {
			...content,
			requestId: call.requestId,
			organisation,
			route,
			fingerprint() {
				fingerprint ??= computeFingerprint({...content, organisation});
				return fingerprint;
			},
			deadlineAt: receivedAt + allowedMs,
			signal,
			urgency: Math.min(admission.organisation?.priority ?? route.priority, 9),
			permitUrgency: 'caller' as const,
			...(call.resumption !== undefined && {resumption: call.resumption}),
		};
		if (mayBeCut(plainRequest.deadlineAt)) {
			refuseWhileStopping(response, call.requestId);
			return;
		}

		markPassedOn(response);
		if (route.repeatability === 'stream') {
			const failure = await streams.forward(plainRequest, response, isDraining);
			if (failure !== undefined) {
				refuseWithFailure(response, call.requestId, failure, clock.monotonic() >= plainRequest.deadlineAt - 50);
			}

			return;
		}

		const forwarded = await forwarder.forward(plainRequest);
		if (signal.aborted) {
			log.debug('caller disconnected', {requestId: call.requestId});
			return;
		}

		forwarded.match(backendResponse => {
			const headers = Object.fromEntries(Object.entries(backendResponse.headers).filter(([name]) => !['connection', 'keep-alive', 'transfer-encoding', 'content-length'].includes(name)));
			reply(response, backendResponse.status, headers, backendResponse.body);
		}, failure => {
			refuseWithFailure(response, call.requestId, failure, clock.monotonic() >= plainRequest.deadlineAt - 50);
		});
	}

	async function handleBatchCall(request: IncomingMessage, response: ServerResponse, call: Exclude<CallerRequest, {type: 'forward' | 'malformed'}>): Promise<void> {
		const admission = admissions.admit(request.rawHeaders, undefined);
		if (admission.kind !== 'admitted') {
			refuseUnadmitted(response, '', admission);
			return;
		}

		const {reader} = admission;
		if (call.type === 'batchRead') {
			const page = await batches.read(call.batchId, call.after, isDraining ? 0 : call.waitMs, reader);
			page.match(found => {
				reply(response, STATUS.ok, {'content-type': 'application/json'}, protocol.renderPage(found));
			}, failure => {
				refuseWithFailure(response, '', failure, false);
			});
			return;
		}

		if (call.type === 'batchBody') {
			const body = await batches.readBody(call.batchId, call.itemId, reader);
			body.match(bytes => {
				reply(response, STATUS.ok, {'content-type': 'application/octet-stream'}, bytes);
			}, failure => {
				refuseWithFailure(response, '', failure, false);
			});
			return;
		}

		markPassedOn(response);
		const ended = await batches.end(call.batchId, reader);
		ended.match(() => {
			reply(response, STATUS.ok, {}, '');
		}, failure => {
			refuseWithFailure(response, '', failure, false);
		});
	}

	async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const target = request.url ?? '/';
		// Node.js accepts some heads that it would not send.
		const problem = findUnsendableHeader(request.rawHeaders) ?? (isRequestTarget(target) ? undefined : 'the path has characters that can\'t be sent');
		const call = protocol.readRequest(request.method ?? 'GET', target, request.headers);
		if (problem !== undefined || call.type === 'malformed') {
			// The body is not read, so the connection can't be used for another request.
			response.shouldKeepAlive = false;
			refuse(response, '', STATUS.badRequest, problem ?? 'the path can\'t be decoded');
			return;
		}

		if (call.type === 'forward') {
			await forward(request, response, call);
			return;
		}

		request.resume();
		await handleBatchCall(request, response, call);
	}

	/** Closes idle connections of a draining server. Node.js counts a connection as idle whose response has ended but waits to be read, so these come first. */
	function closeIdleConnections(): void {
		if (isDraining && [...openCalls.keys()].every(response => !response.writableEnded || response.writableFinished)) {
			server.closeIdleConnections();
		}
	}

	async function whenIdle(): Promise<void> {
		if (openCalls.size > 0) {
			await new Promise<void>(resolve => {
				idleListeners.push(resolve);
			});
		}
	}

	function createListener(): Server {
		const server = createServer({
			...LIMITED_SERVER_OPTIONS, keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs, requestTimeout: 0, noDelay: true,
		}, (request, response) => {
			server.keepAliveTimeout = limits().idleTimeoutMs;
			openCalls.set(response, {requestId: protocol.readRequestId(request.headers), isPassedOn: false});
			response.on('finish', () => {
				// A response whose head was sent before the drain does not tell the caller to close, so the caller could send another request that would be cut.
				if (isDraining) {
					request.socket.destroySoon();
				}
			});
			response.on('close', () => {
				openCalls.delete(response);
				closeIdleConnections();
				if (openCalls.size === 0) {
					idleListeners.splice(0).forEach(listener => {
						listener();
					});
				}
			});
			handle(request, response).catch((error: unknown) => {
				log.error('request handling failed', {url: request.url, error: String(error)});
				refuse(response, '', STATUS.badGateway, 'internal error');
			});
		});
		return server;
	}

	const server = createListener();
	const readinessServer = createServer(LIMITED_SERVER_OPTIONS, (request, response) => {
		const isReadinessRequest = protocol.isReadiness(request.method ?? 'GET', request.url ?? '/');
		response.writeHead(isReadinessRequest ? (dependencies.isReady() && !isDraining ? STATUS.ok : STATUS.unavailable) : STATUS.notFound, {'content-length': 0});
		response.end();
	});

	const headLimits = {maximumHeadBytes: () => limits().maximumHeaderBytes ?? LIMITED_SERVER_OPTIONS.maxHeaderSize, headTimeoutMs: () => limits().headerTimeoutMs};
	limitConnections(server, dependencies.connections ?? createConnectionTable(Number.POSITIVE_INFINITY), {
		...headLimits,
		onOverload(request, response) {
			response.shouldKeepAlive = false;
			refuse(response, protocol.readRequestId(request.headers), STATUS.unavailable, 'the heads of requests in progress take too much memory', RETRY_AFTER_MS);
		},
	});
	limitConnections(readinessServer, dependencies.connections ?? createConnectionTable(Number.POSITIVE_INFINITY), {...headLimits, onOverload: refuseOverload});

	async function openListener(listener: Server, address: HostAddress): Promise<void> {
		return new Promise((resolve, reject) => {
			listener.once('error', reject);
			listener.listen({host: address.ip, port: address.port, backlog: 1024}, resolve);
		});
	}

	return {
		async listen() {
			await openListener(server, dependencies.callers);
			if (dependencies.readiness !== undefined) {
				await openListener(readinessServer, dependencies.readiness);
			}
		},
		startStopping(at) {
			exitAt = at;
			dependencies.loop.after(at - EXIT_ANSWER_MS - clock.monotonic(), answerOpenCalls);
		},
		refuseFurther() {
			isRefusing = true;
		},
		async drain() {
			isDraining = true;
			// Connections in use are closed after their next response. `close` of an HTTP server would also close those whose response waits to be read.
			Reflect.apply(TcpServer.prototype.close, server, []);
			closeIdleConnections();
			await whenIdle();
		},
		whenIdle,
		close() {
			server.close();
			server.closeAllConnections();
			readinessServer.close();
			readinessServer.closeAllConnections();
		},
	};
}
