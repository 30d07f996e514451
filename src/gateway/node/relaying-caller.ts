/** Calls backend servers over the daemon's own links, and over another daemon where these are cut. Over another daemon means one hop: that daemon uses only its own links. */
import {err, ok, type Result} from 'neverthrow';
import {createCompactBytes} from '../../base/common/compact-bytes.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {responseBudget} from '../../base/common/message-budgets.js';
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import type {BackendServer} from '../../routing/common/router.js';
import {isWithheld} from '../common/attempt-policy.js';
import type {OpenAttempts} from '../common/open-attempts.js';
import type {RelayChoice} from '../common/relay-choice.js';
import type {
	RelayCall, RelayedHead, RelaySink, RelayTransport,
} from '../common/relay.js';
import type {ServerLinks} from '../common/server-links.js';
import type {ResponseHead, ServerAttempt, ServerProtocol} from '../common/server-protocol.js';
import type {ServerStatements} from '../common/server-statements.js';
import {maySendIn} from '../common/work-status.js';
import type {
	AttemptOptions, BackendResponse, ServerCaller, ServerRequest,
} from './server-caller.js';

/** Dependencies of the caller. */
export type RelayingCallerDependencies = {
	readonly direct: ServerCaller;
	readonly links: ServerLinks;
	readonly attempts: OpenAttempts;
	readonly choice: RelayChoice;
	readonly transport: RelayTransport;
	readonly mesh: Pick<PeerMesh, 'others'>;
	readonly protocol: Pick<ServerProtocol, 'readHead'>;
	readonly statements: ServerStatements;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** Time limit for connecting to a server: longer than a connection between regions takes and a VM is paused by its quota, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;
/** Time after which a call that waits for its connection is not sent any more, as the remaining times that it states are too long by then. */
const MAXIMUM_CALL_AGE_MS = 500;
/** Maximum number of daemons that are asked to relay one attempt. */
const MAXIMUM_ASKED = 6;
/** Maximum size of a body that is not read as it arrives. */
const MAXIMUM_BODY_BYTES = 8 * 1024 * 1024;

/** One attempt with the time that it has. */
type Call = {
	readonly server: BackendServer;
	readonly request: ServerRequest;
	readonly attempt: ServerAttempt;
	readonly options: AttemptOptions;
};

/** Collects the response of a relayed attempt. */
type Collector = RelaySink & {
	readonly complete: () => Result<BackendResponse, Failure>;
	/** Stops counting the body toward the memory for responses. */
	readonly release: () => void;
};

/** Creates the caller. */
export function createRelayingCaller(dependencies: RelayingCallerDependencies): ServerCaller {
	const {
		direct, links, attempts, choice, transport, mesh, protocol, statements, clock, log, metrics,
	} = dependencies;

	links.onDidChange(({pool, isCut}) => {
		if (isCut) {
			attempts.cut(pool);
		}
	});

	/** The same attempt after some of its time has passed. */
	function shorten({server, request, attempt, options}: Call, elapsedMs: number): Call {
		return {
			server, request, attempt: {...attempt, remainingMs: attempt.remainingMs - elapsedMs}, options: {...options, timeoutMs: options.timeoutMs - elapsedMs},
		};
	}

	function createCollector({server, request, attempt, options}: Call): Collector {
		const heads: Array<{readonly head: ResponseHead; readonly relayed: RelayedHead}> = [];
		const body = createCompactBytes();
		let length = 0;
		let excess: string | undefined;
		const heldBytes = responseBudget.open(reason => {
			excess = reason;
		}, clock.monotonic());
		const recordHead = statements.observe(server.id, clock.monotonic());
		return {
			onHead(relayed) {
				const headers = Object.fromEntries(Object.entries(relayed.headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]]));
				const head = protocol.readHead(relayed.status, headers);
				heads.push({head, relayed});
				recordHead(head, clock.monotonic());
				return options.onHead?.(head, headers);
			},
			onData(chunk) {
				if (options.onData !== undefined && heads[0]?.head.status === 200) {
					return options.onData(chunk);
				}

				heldBytes.add(body.add(chunk), clock.monotonic());
				length += chunk.length;
				return excess ?? (length > MAXIMUM_BODY_BYTES ? `the response body is larger than ${MAXIMUM_BODY_BYTES} bytes` : undefined);
			},
			release: heldBytes.release,
			complete() {
				const [received] = heads;
				return received === undefined
					? err(createOutcomeUnknown('incomplete', {step: 'relay attempt', peer: server.id}, `no response to ${request.method} of request ${attempt.requestId}`))
					: createResponse(received.relayed, received.head, body.take());
			},
		};
	}

	/** Sends an attempt over other daemons, one after the other until one takes it; undefined if none does, so that the request has not run. */
	async function relay(call: Call): Promise<Result<BackendResponse, Failure> | undefined> {
		const startedAt = clock.monotonic();
		const {server, request, attempt, options} = call;
		await options.work?.refresh('relayed');
		const asked = choice.list(server.pool, mesh.others(), startedAt).slice(0, MAXIMUM_ASKED);
		const taken = await asked.reduce<Promise<Result<BackendResponse, Failure> | undefined>>(async (previous, peer) => {
			const known = await previous;
			const now = clock.monotonic();
			const left = shorten(call, now - startedAt);
			if (known !== undefined || options.signal.aborted || left.options.timeoutMs <= 0) {
				return known;
			}

			const state = options.work?.read('relayed', now);
			if (state !== undefined && !maySendIn(state)) {
				return err(createNotRun('aborted', {step: 'relay attempt', peer: server.id}, `the work of the request is ${state.kind}`));
			}

			const relayCall: RelayCall = {
				server: {id: server.id, address: server.address, port: server.port}, method: request.method, path: request.path, headers: request.headers, body: request.body, attempt: left.attempt, timeoutMs: left.options.timeoutMs, usesNewConnection: options.usesNewConnection === true, ...(state !== undefined && {work: state}),
			};
			const collector = createCollector(call);
			const endOpen = choice.begin(peer.name);
			const end = await transport.send(peer, relayCall, collector, options.signal, () => clock.monotonic() - now <= MAXIMUM_CALL_AGE_MS && options.maySend?.() !== false);
			endOpen();
			collector.release();
			if (end.kind === 'refused') {
				choice.recordRefusal(server.pool, peer.name, end.reason, clock.monotonic());
				return undefined;
			}

			return end.result.isErr() && isWithheld(end.result.error) && !options.signal.aborted ? undefined : end.result.andThen(() => collector.complete());
		}, Promise.resolve(undefined));
		metrics.count('server_links.relayed', 1, {pool: server.pool, outcome: taken === undefined ? 'refused' : (taken.isOk() ? 'answered' : taken.error.effect)});
		log.info('attempt over another daemon', {
			requestId: attempt.requestId, serverId: server.id, tookMs: Math.round(clock.monotonic() - startedAt), outcome: taken === undefined ? 'no daemon took it' : taken.match(response => response.status, failure => failure.message),
		});
		return taken;
	}

	/** Sends an attempt over the own links. `isCutOff` tells that it ended because the links were cut, so that it may be sent again. */
	async function attemptDirect({server, request, attempt, options}: Call) {
		const abort = new AbortController();
		let isCutOff = false;
		let hasFailedToConnect = false;
		let hasHead = false;
		const onAbort = () => {
			abort.abort();
		};

		const onCut = () => {
			if (options.onCut?.() === 'restart' && !hasHead) {
				isCutOff = true;
				abort.abort();
			}
		};

		const open = attempts.begin(server.pool, server.id, onCut, clock.monotonic());
		const {onData} = options;
		options.signal.addEventListener('abort', onAbort, {once: true});
		if (options.signal.aborted) {
			onAbort();
		}

		const result = await direct.attempt(server, request, attempt, {
			...options,
			signal: abort.signal,
			connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, options.timeoutMs),
			onDidConnect(isConnected) {
				hasFailedToConnect = !isConnected;
			},
			onHead(head, headers) {
				hasHead = true;
				open.recordHeard(clock.monotonic());
				return options.onHead?.(head, headers);
			},
			...(onData !== undefined && {
				onData(chunk: Uint8Array) {
					open.recordHeard(clock.monotonic());
					return onData(chunk);
				},
			}),
		});
		options.signal.removeEventListener('abort', onAbort);
		open.end();
		return {result, hasFailedToConnect, isCutOff: isCutOff && result.isErr() && !options.signal.aborted};
	}

	return {
		async attempt(server, request, attempt, options) {
			const call: Call = {
				server, request, attempt, options,
			};
			const startedAt = clock.monotonic();
			if (links.isCut(server.pool)) {
				return await relay(call) ?? err(createNotRun('unavailable', {step: 'call backend server', peer: server.id}, 'the links to the servers are cut, and no other daemon takes the request'));
			}

			const {result, hasFailedToConnect, isCutOff} = await attemptDirect(call);
			const now = clock.monotonic();
			const left = shorten(call, now - startedAt);
			const mayRelay = !options.signal.aborted && left.options.timeoutMs > 0;
			if (isCutOff && mayRelay) {
				return takeAfterCut(await relay(left), result, server.id);
			}

			const isNotSent = result.isErr() && result.error.effect === 'notRun' && hasFailedToConnect;
			return isNotSent && mayRelay && links.isDoubtful(server.pool, now) ? await relay(left) ?? result : result;
		},
		close: direct.close,
	};
}

/** Whether a response or failure says that the request has not run. */
function saysNotRun(result: Result<BackendResponse, Failure>): boolean {
	return result.match(({head}) => head.isNotRun || head.isOtherServer, ({effect}) => effect === 'notRun');
}

/** The outcome of a request that was sent again after its link was cut: a refusal of the second send does not tell whether the first has run. */
function takeAfterCut(again: Result<BackendResponse, Failure> | undefined, first: Result<BackendResponse, Failure>, serverId: string): Result<BackendResponse, Failure> {
	return again === undefined || (saysNotRun(again) && !saysNotRun(first))
		? err(createOutcomeUnknown('unavailable', {step: 'call backend server', peer: serverId}, 'the link to the server was cut'))
		: again;
}

function createResponse({status, headers}: RelayedHead, head: ResponseHead, body: Uint8Array): Result<BackendResponse, Failure> {
	return ok({
		status, headers: Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, typeof value === 'string' ? value : [...value]])), body, head,
	});
}
