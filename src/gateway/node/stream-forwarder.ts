/** Forwards streams as their bytes arrive. A stream that has begun is continued from another server only if the route allows resuming. */
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {
	createNotRun, createOutcomeUnknown, wrapFailure, type Failure,
} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import {openUnreadBytes} from '../../base/node/unread-bytes.js';
import {createTaskSet} from '../../base/common/task-set.js';
import {isEventStream} from '../../adapters/common/event-stream.js';
import type {Log} from '../../kernel/common/log.js';
import type {Random} from '../../base/common/random.js';
import {computePatience} from '../../limits/common/permit-plan.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {Dispatch} from '../../routing/common/router.js';
import {
	classifyOutcome, isLateCopy, isNotRun, type AttemptEnd,
} from '../common/attempt-policy.js';
import {choosePool} from '../common/deployment.js';
import type {Admission, RequestGuard} from '../common/request-guard.js';
import type {RunTracker} from '../common/run-tracker.js';
import type {ServerProtocol} from '../common/server-protocol.js';
import type {ServerEntry} from '../common/server-view.js';
import {
	allowsServer, UNKNOWN_VERSION, type Resumption, type StreamOrigin,
} from '../common/stream-origin.js';
import {createEventForwarder} from './event-forwarder.js';
import type {PlainRequest} from './forwarder.js';
import type {ServerAcquisition} from './server-acquisition.js';
import type {ServerCaller} from './server-caller.js';
import type {StreamRecords} from './stream-records.js';

/** Forwards streams. */
export type StreamForwarder = {
	/** Resolves when the stream has ended, with a failure if nothing was sent to the caller. `isLast` closes the caller's connection after the stream. */
	readonly forward: (request: PlainRequest, response: ServerResponse, isLast: boolean) => Promise<Failure | undefined>;
	/** Resolves when no stream is in progress. */
	readonly whenIdle: () => Promise<void>;
};

/** Dependencies of the forwarder. */
export type StreamForwarderDependencies = {
	readonly dispatcher: Dispatcher;
	readonly caller: ServerCaller;
	readonly acquisition: ServerAcquisition;
	readonly guard: RequestGuard;
	/** Ids of the servers of a pool. */
	readonly serverIdsOf: (pool: string) => readonly string[];
	readonly records: Pick<StreamRecords, 'baseOf' | 'findOrigin' | 'isServing' | 'keep' | 'prefersBase' | 'recordBegin' | 'recordUnknown'>;
	/** Pool and software version of a server, as its entry states them; undefined if there is no entry of its present run. */
	readonly findServer: (serverId: string) => Pick<ServerEntry, 'pool' | 'softwareVersion'> | undefined;
	readonly protocol: ServerProtocol;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	/** Receives the attempts that are sent. */
	readonly runs?: RunTracker;
};

const RETRY_AFTER_MS = 500;
/** Expected bytes of a stream, used in the choice of a server. */
const EXPECTED_BYTES = 8192;
/** Response headers that apply only to the connection to the server. */
const CONNECTION_HEADERS = new Set(['connection', 'keep-alive', 'transfer-encoding', 'content-length']);

/** Maximum number of unsent bytes buffered for a caller that reads too slowly; beyond it the stream is ended. */
const MAXIMUM_UNREAD_BYTES = 512 * 1024;

/** A server for the next attempt, and the guard's admission to it. */
type AdmittedDispatch = {
	readonly dispatch: Dispatch;
	readonly admission: Admission;
	/** Software version of the server; defined for streams that can be continued. */
	readonly softwareVersion: string | undefined;
};

type StreamState = {
	triedServers: readonly string[];
	/** Id of the last complete event that was sent to the caller. */
	lastEventId: number | undefined;
	hasBegun: boolean;
	/** Whether the response that was passed on is an event stream. Another one is passed on as it is, and can't be continued. */
	isEventStream: boolean;
	/** The servers at which the stream may go on, once its first event was sent; undefined for streams that can't be continued. */
	origin: StreamOrigin | undefined;
	/** What the caller has not read yet; undefined before the first byte. */
	unread: ReturnType<typeof openUnreadBytes> | undefined;
	/** Whether a server may have begun to run the request. */
	mayHaveRun: boolean;
	/** Why the stream was not accepted, if that is known before it is sent. */
	refusal: Failure | undefined;
	readonly arrivedAt: number;
	/** Resolves when the guard takes the last attempt into account. */
	verdict: Promise<void>;
	/** Whether the stream is tried at one server only, as others have crashed under it. */
	isTrial: boolean;
};

