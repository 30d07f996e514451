/**
 * Relays over the port of the peer mesh. The body of a call is a line of JSON and the request's body. The reply with status 200 is a line of
 * JSON with the server's head and the server's body, as it arrives; it is cut if the server's response is. Any other status says why there
 * is none.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {performance} from 'node:perf_hooks';
import {err, ok} from 'neverthrow';
import {z} from 'zod';
import {
	createNotRun, createOutcomeUnknown, readFailureCode, type Failure,
} from '../../base/common/failure.js';
import {createCompactBytes} from '../../base/common/compact-bytes.js';
import {MAXIMUM_STATUS, MINIMUM_STATUS} from '../../adapters/common/http-fields.js';
import {openUnreadBytes} from '../../base/node/unread-bytes.js';
import {parseJson} from '../../base/common/json.js';
import {readClocks, type Clock} from '../../base/common/clock.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerStreams} from '../../peers/node/peer-streams.js';
import {readBody} from '../../requests/node/read-body.js';
import type {
	RelayCall, RelayedHead, RelayEnd, RelayRefusal, RelayTransport,
} from '../common/relay.js';
import type {RelayHelper} from './relay-helper.js';

const RELAY_CALL = 'relay-attempt';
/** Maximum size of a call: that of a caller's request, and its headers. */
const MAXIMUM_CALL_BYTES = 34 * 1024 * 1024;
/** Maximum size of a head as JSON. */
const MAXIMUM_HEAD_BYTES = 64 * 1024;
/** Time limit for receiving a call. */
const RECEIVE_TIMEOUT_MS = 5000;
/** Time limit for connecting to another daemon. */
const CONNECT_TIMEOUT_MS = 300;
/** Time beyond the time limit of an attempt after which its reply is given up. */
const REPLY_MARGIN_MS = 100;
/** Maximum number of bytes that wait for the other daemon, which reads more slowly than the server writes. */
const MAXIMUM_UNREAD_BYTES = 512 * 1024;
const STATUS = {
	ok: 200, badRequest: 400, notFound: 404, failed: 502, refused: 503,
} as const;
const LINE_FEED = 10;

const headersSchema = z.record(z.string(), z.union([z.string(), z.array(z.string())]));
const callSchema = z.object({
	server: z.object({id: z.string(), address: z.string(), port: z.number()}),
	method: z.string(),
	path: z.string(),
	headers: headersSchema,
	hasBody: z.boolean(),
	attempt: z.object({
		requestId: z.string(), remainingMs: z.number(), serverId: z.string(), urgency: z.number().optional(), resumeAfter: z.string().optional(),
	}),
	timeoutMs: z.number(),
	usesNewConnection: z.boolean().optional(),
	work: z.union([z.object({kind: z.literal('confirmed'), beginWithinMs: z.number()}), z.object({kind: z.literal('unconfirmed')})]).optional(),
});
/** The status of a final response, as `exchange` accepts it from a server. */
const statusSchema = z.number().int().min(MINIMUM_STATUS).max(MAXIMUM_STATUS);
const headSchema = z.object({status: statusSchema, headers: headersSchema});
const failureSchema = z.object({code: z.string(), effect: z.enum(['notRun', 'outcomeUnknown']), message: z.string()});
const refusalSchema = z.object({reason: z.enum(['busy', 'cut', 'unconfirmed'])});

function splitLine(bytes: Uint8Array): readonly [string, Uint8Array] | undefined {
	const end = bytes.indexOf(LINE_FEED);
	return end === -1 ? undefined : [Buffer.from(bytes.subarray(0, end)).toString('utf8'), bytes.subarray(end + 1)];
}

function encodeCall({body, ...call}: RelayCall): Uint8Array {
	return Buffer.concat([Buffer.from(`${JSON.stringify({...call, hasBody: body !== undefined})}\n`), body ?? new Uint8Array(0)]);
}

function decodeCall(bytes: Uint8Array): RelayCall | undefined {
	const [line, body] = splitLine(bytes) ?? [];
	const parsed = callSchema.safeParse(parseJson(line ?? ''));
	if (!parsed.success || body === undefined) {
		return undefined;
	}

	const {
		hasBody, attempt: {urgency, resumeAfter, ...attempt}, usesNewConnection = false, work, ...call
	} = parsed.data;
	return {
		...call, usesNewConnection, ...(work !== undefined && {work}), attempt: {...attempt, ...(urgency !== undefined && {urgency}), ...(resumeAfter !== undefined && {resumeAfter})}, body: hasBody ? body : undefined,
	};
}

function reply(response: ServerResponse, status: number, body: unknown): void {
	if (!response.headersSent && !response.destroyed) {
		const text = JSON.stringify(body);
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	}
}

