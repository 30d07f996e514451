/** Makes one attempt of a request at one backend server, over keep-alive connections, and checks that the response is complete and belongs to the request. */
import type {IncomingHttpHeaders} from 'node:http';
import {err, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import {createHttpBase} from '../../adapters/node/http-base.js';
import {exchange, type HttpResponse} from '../../adapters/node/http-exchange.js';
import type {BackendServer} from '../../routing/common/router.js';
import type {ServerLinks} from '../common/server-links.js';
import {LATE_COPY_CODE} from '../common/attempt-policy.js';
import type {ResponseHead, ServerAttempt, ServerProtocol} from '../common/server-protocol.js';
import type {ServerStatements} from '../common/server-statements.js';
import type {WorkStatus} from '../common/work-status.js';
import {createServerConnections} from './server-connections.js';

/** A request to a server, without the headers that an attempt adds. */
export type ServerRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | readonly string[]>>;
	readonly body: Uint8Array | undefined;
};

/** A complete response of a server with its decoded head. */
export type BackendResponse = HttpResponse & {
	readonly head: ResponseHead;
};

/** Options of one attempt. */
export type AttemptOptions = {
	readonly timeoutMs: number;
	readonly signal: AbortSignal;
	/** Receives the head of the response once it is known to belong to the request. A returned text aborts the attempt and is the reason. */
	readonly onHead?: (head: ResponseHead, headers: IncomingHttpHeaders) => string | undefined;
	/** Receives the body of a 200 response as it arrives, instead of the response's `body`. A returned string is an error that aborts the rest. */
	readonly onData?: (chunk: Uint8Array) => string | undefined;
	/** Time limit for establishing a new connection, in milliseconds. */
	readonly connectTimeoutMs?: number;
	/** Called when the links to the server's pool are cut before the response began; `restart` sends the request again, over another daemon. */
	readonly onCut?: () => 'restart' | 'wait';
	/** Called when a new connection was established, or could not be. */
	readonly onDidConnect?: (isConnected: boolean) => void;
	/** Opens a new connection that is used only for this attempt, also at a daemon that relays it and may not know what its connections have carried. */
	readonly usesNewConnection?: boolean;
	/** The work that the attempt belongs to, if that may end at another daemon; the attempt is not sent unless its state is recent. */
	readonly work?: WorkStatus;
	/** Asked when the connection is ready, immediately before the first byte is sent; with false the attempt fails as not run. */
	readonly maySend?: () => boolean;
};

/** Calls backend servers. */
export type ServerCaller = {
	readonly attempt: (server: BackendServer, request: ServerRequest, attempt: ServerAttempt, options: AttemptOptions) => Promise<Result<BackendResponse, Failure>>;
	readonly close: () => void;
};

/** Dependencies of a server caller. */
export type ServerCallerDependencies = {
	readonly protocol: ServerProtocol;
	readonly statements: ServerStatements;
	readonly links: Pick<ServerLinks, 'recordConnected' | 'recordFailed'>;
	readonly clock: Clock;
};

/** Hop-by-hop headers, and `content-length`, which is set again for the forwarded request. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-connection', 'proxy-authorization', 'expect', 'content-length']);

/** Copies the end-to-end headers, with the spelling of the sender, except those in `replaced` (lower case). */
export function copyEndToEndHeaders(rawHeaders: readonly string[], replaced: readonly string[]): Record<string, string | string[]> {
	const named = rawHeaders.flatMap((value, index) => (index % 2 === 0 ? [{name: value, value: rawHeaders[index + 1] ?? ''}] : []));
	const connectionOptions = new Set(named
		.filter(({name}) => name.toLowerCase() === 'connection')
		.flatMap(({value}) => value.split(',').map(token => token.trim().toLowerCase())));
	// A map, as a header may be named like a member that each object inherits.
	const copied = new Map<string, string[]>();
	named
		.filter(({name}) => {
			const lower = name.toLowerCase();
			return !CONNECTION_HEADERS.has(lower) && !connectionOptions.has(lower) && !replaced.includes(lower);
		})
		.forEach(({name, value}) => {
			copied.set(name, copied.get(name) ?? []);
			copied.get(name)!.push(value);
		});
	return Object.fromEntries([...copied].map(([name, values]) => [name, values.length === 1 ? values[0]! : values]));
}

/** Creates a server caller. */
export function createServerCaller({
	protocol, statements, links, clock,
}: ServerCallerDependencies): ServerCaller {
	const connections = createServerConnections();

	return {
		async attempt(server, request, attempt, options) {
			const base = createHttpBase('call backend server', {ip: server.address, port: server.port});
			if (base.isErr()) {
				return err(base.error);
			}

			const heads: ResponseHead[] = [];
			const agent = options.usesNewConnection === true ? connections.singleUse : connections.chooseAgent(base.value, attempt.requestId);
			let carried: {readonly has: (requestId: string) => boolean} | undefined;
			let isLateCopy = false;
			const recordHead = statements.begin(server.id, clock.monotonic());
			const {result} = await exchange({
				step: 'call backend server',
				method: request.method,
				path: request.path,
				headers: {...request.headers, ...protocol.buildHeaders(attempt)},
				...(request.body !== undefined && {body: request.body}),
				timeoutMs: options.timeoutMs,
				signal: options.signal,
				// A connection reset directly after the last bytes is reported as a normal end, so a response without a length can't be known to be complete.
				acceptsConnectionEnd: false,
				...(options.onData && {onData: options.onData}),
				...(options.maySend && {maySend: options.maySend}),
				...(options.connectTimeoutMs !== undefined && {connectTimeoutMs: options.connectTimeoutMs}),
				onSocket(socket) {
					carried = connections.record(socket, attempt.requestId, clock.monotonic());
				},
				onDidConnect(isConnected) {
					options.onDidConnect?.(isConnected);
					if (isConnected) {
						links.recordConnected(server.pool, clock.monotonic());
					} else {
						links.recordFailed(server.pool, server.id, clock.monotonic());
					}
				},
				onHead(status, headers) {
					const head = protocol.readHead(status, headers);
					if (head.requestId !== attempt.requestId && !(head.requestId === undefined && (head.isNotRun || head.isOtherServer))) {
						isLateCopy = head.requestId !== undefined && carried?.has(head.requestId) === true;
						return `the response belongs to request ${head.requestId ?? 'without an id'}`;
					}

					heads.push(head);
					recordHead(head, clock.monotonic());
					return options.onHead?.(head, headers);
				},
				// A late second copy of a refusal without an id could not be told from an answer to the next request on this connection.
				closesConnection: () => heads[0]?.requestId === undefined,
			}, {base: base.value, agent});
			return result.map(response => ({...response, head: heads[0]!})).mapErr(failure => (isLateCopy ? {...failure, code: LATE_COPY_CODE} : failure));
		},
		close() {
			connections.dispose();
		},
	};
}