/** Creates the forwarder. */
export function createStreamForwarder(dependencies: StreamForwarderDependencies): StreamForwarder {
	const {
		dispatcher, caller, acquisition, guard, records, findServer, protocol, clock, random, log,
	} = dependencies;

	/** Lists the servers of a pool that may get the stream. */
	function listServers(pool: string, request: PlainRequest, state: StreamState, now: number): readonly string[] {
		const begunAt = state.origin;
		const origin: StreamOrigin | undefined = begunAt ?? (request.route.canResume && records.prefersBase(pool, now) ? {kind: 'base'} : undefined);
		return dependencies.serverIdsOf(pool).filter(serverId => {
			const server = findServer(serverId);
			// A stream must not begin where nobody could tell later which version began it.
			return request.route.canResume
				? server?.softwareVersion !== undefined && (origin === undefined || allowsServer(origin, server, records.baseOf))
				: true;
		});
	}

	async function acquireServer(request: PlainRequest, state: StreamState): Promise<Result<Dispatch, Failure>> {
		const dispatch = (allowed: readonly string[], now: number): Result<Dispatch, Failure> => {
			// Only a pool of the stream's own version can continue it.
			const pool = state.origin?.kind === 'version' ? state.origin.pool : choosePool(request.route, random());
			return pool === undefined
				? err(createNotRun('unavailable', {step: 'choose pool', peer: request.route.name}, 'the route has no pools', RETRY_AFTER_MS))
				: dispatcher.dispatch({
					pool, prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: EXPECTED_BYTES, excluded: state.triedServers, allowed, alone: false,
				}, now);
		};

		return acquisition.acquire({
			serverIds: () => request.route.pools.flatMap(({pool}) => listServers(pool, request, state, clock.monotonic())),
			dispatch,
			urgency: request.permitUrgency,
			arrivedAt: state.arrivedAt,
			patienceMs: now => computePatience(request.permitUrgency, {elapsedMs: now - state.arrivedAt, remainingMs: request.deadlineAt - now, goalMs: request.route.goalMs}),
		});
	}

	/** Acquires a server, unless the guard refuses the request, also when other daemons reported crashes while it waited. */
	async function acquireUnlessRefused(request: PlainRequest, state: StreamState): Promise<Result<AdmittedDispatch, Failure>> {
		const admitted = await guard.admit(request);
		if (admitted.isErr()) {
			return err(admitted.error);
		}

		const admission = admitted.value;
		state.isTrial ||= admission.trialId !== undefined;
		const acquired = await acquireServer(request, state);
		if (acquired.isErr()) {
			guard.cancel(admission);
			return err(acquired.error);
		}

		const dispatch = acquired.value;
		const {softwareVersion} = findServer(dispatch.server.id) ?? {};
		const recorded = await recordBegin(request, state, dispatch, softwareVersion);
		return recorded.andThen(() => guard.confirm(request, admission, clock.monotonic())).map(() => ({dispatch, admission, softwareVersion})).mapErr(failure => {
			dispatch.end(clock.monotonic(), 'cancelled');
			guard.cancel(admission);
			return failure;
		});
	}

	/** Records the software version at which a stream begins, so that callers can continue it. */
	async function recordBegin(request: PlainRequest, state: StreamState, {server}: Dispatch, softwareVersion: string | undefined): Promise<Result<void, Failure>> {
		if (state.origin !== undefined || !request.route.canResume) {
			return ok();
		}

		return softwareVersion === undefined
			? err(createNotRun('unavailable', {step: 'forward stream', peer: server.id}, 'the software version of the backend server is not known', RETRY_AFTER_MS))
			: records.recordBegin(request.requestId, server.pool, softwareVersion);
	}

	/** Whether the entry of a server now states another software version, so that the version of a stream from there can't be told. */
	function hasOtherVersion(serverId: string, softwareVersion: string | undefined): boolean {
		const current = findServer(serverId)?.softwareVersion;
		return current !== undefined && current !== softwareVersion;
	}

	async function attemptOnce(request: PlainRequest, response: ServerResponse, state: StreamState, isLast: boolean): Promise<'done' | 'next' | 'stop'> {
		await state.verdict;
		const acquired = await acquireUnlessRefused(request, state);
		if (acquired.isErr()) {
			state.refusal = acquired.error;
			return 'stop';
		}

		const {dispatch: chosen, admission, softwareVersion} = acquired.value;
		if (request.signal.aborted) {
			chosen.end(clock.monotonic(), 'cancelled');
			guard.cancel(admission);
			return 'stop';
		}

		state.triedServers = [...state.triedServers, chosen.server.id];
		const remainingMs = Math.max(1, request.deadlineAt - clock.monotonic());
		const abortController = new AbortController();
		const onDisconnect = () => {
			abortController.abort();
		};

		request.signal.addEventListener('abort', onDisconnect, {once: true});
		const eventForwarder = createEventForwarder(protocol, chunk => {
			response.write(chunk);
		}, id => {
			state.lastEventId = id;
			if (softwareVersion !== undefined) {
				state.origin ??= {kind: 'version', pool: chosen.server.pool, softwareVersion};
			}
		}, () => request.route.canResume && state.isEventStream);
		const resumeAfter = state.lastEventId === undefined ? {} : {resumeAfter: String(state.lastEventId)};
		const endAttempt = guard.begin(request, chosen.server.id, admission);
		log.info('stream sent to server', {
			requestId: request.requestId, serverId: chosen.server.id, softwareVersion, after: state.lastEventId, resumes: request.resumption?.firstRequestId,
		});
		const run = dependencies.runs?.track(request, chosen.server.id);
		const answered = await caller.attempt(chosen.server, request, {
			requestId: request.requestId, remainingMs, serverId: chosen.server.id, ...(request.urgency !== undefined && {urgency: request.urgency}), ...resumeAfter,
		}, {
			timeoutMs: remainingMs,
			signal: abortController.signal,
			onCut: () => request.route.canResume && !state.hasBegun ? 'restart' : 'wait',
			onHead(head, headers) {
				if (head.status === 200) {
					run?.begin();
				}

				if (head.status === 200 && state.hasBegun && !(isEventStream(headers['content-type']) && state.isEventStream)) {
					return 'the response does not continue the stream';
				}

				if (head.status === 200 && !state.hasBegun) {
					state.hasBegun = true;
					state.isEventStream = isEventStream(headers['content-type']);
					const forwardedHeaders = Object.fromEntries(Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name)));
					response.writeHead(200, {...forwardedHeaders, ...(isLast && {connection: 'close'})});
					response.flushHeaders();
				}

				return undefined;
			},
			onData(chunk) {
				state.unread ??= openUnreadBytes(response);
				state.unread.set(response.writableLength, clock.monotonic());
				return response.writableLength > MAXIMUM_UNREAD_BYTES ? `the caller has more than ${MAXIMUM_UNREAD_BYTES} bytes unread` : eventForwarder.forward(chunk);
			},
		});
		request.signal.removeEventListener('abort', onDisconnect);
		eventForwarder.release();
		const isInterrupted = request.route.canResume && state.lastEventId !== undefined && !(answered.isOk() && answered.value.status === 200 && !eventForwarder.endsWithinEvent());
		if (isInterrupted && hasOtherVersion(chosen.server.id, softwareVersion)) {
			log.info('stream is of unknown software version', {requestId: request.requestId, serverId: chosen.server.id, softwareVersion});
			state.origin = {kind: 'version', pool: chosen.server.pool, softwareVersion: UNKNOWN_VERSION};
			await records.recordUnknown(request.resumption?.firstRequestId ?? request.requestId, chosen.server.pool);
		}

		const end = answered.match<AttemptEnd>(({head}) => ({kind: 'answer', head}), failure => ({kind: 'failure', failure}));
		run?.end(!isNotRun(end));
		state.verdict = endAttempt(classifyOutcome(
			end,
			{hasTimedOut: clock.monotonic() >= request.deadlineAt, hasCallerLeft: request.signal.aborted},
		));
		return answered.match(backendResponse => {
			chosen.end(clock.monotonic(), backendResponse.head.isOtherServer ? 'refused' : (backendResponse.head.isNotRun ? 'cancelled' : 'done'));
			if (backendResponse.status === 200 && state.isEventStream && eventForwarder.endsWithinEvent()) {
				log.info('stream ended within an event', {requestId: request.requestId, serverId: chosen.server.id, lastEventId: state.lastEventId});
				state.mayHaveRun = true;
				return request.route.canResume ? 'next' : 'stop';
			}

			if (backendResponse.status === 200) {
				response.end();
				return 'done';
			}

			if (backendResponse.head.isNotRun || backendResponse.head.isOtherServer) {
				return 'next';
			}

			if (!state.hasBegun) {
				const forwardedHeaders = Object.fromEntries(Object.entries(backendResponse.headers).filter(([name]) => !CONNECTION_HEADERS.has(name)));
				response.writeHead(backendResponse.status, {...forwardedHeaders, 'content-length': backendResponse.body.length, ...(isLast && {connection: 'close'})});
				response.end(backendResponse.body);
				return 'done';
			}

			return 'stop';
		}, failure => {
			chosen.end(clock.monotonic(), failure.code === 'aborted' || isLateCopy(failure) ? 'cancelled' : 'died');
			log.info('stream broke', {
				requestId: request.requestId, serverId: chosen.server.id, softwareVersion, lastEventId: state.lastEventId, reason: failure.message, effect: failure.effect,
			});
			state.mayHaveRun ||= failure.effect === 'outcomeUnknown';
			return failure.effect === 'notRun' || (request.route.canResume && (!state.hasBegun || state.isEventStream)) ? 'next' : 'stop';
		});
	}

	/** Finds the servers at which the caller may continue its stream; fails at once when there are none. */
	async function findOrigin(request: PlainRequest, resumption: Resumption): Promise<Result<StreamOrigin | undefined, Failure>> {
		const pools = request.route.pools.map(({pool}) => pool);
		const found = await records.findOrigin(resumption, pools);
		log.info('stream is taken up', {requestId: request.requestId, resumes: resumption.firstRequestId, ...found.match(origin => ({origin}), failure => ({reason: failure.message}))});
		return found.andThen<StreamOrigin | undefined, Failure>(origin => {
			const hasServers = pools.some(pool => dependencies.serverIdsOf(pool).some(serverId => {
				const server = findServer(serverId);
				return server !== undefined && allowsServer(origin, server, records.baseOf);
			}));
			return hasServers
				? ok(origin)
				: err(createNotRun('unavailable', {step: 'forward stream', peer: request.route.name}, 'no backend server of the software version that began the stream is left', RETRY_AFTER_MS));
		});
	}

	async function forwardWithRetries(request: PlainRequest, response: ServerResponse, state: StreamState, isLast: boolean): Promise<Failure | undefined> {
		const outcome = await attemptOnce(request, response, state, isLast);
		if (outcome === 'done' || request.signal.aborted) {
			return undefined;
		}

		const canTryAnother = !state.isTrial && state.triedServers.length < request.route.attempts && clock.monotonic() < request.deadlineAt;
		if (outcome === 'next' && canTryAnother) {
			return forwardWithRetries(request, response, state, isLast);
		}

		if (state.hasBegun) {
			// Destroys the connection, so that the caller does not take the interrupted stream for a complete one.
			response.destroy();
			return undefined;
		}

		const origin = {step: 'forward stream', peer: state.triedServers.at(-1) ?? request.route.name};
		if (state.mayHaveRun) {
			return createOutcomeUnknown('unavailable', origin, 'the stream broke before its first event');
		}

		return state.refusal?.code === 'suspect'
			? wrapFailure(state.refusal, origin)
			: createNotRun('unavailable', origin, 'no backend server accepted the stream', state.refusal?.retryAfterMs ?? RETRY_AFTER_MS);
	}

	/** Keeps the record of the request's stream until the response has closed. */
	function keepRecord({requestId, route, resumption}: PlainRequest, response: ServerResponse): void {
		const firstRequestId = resumption === undefined ? requestId : resumption.firstRequestId;
		if (!route.canResume || firstRequestId === undefined) {
			return;
		}

		const release = records.keep(firstRequestId);
		if (response.closed) {
			release();
		} else {
			response.once('close', release);
		}
	}

	async function forward(request: PlainRequest, response: ServerResponse, isLast: boolean): Promise<Failure | undefined> {
		keepRecord(request, response);
		const origin = request.resumption !== undefined && request.route.canResume
			? await findOrigin(request, request.resumption)
			: ok<StreamOrigin | undefined, Failure>(undefined);
		if (origin.isErr()) {
			return origin.error;
		}

		return forwardWithRetries(request, response, {
			triedServers: [], lastEventId: undefined, origin: origin.value, hasBegun: false, isEventStream: false, unread: undefined, mayHaveRun: false, refusal: undefined, arrivedAt: clock.monotonic(), verdict: Promise.resolve(), isTrial: false,
		}, isLast);
	}

	const inProgress = createTaskSet();
	return {
		forward: async (request, response, isLast) => inProgress.run(async () => forward(request, response, isLast)),
		whenIdle: inProgress.whenIdle,
	};
}