/** Registers the side that serves other daemons. */
export function serveRelays(streams: PeerStreams, helper: RelayHelper, {loop, clock}: {readonly loop: Loop; readonly clock: Clock}): void {
	async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const receivedAt = readClocks(clock);
		const abort = new AbortController();
		response.on('close', () => {
			if (!response.writableFinished) {
				abort.abort();
			}
		});
		const read = await readBody(request, {
			maximumBytes: MAXIMUM_CALL_BYTES,
			timeoutMs: RECEIVE_TIMEOUT_MS,
			onDidEnd(release) {
				response.once('close', release);
			},
		}, loop);
		if (read.isErr()) {
			response.shouldKeepAlive = false;
			reply(response, STATUS.refused, {reason: 'busy' satisfies RelayRefusal});
			return;
		}

		const call = decodeCall(read.value);
		if (call === undefined) {
			reply(response, STATUS.badRequest, null);
			return;
		}

		const unread = openUnreadBytes(response);
		const end = await helper.relay(call, receivedAt, {
			onHead(head) {
				response.writeHead(STATUS.ok, {'content-type': 'application/octet-stream'});
				response.write(`${JSON.stringify(head)}\n`);
				return undefined;
			},
			onData(chunk) {
				response.write(chunk);
				unread.set(response.writableLength, performance.now());
				return response.writableLength > MAXIMUM_UNREAD_BYTES ? `the other daemon has more than ${MAXIMUM_UNREAD_BYTES} bytes unread` : undefined;
			},
		}, abort.signal);
		if (end.kind === 'refused') {
			reply(response, STATUS.refused, {reason: end.reason});
			return;
		}

		end.result.match(() => {
			response.end();
		}, ({code, effect, message}) => {
			if (response.headersSent) {
				// The other daemon must not take the part that it has for the whole.
				response.destroy();
				return;
			}

			reply(response, STATUS.failed, {code, effect, message});
		});
	}

	streams.handleStream(RELAY_CALL, serve);
}

/** Creates the side that calls other daemons. */
export function createHttpRelayTransport(streams: PeerStreams): RelayTransport {
	return {
		async send(peer, call, sink, signal, maySend) {
			const origin = {step: 'relay attempt', peer: peer.name};
			let head: RelayedHead | undefined;
			const beginning = createCompactBytes();
			let beginningBytes = 0;

			function readHead(chunk: Uint8Array): string | undefined {
				beginning.add(chunk);
				beginningBytes += chunk.length;
				if (!chunk.includes(LINE_FEED)) {
					return beginningBytes > MAXIMUM_HEAD_BYTES ? `the head is larger than ${MAXIMUM_HEAD_BYTES} bytes` : undefined;
				}

				const [line = '', rest = new Uint8Array(0)] = splitLine(beginning.take()) ?? [];
				const parsed = headSchema.safeParse(parseJson(line));
				if (!parsed.success) {
					return 'the head can not be read';
				}

				head = parsed.data;
				return sink.onHead(head) ?? (rest.length > 0 ? sink.onData(rest) : undefined);
			}

			const replied = await streams.callStream(peer, RELAY_CALL, {
				body: encodeCall(call),
				signal,
				...(maySend !== undefined && {maySend}),
				timeoutMs: call.timeoutMs + REPLY_MARGIN_MS,
				connectTimeoutMs: CONNECT_TIMEOUT_MS,
				onData: chunk => head === undefined ? readHead(chunk) : sink.onData(chunk),
			});
			return replied.match<RelayEnd>(({status, body}) => {
				if (status === STATUS.ok) {
					return {kind: 'ended', result: head === undefined ? err(createOutcomeUnknown('incomplete', origin, 'the reply has no head')) : ok()};
				}

				return describeReply(status, parseJson(Buffer.from(body).toString('utf8')), origin);
			}, failure => failure.effect === 'notRun' && failure.code !== 'aborted' ? {kind: 'refused', reason: 'unreachable'} : {kind: 'ended', result: err(failure)});
		},
	};
}

function describeReply(status: number, body: unknown, origin: {readonly step: string; readonly peer: string}): RelayEnd {
	const refusal = refusalSchema.safeParse(body);
	if (status === STATUS.refused && refusal.success) {
		return {kind: 'refused', reason: refusal.data.reason};
	}

	if (status === STATUS.notFound) {
		return {kind: 'refused', reason: 'unsupported'};
	}

	return {kind: 'ended', result: err(readFailure(body, origin))};
}

function readFailure(body: unknown, origin: {readonly step: string; readonly peer: string}): Failure {
	const parsed = failureSchema.safeParse(body);
	if (!parsed.success) {
		return createOutcomeUnknown('unavailable', origin, 'the other daemon failed');
	}

	const {code, effect, message} = parsed.data;
	return (effect === 'notRun' ? createNotRun : createOutcomeUnknown)(readFailureCode(code) ?? 'unavailable', origin, message);
}
