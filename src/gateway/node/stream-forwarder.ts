/** Forwards streams as they come. A stream that has begun is never joined with another run unless the route lets it resume. */
import type {ServerResponse} from 'node:http';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import {LARGEST_EVENT_BYTES} from '../../adapters/common/event-bound.js';
import type {Log} from '../../kernel/common/log.js';
import type {Random} from '../../base/common/random.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import {choosePool} from '../common/deployment.js';
import type {ServerProtocol} from '../common/server-protocol.js';
import type {PlainRequest} from './forwarder.js';
import type {ServerCaller} from './server-caller.js';

/** Forwards streams. */
export type StreamForwarder = {
	/** Resolves when the stream has ended; with a failure when nothing was sent to the caller. */
	readonly forward: (request: PlainRequest, response: ServerResponse, isLast: boolean) => Promise<Failure | undefined>;
};

/** What the forwarder works with. */
export type StreamParts = {
	readonly dispatcher: Dispatcher;
	readonly caller: ServerCaller;
	readonly protocol: ServerProtocol;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

const RETURN_AFTER_MS = 500;
/** Expected bytes of a stream, in the choice of a server. */
const EXPECTED_BYTES = 8192;
/** Headers of a server's answer that concern its own connection. */
const OWN_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

/** Bytes of a stream that wait for a caller that does not read, before the stream ends. */
const LARGEST_UNREAD_BYTES = 512 * 1024;

type StreamState = {
	used: readonly string[];
	/** Last whole event that the caller has got. */
	lastEventId: number | undefined;
	hasBegun: boolean;
	/** A server may have begun to work on the request. */
	mayHaveRun: boolean;
};

/** Creates the forwarder. */
export function createStreamForwarder(parts: StreamParts): StreamForwarder {
	const {
		dispatcher, caller, protocol, clock, random, log,
	} = parts;

	async function tryOnce(request: PlainRequest, response: ServerResponse, state: StreamState, isLast: boolean): Promise<'done' | 'next' | 'stop'> {
		const now = clock.monotonic();
		const pool = choosePool(request.route, random());
		const chosen = pool === undefined
			? undefined
			: dispatcher.dispatch({
				pool, prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: EXPECTED_BYTES, excluded: state.used, allowed: undefined, alone: false,
			}, now).unwrapOr(undefined);
		if (chosen === undefined) {
			return 'stop';
		}

		state.used = [...state.used, chosen.server.id];
		const remainingMs = Math.max(1, request.deadlineAt - now);
		const stop = new AbortController();
		const onLeave = () => {
			stop.abort();
		};

		request.signal.addEventListener('abort', onLeave, {once: true});
		const lines = createEventForwarder(protocol, piece => {
			response.write(piece);
		}, id => {
			state.lastEventId = id;
		}, request.route.canResume);
		const resumeAfter = state.lastEventId === undefined ? {} : {resumeAfter: String(state.lastEventId)};
		const answered = await caller.attempt(chosen.server, request, {
			requestId: request.requestId, remainingMs, serverId: chosen.server.id, ...(request.urgency !== undefined && {urgency: request.urgency}), ...resumeAfter,
		}, {
			timeoutMs: remainingMs,
			signal: stop.signal,
			onHead(head, headers) {
				if (head.status === 200 && !state.hasBegun) {
					state.hasBegun = true;
					const passed = Object.fromEntries(Object.entries(headers).filter(([name]) => !OWN_HEADERS.has(name)));
					response.writeHead(200, {...passed, ...(isLast && {connection: 'close'})});
					response.flushHeaders();
				}
			},
			onData(piece) {
				return response.writableLength > LARGEST_UNREAD_BYTES ? `the caller leaves more than ${LARGEST_UNREAD_BYTES} bytes unread` : lines.feed(piece);
			},
		});
		request.signal.removeEventListener('abort', onLeave);
		return answered.match(answer => {
			chosen.end(clock.monotonic(), answer.head.isOtherServer ? 'refused' : (answer.head.isNotRun ? 'cancelled' : 'done'));
			if (answer.status === 200) {
				response.end();
				return 'done';
			}

			if (answer.head.isNotRun || answer.head.isOtherServer) {
				return 'next';
			}

			if (!state.hasBegun) {
				const passed = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => !OWN_HEADERS.has(name)));
				response.writeHead(answer.status, {...passed, 'content-length': answer.body.length, ...(isLast && {connection: 'close'})});
				response.end(answer.body);
				return 'done';
			}

			return 'stop';
		}, failure => {
			chosen.end(clock.monotonic(), failure.code === 'aborted' ? 'cancelled' : 'died');
			log.info('stream broke', {
				requestId: request.requestId, serverId: chosen.server.id, lastEventId: state.lastEventId, reason: failure.message, effect: failure.effect,
			});
			state.mayHaveRun ||= failure.effect === 'outcomeUnknown';
			return failure.effect === 'notRun' || request.route.canResume ? 'next' : 'stop';
		});
	}

	async function run(request: PlainRequest, response: ServerResponse, state: StreamState, isLast: boolean): Promise<Failure | undefined> {
		const outcome = await tryOnce(request, response, state, isLast);
		if (outcome === 'done' || request.signal.aborted) {
			return undefined;
		}

		const hasRoom = state.used.length < request.route.attempts && clock.monotonic() < request.deadlineAt;
		if (outcome === 'next' && hasRoom) {
			return run(request, response, state, isLast);
		}

		if (state.hasBegun) {
			// The caller must not take a broken stream for a whole one.
			response.destroy();
			return undefined;
		}

		const origin = {step: 'forward stream', peer: state.used.at(-1) ?? request.route.name};
		return state.mayHaveRun
			? createOutcomeUnknown('unavailable', origin, 'the stream broke before its first event')
			: createNotRun('unavailable', origin, 'no backend server took the stream', RETURN_AFTER_MS);
	}

	return {
		async forward(request, response, isLast) {
			return run(request, response, {
				used: [], lastEventId: undefined, hasBegun: false, mayHaveRun: false,
			}, isLast);
		},
	};
}

type EventForwarder = {
	/** Passes a piece on; returns what is wrong with the stream, if anything. */
	readonly feed: (piece: Uint8Array) => string | undefined;
};

/**
 * Passes bytes on. For streams that may resume only whole events pass, so that another server can go on after the last
 * one; the caller never gets part of an event twice.
 */
function createEventForwarder(protocol: ServerProtocol, write: (piece: Uint8Array) => void, onEvent: (id: number) => void, wholeEvents: boolean): EventForwarder {
	const reader = protocol.createEventReader(event => {
		onEvent(event.id);
	});
	let held: Uint8Array = new Uint8Array(0);
	return {
		feed(piece) {
			if (!wholeEvents) {
				write(piece);
				return undefined;
			}

			const joined = new Uint8Array(held.length + piece.length);
			joined.set(held);
			joined.set(piece, held.length);
			const end = findLastEventEnd(joined);
			if (end > 0) {
				write(joined.subarray(0, end));
				reader.feed(joined.subarray(0, end));
			}

			held = joined.slice(end);
			return held.length > LARGEST_EVENT_BYTES ? `an event is larger than ${LARGEST_EVENT_BYTES} bytes` : undefined;
		},
	};
}

const LINE_FEED = 10;

/** Index after the last blank line. */
function findLastEventEnd(bytes: Uint8Array): number {
	const index = bytes.findLastIndex((byte, position) => byte === LINE_FEED && position > 0 && bytes[position - 1] === LINE_FEED);
	return index + 1;
}
