/** One attempt of a request at one backend server, over kept connections, checked to be whole and the request's own. */
import {Agent, type IncomingHttpHeaders} from 'node:http';
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {exchange, type HttpAnswer} from '../../adapters/node/http-exchange.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {LeavingMark} from '../common/leaving-marks.js';
import type {AnswerHead, ServerAttempt, ServerProtocol} from '../common/server-protocol.js';

/** A request as it goes to a server, without the headers of the attempt. */
export type ServerRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
};

/** A whole answer of a server and what its head says. */
export type ServerAnswer = HttpAnswer & {
	readonly head: AnswerHead;
};

/** How one attempt is carried out. */
export type AttemptOptions = {
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	/** Gets the head of an answer that is the request's own. */
	readonly onHead?: (head: AnswerHead, headers: IncomingHttpHeaders) => void;
	/** Gets the body of a 200 as it comes, in place of the answer's `body`; a text refuses the rest. */
	readonly onData?: (piece: Uint8Array) => string | undefined;
	/** Opens a connection for this attempt alone. */
	readonly isFresh?: boolean;
};

/** Calls backend servers. */
export type ServerCaller = {
	readonly attempt: (server: BackendServer, request: ServerRequest, attempt: ServerAttempt, options: AttemptOptions) => Promise<Result<ServerAnswer, Failure>>;
	readonly close: () => void;
};

/** What a caller works with. */
export type ServerCallerParts = {
	readonly protocol: ServerProtocol;
	/** Start of the run of a server that is known now, in Unix milliseconds. */
	readonly startOf: (serverId: string) => number | undefined;
	/** Called when a server stated that it is leaving. */
	readonly onLeaving: (mark: LeavingMark) => void;
};

/** Idle connections are dropped after this time; servers state shorter times themselves. */
const IDLE_CLOSE_MS = 8000;
/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-connection', 'proxy-authorization', 'expect', 'content-length']);

/** Copies the headers that pass on, by the names that the sender wrote. */
export function copyEndToEndHeaders(rawHeaders: readonly string[], replaced: readonly string[]): Record<string, string | string[]> {
	const named = rawHeaders.flatMap((value, index) => (index % 2 === 0 ? [{name: value, value: rawHeaders[index + 1] ?? ''}] : []));
	const listed = new Set(named
		.filter(({name}) => name.toLowerCase() === 'connection')
		.flatMap(({value}) => value.split(',').map(token => token.trim().toLowerCase())));
	const copied: Record<string, string | string[]> = {};
	named
		.filter(({name}) => {
			const lower = name.toLowerCase();
			return !CONNECTION_HEADERS.has(lower) && !listed.has(lower) && !replaced.includes(lower);
		})
		.forEach(({name, value}) => {
			const known = copied[name];
			copied[name] = known === undefined ? value : [...(Array.isArray(known) ? known : [known]), value];
		});
	return copied;
}

/** Creates a caller. */
export function createServerCaller({protocol, startOf, onLeaving}: ServerCallerParts): ServerCaller {
	const agent = new Agent({keepAlive: true, timeout: IDLE_CLOSE_MS, scheduling: 'lifo'});
	const freshAgent = new Agent({keepAlive: false});

	return {
		async attempt(server, request, attempt, options) {
			const heads: AnswerHead[] = [];
			const startedAt = startOf(server.id);
			const {result} = await exchange({
				step: 'call backend server',
				method: request.method,
				path: request.path,
				headers: {...request.headers, ...protocol.headersOf(attempt)},
				...(request.body !== undefined && {body: request.body}),
				timeoutMs: options.timeoutMs,
				signal: options.signal,
				// A reset right behind the last bytes is reported as an orderly end, so an answer without a length can't be known to be whole.
				acceptsConnectionEnd: false,
				...(options.onData && {onData: options.onData}),
				onHead(status, headers) {
					const head = protocol.readHead(status, headers);
					if (head.requestId !== attempt.requestId && !(head.requestId === undefined && (head.isNotRun || head.isOtherServer))) {
						return `the answer belongs to request ${head.requestId ?? 'of no id'}`;
					}

					heads.push(head);
					if (head.isLeaving && !head.isOtherServer) {
						onLeaving({serverId: server.id, startedAt});
					}

					options.onHead?.(head, headers);
					return undefined;
				},
			}, {base: new URL(`http://${server.address}:${server.port}`), agent: options.isFresh === true ? freshAgent : agent});
			return result.map(whole => ({...whole, head: heads[0]!}));
		},
		close() {
			agent.destroy();
			freshAgent.destroy();
		},
	};
}
