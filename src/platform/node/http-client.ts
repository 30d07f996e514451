/**
 * A small HTTP client over Node's `http`: one call, one whole and bounded answer, and a failure that says whether a
 * byte can have reached the peer.
 */
import {Buffer} from 'node:buffer';
import {
	Agent, request as startRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {
	createNotRun, createOutcomeUnknown, type Failure, type FailureCode,
} from '../../base/common/failure.js';

/** One HTTP call. */
export type HttpCall = {
	/** The step that a failure names. */
	readonly step: string;
	readonly method: string;
	/** Path with query. */
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
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
	/** Receives the body of a successful answer as it comes, in place of the answer's `body`. */
	readonly onData?: (piece: Uint8Array) => void;
};

/** A whole HTTP answer. */
export type HttpAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly body: Uint8Array;
};

/** Calls one peer. */
export type HttpClient = {
	/** Host and port of the peer, as failures name it. */
	readonly peer: string;
	/** Resolves with the whole answer, whatever its status. */
	readonly call: (call: HttpCall) => Promise<Result<HttpAnswer, Failure>>;
};

/** Largest answer that is read; a larger one is a failure. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Length to which an answer is quoted in a failure. */
const SHOWN_ANSWER_LENGTH = 200;

/** The header by which a peer says that it did nothing. */
export const notRunHeader = 'x-not-run';

const keepingAgent = new Agent({keepAlive: true});
const singleAgent = new Agent({keepAlive: false});

/** One try of a call over one connection. */
type Exchange = {
	readonly result: Result<HttpAnswer, Failure>;
	/** A connection kept from an earlier call broke before any answer: the peer may have closed it before this call. */
	readonly wasClosed: boolean;
};

function isDelimited(response: IncomingMessage): boolean {
	const {headers, statusCode} = response;
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304;
}

function receive(response: IncomingMessage, call: HttpCall, onDone: (answer: HttpAnswer) => void, onBroken: (message: string) => void): void {
	const status = response.statusCode ?? 0;
	const pieces: Uint8Array[] = [];
	let length = 0;
	response.on('data', (piece: Uint8Array) => {
		if (call.onData && status === 200) {
			call.onData(piece);
			return;
		}

		length += piece.length;
		pieces.push(piece);
		if (length > MAXIMUM_ANSWER_BYTES) {
			onBroken(`the answer is larger than ${MAXIMUM_ANSWER_BYTES} bytes`);
		}
	});
	response.on('error', error => {
		onBroken(error.message);
	});
	response.on('close', () => {
		if (response.complete && isDelimited(response)) {
			onDone({status, headers: response.headers, body: Buffer.concat(pieces)});
			return;
		}

		onBroken('the answer was cut short');
	});
}

/** Creates a client of the peer at a base URL. Connections are kept open and shared by all clients of the process. */
export function createHttpClient(url: string): HttpClient {
	const base = new URL(url);
	const peer = base.host;
	const prefix = base.pathname.replace(/\/$/, '');

	async function exchange(call: HttpCall, agent: Agent): Promise<Exchange> {
		const origin = {step: call.step, peer};
		if (call.signal?.aborted) {
			return {result: err(createNotRun('aborted', origin, 'aborted before it was sent')), wasClosed: false};
		}

		return new Promise(resolve => {
			let sent = false;
			let settled = false;
			let answering = false;
			const request = startRequest({
				agent,
				host: base.hostname.replaceAll(/[[\]]/g, ''),
				port: base.port,
				method: call.method,
				path: `${prefix}${call.path}`,
				headers: {...call.headers, ...(call.body !== undefined && {'content-length': Buffer.byteLength(call.body)})},
			});

			function settle(result: Result<HttpAnswer, Failure>, wasClosed = false): void {
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

			function markSent(): void {
				if (!settled) {
					sent = true;
					call.onSent?.();
				}
			}

			const timer = call.timeoutMs === undefined
				? undefined
				: setTimeout(() => {
					fail('unavailable', `no answer within ${call.timeoutMs} ms`);
				}, call.timeoutMs);
			call.signal?.addEventListener('abort', abort, {once: true});
			request.on('socket', socket => {
				if (socket.connecting) {
					// Runs before the buffered request is written, which waits for the same event.
					socket.prependOnceListener('connect', markSent);
					return;
				}

				markSent();
			});
			request.on('error', error => {
				fail('unavailable', error.message, request.reusedSocket && !answering);
			});
			request.on('response', response => {
				answering = true;
				receive(response, call, answer => {
					settle(ok(answer));
				}, message => {
					fail('incomplete', message);
				});
			});
			request.end(call.body);
		});
	}

	return {
		peer,
		async call(call) {
			const first = await exchange(call, call.connection === 'new' ? singleAgent : keepingAgent);
			const last = first.wasClosed && call.method === 'GET' ? await exchange(call, singleAgent) : first;
			return last.result;
		},
	};
}

/** Reads the body of an answer as text. */
export function readText(answer: HttpAnswer): string {
	return new TextDecoder().decode(answer.body);
}

/** Reads how long the peer asks to be left alone, in milliseconds. */
export function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) && headers['retry-after'] !== undefined ? seconds * 1000 : undefined;
}

/** Whether the peer says itself that it did nothing. */
export function saysNotRun(answer: HttpAnswer): boolean {
	return answer.status === 503 && answer.headers[notRunHeader] === 'true';
}

/** Turns an answer that is not a success into a failure; `overloaded` when the peer says that it did nothing. */
export function createStatusFailure(answer: HttpAnswer, step: string, peer: string): Failure {
	const origin = {step, peer};
	const message = `the peer answered ${answer.status}: ${readText(answer).slice(0, SHOWN_ANSWER_LENGTH)}`;
	if (saysNotRun(answer)) {
		return createNotRun('overloaded', origin, message, readRetryAfterMs(answer.headers));
	}

	return answer.status === 400
		? createNotRun('invalid', origin, message)
		: createOutcomeUnknown('unavailable', origin, message);
}

/** Reads the JSON body of a successful answer. */
export function readJson<T>(answer: HttpAnswer, schema: z.ZodType<T>, step: string, peer: string): Result<T, Failure> {
	if (answer.status < 200 || answer.status > 299) {
		return err(createStatusFailure(answer, step, peer));
	}

	try {
		const parsed = schema.safeParse(JSON.parse(readText(answer)));
		return parsed.success ? ok(parsed.data) : err(createOutcomeUnknown('incomplete', {step, peer}, `unexpected answer: ${parsed.error.message}`));
	} catch {
		return err(createOutcomeUnknown('incomplete', {step, peer}, 'the answer is not JSON'));
	}
}

/** Calls the peer with a JSON body, if any, and reads a JSON answer. */
export async function callJson<T>(client: HttpClient, call: Omit<HttpCall, 'body' | 'headers'> & {readonly json?: unknown}, schema: z.ZodType<T>): Promise<Result<T, Failure>> {
	const {json, ...rest} = call;
	const answer = await client.call({...rest, ...(json !== undefined && {headers: {'content-type': 'application/json'}, body: JSON.stringify(json)})});
	return answer.andThen(whole => readJson(whole, schema, call.step, client.peer));
}
