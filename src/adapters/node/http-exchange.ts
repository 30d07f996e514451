/** One try of an HTTP call over one connection, and whether a byte of it can have reached the peer. */
import {Buffer} from 'node:buffer';
import {
	request as startRequest, type Agent, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {createByteBudget} from '../../base/common/byte-budget.js';
import {
	createNotRun, createOutcomeUnknown, type Failure, type FailureCode, type Origin,
} from '../../base/common/failure.js';

/** One HTTP call. */
export type HttpCall = {
	/** The step that a failure names. */
	readonly step: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string | readonly string[]>>;
	readonly body?: Uint8Array | string;
	/** Time for the whole answer; undefined waits until the signal aborts. */
	readonly timeoutMs?: number;
	readonly signal?: AbortSignal;
	/**
	 * `kept`, as by default, uses an open connection again; when the peer has closed it meanwhile, a reading goes again over
	 * a new one, and the outcome of any other call is unknown. `new` opens a connection for this call alone.
	 */
	readonly connection?: 'kept' | 'new';
	/** Called before the first byte can have left. */
	readonly onSent?: () => void;
	/** Receives the body of a successful answer as it comes, in place of the answer's `body`. A text refuses the rest, and names the reason. */
	readonly onData?: (piece: Uint8Array) => string | undefined;
	/** Largest body that is read, in bytes; a larger one is a failure. */
	readonly maximumBytes?: number;
	/** Inspects status and headers before the body is read. A text refuses the answer, and names the reason. */
	readonly onHead?: (status: number, headers: IncomingHttpHeaders) => string | undefined;
	/** Whether the orderly end of the connection may end an answer without a length; otherwise such an answer is incomplete. */
	readonly acceptsConnectionEnd?: boolean;
};

/** A whole HTTP answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** One try of a call over one connection. */
export type Exchange = {
	readonly result: Result<HttpAnswer, Failure>;
	/** A connection kept from an earlier call broke before any answer: the peer may have closed it before this call. */
	readonly wasClosed: boolean;
};

/** Where a try goes. */
export type Target = {
	readonly base: URL;
	readonly agent: Agent;
};

/** The end of a try: the first of an answer, a failure or an abort counts. */
type Ending = {
	readonly markSent: () => void;
	readonly succeed: (answer: HttpAnswer) => void;
	readonly fail: (code: FailureCode, message: string, wasClosed?: boolean) => void;
};

/** Largest body where the call names no other: VM lists and listings of 1,460 VMs come to 0.2 MB, batches and pages of results to 1 MB. */
const MAXIMUM_ANSWER_BYTES = 8 * 1024 * 1024;
/** Largest body of an error in place of a stream: a text for people. */
const MAXIMUM_ERROR_BYTES = 64 * 1024;
/** Largest head of an answer; Node's own default, stated as callers rely on it. */
const MAXIMUM_HEAD_BYTES = 16 * 1024;
/** Interim answers (1xx) before the answer; servers send one at most. */
const MOST_INTERIM_ANSWERS = 4;
/** Bodies of answers that all calls in progress hold together: with the rest of a daemon they stay under the 250 MB of the smallest VMs. */
const LARGEST_SUM_BYTES = 32 * 1024 * 1024;

const answerBytes = createByteBudget(LARGEST_SUM_BYTES);

function isDelimited(response: IncomingMessage): boolean {
	const {headers, statusCode} = response;
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304;
}

function receive(response: IncomingMessage, call: HttpCall, onDone: (answer: HttpAnswer) => void, onBroken: (message: string) => void): void {
	const status = response.statusCode ?? 0;
	const refusal = call.onHead?.(status, response.headers);
	if (refusal !== undefined) {
		onBroken(refusal);
		return;
	}

	const pieces: Uint8Array[] = [];
	const limit = call.maximumBytes ?? (call.onData === undefined ? MAXIMUM_ANSWER_BYTES : MAXIMUM_ERROR_BYTES);
	const held = answerBytes.open(refuse);
	let length = 0;
	let isRefused = false;

	function refuse(reason: string): void {
		isRefused = true;
		pieces.splice(0);
		onBroken(reason);
	}

	function take(piece: Uint8Array): void {
		length += piece.length;
		pieces.push(piece);
		held.add(piece.length);
		if (length > limit) {
			refuse(`the answer is larger than ${limit} bytes`);
		}
	}

	response.on('data', (piece: Uint8Array) => {
		if (isRefused) {
			return;
		}

		if (call.onData && status === 200) {
			const problem = call.onData(piece);
			if (problem !== undefined) {
				refuse(problem);
			}

			return;
		}

		take(piece);
	});
	response.on('error', error => {
		onBroken(error.message);
	});
	response.on('close', () => {
		held.release();
		if (isRefused) {
			return;
		}

		if (response.complete && (call.acceptsConnectionEnd === true || isDelimited(response))) {
			onDone({status, headers: response.headers, body: Buffer.concat(pieces)});
			return;
		}

		onBroken('the answer was cut short');
	});
}

function startCall(call: HttpCall, {base, agent}: Target): ClientRequest {
	return startRequest({
		agent,
		host: base.hostname.replaceAll(/[[\]]/g, ''),
		port: base.port,
		method: call.method,
		maxHeaderSize: MAXIMUM_HEAD_BYTES,
		path: `${base.pathname.replace(/\/$/, '')}${call.path}`,
		headers: {...call.headers, ...(call.body !== undefined && {'content-length': Buffer.byteLength(call.body)})},
	});
}

function createEnding(call: HttpCall, origin: Origin, request: ClientRequest, resolve: (exchange: Exchange) => void): Ending {
	let sent = false;
	let settled = false;

	function settle(result: Result<HttpAnswer, Failure>, wasClosed: boolean): void {
		if (settled) {
			return;
		}

		settled = true;
		clearTimeout(timer);
		call.signal?.removeEventListener('abort', abort);
		resolve({result, wasClosed});
	}

	function fail(code: FailureCode, message: string, wasClosed = false): void {
		settle(err(sent ? createOutcomeUnknown(code, origin, message) : createNotRun(code, origin, message)), wasClosed);
		request.destroy();
	}

	function abort(): void {
		fail('aborted', 'aborted');
	}

	const timer = call.timeoutMs === undefined
		? undefined
		: setTimeout(() => {
			fail('unavailable', `no answer within ${call.timeoutMs} ms`);
		}, call.timeoutMs);
	call.signal?.addEventListener('abort', abort, {once: true});
	return {
		markSent() {
			if (!settled) {
				sent = true;
				call.onSent?.();
			}
		},
		succeed(answer) {
			settle(ok(answer), false);
		},
		fail,
	};
}

function watchSending(request: ClientRequest, onSent: () => void): void {
	request.on('socket', socket => {
		if (socket.connecting) {
			// Runs before the buffered request is written, which waits for the same event.
			socket.prependOnceListener('connect', onSent);
			return;
		}

		onSent();
	});
}

/** Carries out one try. Failures bear the call's step and the peer's host and port. */
export async function exchange(call: HttpCall, target: Target): Promise<Exchange> {
	const origin = {step: call.step, peer: target.base.host};
	if (call.signal?.aborted) {
		return {result: err(createNotRun('aborted', origin, 'aborted before it was sent')), wasClosed: false};
	}

	return new Promise(resolve => {
		const request = startCall(call, target);
		const ending = createEnding(call, origin, request, resolve);
		let answering = false;
		watchSending(request, ending.markSent);
		request.on('error', error => {
			ending.fail('unavailable', error.message, request.reusedSocket && !answering);
		});
		let interim = 0;
		request.on('information', () => {
			interim += 1;
			if (interim > MOST_INTERIM_ANSWERS) {
				ending.fail('incomplete', `more than ${MOST_INTERIM_ANSWERS} interim answers`);
			}
		});
		request.on('response', response => {
			answering = true;
			receive(response, call, ending.succeed, message => {
				ending.fail('incomplete', message);
			});
		});
		request.end(call.body);
	});
}
