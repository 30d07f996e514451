/** Sends one HTTP call over one connection, and reports whether any byte of it can have reached the peer. */
import {Buffer} from 'node:buffer';
import {
	request as startRequest, type Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {err, ok, Result} from 'neverthrow';
import {findUnsendableHeader, MAXIMUM_STATUS, MINIMUM_STATUS} from '../common/http-fields.js';
import {createCompactBytes} from '../../base/common/compact-bytes.js';
import {createMessagePace} from '../../base/node/message-pace.js';
import {responseBudget} from '../../base/common/message-budgets.js';
import {
	createNotRun, createOutcomeUnknown, type Failure, type FailureCode, type Origin,
} from '../../base/common/failure.js';

/** One HTTP call. */
export type HttpCall = {
	/** Name of the step, which failures contain. */
	readonly step: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string | readonly string[]>>;
	readonly body?: Uint8Array | string;
	/** Time limit for the complete response; undefined waits until the signal aborts. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
	/**
	 * `kept`, the default, may reuse an open connection. When the peer has closed that connection in the meantime, a GET is
	 * sent again over a new one, and the outcome of any other call is unknown. `new` opens a connection for this call only.
	 */
	readonly connection?: 'kept' | 'new';
	/** Time limit for establishing a new connection; undefined leaves only `timeoutMs`. */
	readonly connectTimeoutMs?: number;
	/** Called when a new connection was established, or could not be. */
	readonly onDidConnect?: (isConnected: boolean) => void;
	/** Called with the connection of the call, new or kept, before a byte is sent over it. */
	readonly onSocket?: (socket: Socket) => void;
	/** Called before the first byte can have been sent. */
	readonly onSent?: () => void;
	/** Asked when the connection is ready, immediately before the first byte is sent; with false the call fails as not run. */
	readonly maySend?: () => boolean;
	/** Resets the connection of a call that is given up, so that the system does not deliver later what it has not delivered yet. */
	readonly resetsWhenGivenUp?: boolean;
	/** Receives the chunks of a 200 response as they arrive, instead of the response's `body`. A returned text aborts the call and is the reason. */
	readonly onData?: (chunk: Uint8Array) => string | undefined;
	/** Maximum size of the body in bytes; a larger one fails the call. */
	readonly maximumBytes?: number;
	/** Inspects status and headers before the body is read. A returned text aborts the call and is the reason. */
	readonly onHead?: (status: number, headers: IncomingHttpHeaders) => string | undefined;
	/** Whether the connection is closed after a response with these headers instead of being kept; called after `onHead` has accepted them. */
	readonly closesConnection?: (headers: IncomingHttpHeaders) => boolean;
	/** Whether a response without a length may end when the peer closes the connection; otherwise such a response is incomplete. */
	readonly acceptsConnectionEnd?: boolean;
};

/** A complete HTTP response. */
export type HttpResponse = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** The outcome of one attempt of a call over one connection. */
export type Exchange = {
	readonly result: Result<HttpResponse, Failure>;
	/** Whether a reused connection broke before any response, so that the peer may have closed it before this call. */
	readonly wasClosed: boolean;
};

/** The peer and the connections that an attempt uses. */
export type Target = {
	readonly base: URL;
	readonly agent: Agent;
};

/** Completes an attempt with the first of a response, a failure or an abort; later ones are ignored. */
type CallCompletion = {
	readonly markSent: () => void;
	readonly succeed: (response: HttpResponse) => void;
	readonly fail: (code: FailureCode, message: string, wasClosed?: boolean) => void;
};

/** Default maximum body size: VM lists and object listings for 1,460 VMs take 0.2 MB, batches and pages of results 1 MB. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Maximum body size of an error response that arrives instead of a stream; such a body is a text for people. */
const MAXIMUM_ERROR_BODY_BYTES = 64 * 1024;
/** Maximum size of the response headers. This is Node's default, set explicitly because callers depend on it. */
const MAXIMUM_HEAD_BYTES = 16 * 1024;
/** Maximum number of interim (1xx) responses before the final one; servers send at most one. */
const MAXIMUM_INTERIM_RESPONSES = 4;
function isDelimited(response: IncomingMessage): boolean {
	const {headers, statusCode} = response;
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304;
}

/** Runs a listener of the call; what it throws ends this call and nothing else. */
function runListener<T>(listener: () => T, onBroken: (message: string) => void): T | undefined {
	return Result.fromThrowable(listener, String)().match(value => value, error => {
		onBroken(`the response can't be handled: ${error}`);
		return undefined;
	});
}

/** Describes a head that can't be passed on, although Node.js accepts it from a server; undefined for any other. */
function findMalformedHead({statusCode = 0, rawHeaders}: IncomingMessage): string | undefined {
	return statusCode < MINIMUM_STATUS || statusCode > MAXIMUM_STATUS ? `the status ${statusCode} is none` : findUnsendableHeader(rawHeaders);
}

function receiveResponse(response: IncomingMessage, call: HttpCall, onDone: (response: HttpResponse) => void, onBroken: (message: string) => void): void {
	const status = response.statusCode ?? 0;
	const refusal = findMalformedHead(response) ?? call.onHead?.(status, response.headers);
	if (refusal !== undefined) {
		onBroken(refusal);
		return;
	}

	const limit = call.maximumBytes ?? (call.onData === undefined ? MAXIMUM_RESPONSE_BYTES : MAXIMUM_ERROR_BODY_BYTES);
	const heldBytes = responseBudget.open(refuse, performance.now());
	const announced = Number(response.headers['content-length'] ?? 0);
	const pace = createMessagePace(response);
	const body = createCompactBytes({bytes: announced <= limit ? announced : 0, allocationShare: 0});
	let length = 0;
	let isRefused = false;

	function refuse(reason: string): void {
		isRefused = true;
		body.clear();
		onBroken(reason);
	}

	function addChunk(chunk: Uint8Array): void {
		length += chunk.length;
		if (length > limit) {
			refuse(`the response body is larger than ${limit} bytes`);
			return;
		}

		heldBytes.add(body.add(chunk), performance.now());
	}

	response.on('data', (chunk: Uint8Array) => {
		pace.countChunk();
		if (isRefused) {
			return;
		}

		if (call.onData && status === 200) {
			const problem = runListener(() => call.onData?.(chunk), refuse);
			if (problem !== undefined) {
				refuse(problem);
			}

			return;
		}

		addChunk(chunk);
	});
	response.on('error', error => {
		onBroken(error.message);
	});
	response.on('close', () => {
		pace.dispose();
		heldBytes.release();
		if (isRefused) {
			return;
		}

		if (response.complete && (call.acceptsConnectionEnd === true || isDelimited(response))) {
			onDone({status, headers: response.headers, body: body.take()});
			return;
		}

		onBroken('the connection closed before the response was complete');
	});
}

/** Starts a call. Fails for a head that HTTP cannot carry, for which Node.js throws. */
const startCall = Result.fromThrowable((call: HttpCall, {base, agent}: Target): ClientRequest => startRequest({
	agent,
	host: base.hostname.replaceAll(/[[\]]/g, ''),
	port: base.port,
	method: call.method,
	maxHeaderSize: MAXIMUM_HEAD_BYTES,
	path: `${base.pathname.replace(/\/$/, '')}${call.path}`,
	headers: {...call.headers, ...(call.body !== undefined && {'content-length': Buffer.byteLength(call.body)})},
}), String);

function createCompletion(call: HttpCall, origin: Origin, request: ClientRequest, resolve: (exchange: Exchange) => void): CallCompletion {
	let isSent = false;
	let isSettled = false;

	function settle(result: Result<HttpResponse, Failure>, wasClosed: boolean): void {
		if (isSettled) {
			return;
		}

		isSettled = true;
		clearTimeout(timer);
		call.signal?.removeEventListener('abort', abort);
		resolve({result, wasClosed});
	}

	function fail(code: FailureCode, message: string, wasClosed = false): void {
		settle(err(isSent ? createOutcomeUnknown(code, origin, message) : createNotRun(code, origin, message)), wasClosed);
		if (isSent && call.resetsWhenGivenUp === true) {
			request.socket?.resetAndDestroy();
		}

		request.destroy();
	}

	function abort(): void {
		fail('aborted', 'aborted');
	}

	const timer = call.timeoutMs === undefined
		? undefined
		: setTimeout(() => {
			fail('unavailable', `no response within ${call.timeoutMs} ms`);
		}, call.timeoutMs);
	call.signal?.addEventListener('abort', abort, {once: true});
	return {
		markSent() {
			if (isSettled) {
				return;
			}

			if (call.maySend?.() === false) {
				fail('aborted', 'no longer allowed when the connection was ready');
				return;
			}

			isSent = true;
			call.onSent?.();
		},
		succeed(response) {
			settle(ok(response), false);
		},
		fail,
	};
}

function watchSending(request: ClientRequest, onSent: () => void): void {
	request.on('socket', socket => {
		if (socket.connecting) {
			// Must run before the buffered request is written, which also waits for `connect`.
			socket.prependOnceListener('connect', onSent);
			return;
		}

		onSent();
	});
}

/** Reports how establishing a new connection ended, and ends it when it takes longer than `connectTimeoutMs`. */
function watchConnecting(request: ClientRequest, {connectTimeoutMs, onDidConnect}: HttpCall, onTimeout: () => void): void {
	request.on('socket', socket => {
		if (!socket.connecting) {
			return;
		}

		let isSettled = false;
		const settle = (isConnected: boolean) => {
			if (!isSettled) {
				isSettled = true;
				clearTimeout(timer);
				onDidConnect?.(isConnected);
			}
		};

		const timer = connectTimeoutMs === undefined
			? undefined
			: setTimeout(() => {
				// A loop that was held up may run the timer before it sees a connection that was established in time.
				setImmediate(() => {
					if (!isSettled && socket.connecting) {
						settle(false);
						onTimeout();
					}
				});
			}, connectTimeoutMs);
		const onError = () => {
			settle(false);
		};

		const onClose = () => {
			// The call was aborted before it was known whether the peer answers.
			clearTimeout(timer);
		};

		socket.once('connect', () => {
			// A kept connection would otherwise hold this call and its response in memory until it is closed.
			socket.off('error', onError);
			socket.off('close', onClose);
			settle(true);
		});
		socket.once('error', onError);
		socket.once('close', onClose);
	});
}

/** Makes one attempt of a call; never rejects. Failures contain the call's step and the peer's host and port, and have the code `invalid` if the call cannot be sent. */
export async function exchange(call: HttpCall, target: Target): Promise<Exchange> {
	const origin = {step: call.step, peer: target.base.host};
	if (call.signal?.aborted) {
		return {result: err(createNotRun('aborted', origin, 'aborted before it was sent')), wasClosed: false};
	}

	const started = startCall(call, target);
	if (started.isErr()) {
		return {result: err(createNotRun('invalid', origin, `the call cannot be sent: ${started.error}`)), wasClosed: false};
	}

	const request = started.value;
	return new Promise(resolve => {
		const completion = createCompletion(call, origin, request, resolve);
		let hasResponse = false;
		request.on('socket', socket => {
			call.onSocket?.(socket);
		});
		watchSending(request, completion.markSent);
		watchConnecting(request, call, () => {
			completion.fail('unavailable', `no connection within ${call.connectTimeoutMs} ms`);
		});
		request.on('error', error => {
			completion.fail('unavailable', error.message, request.reusedSocket && !hasResponse);
		});
		let interimCount = 0;
		request.on('information', () => {
			interimCount += 1;
			if (interimCount > MAXIMUM_INTERIM_RESPONSES) {
				completion.fail('incomplete', `more than ${MAXIMUM_INTERIM_RESPONSES} interim responses`);
			}
		});
		request.on('response', response => {
			hasResponse = true;
			const onBroken = (message: string) => {
				completion.fail('incomplete', message);
			};

			runListener(() => {
				receiveResponse(response, call, completion.succeed, onBroken);
				if (call.closesConnection?.(response.headers) === true) {
					request.shouldKeepAlive = false;
				}
			}, onBroken);
		});
		request.end(call.body);
	});
}
