/** Forwards plain (unary) requests to backend servers, with retries, hedging of slow attempts, and a result that says whether the request may have run. */
import {err, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {Loop} from '../../kernel/common/loop.js';
import {describeError, type Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import {createTaskSet} from '../../base/common/task-set.js';
import type {PermitUrgency} from '../../limits/common/permit-ledger.js';
import {computePatience} from '../../limits/common/permit-plan.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {BackendServer, Dispatch} from '../../routing/common/router.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import {choosePool, type Route} from '../common/deployment.js';
import type {Resumption} from '../common/stream-origin.js';
import type {WorkStatus} from '../common/work-status.js';
import type {FailureRates} from '../common/failure-rates.js';
import type {HedgePolicy} from '../common/hedge-policy.js';
import type {PoolServers} from '../common/pool-servers.js';
import {
	classifyOutcome, decideAfterAttempt, isLateCopy, isNotRun, type AttemptEnd,
} from '../common/attempt-policy.js';
import {openAdmission, type Admission, type RequestGuard} from '../common/request-guard.js';
import type {RunTracker} from '../common/run-tracker.js';
import {recordAttemptTime, watchAttempt} from './hedge-watch.js';
import type {ServerAcquisition} from './server-acquisition.js';
import type {BackendResponse, ServerCaller, ServerRequest} from './server-caller.js';

/** A plain request to forward. */
export type PlainRequest = ServerRequest & {
	readonly requestId: string;
	readonly route: Route;
	/** Monotonic time by which the caller must have the response. */
	readonly deadlineAt: number;
	/** Aborts when the caller has disconnected. */
	readonly signal: AbortSignal;
	readonly urgency: number | undefined;
	/** Whether a caller waits for the response, or only work in the background. */
	readonly permitUrgency: PermitUrgency;
	/** Monotonic time since which the request has been waiting, if it was refused before because of a request limit. */
	readonly waitingSince?: number;
	/** Computes the fingerprint of the content; undefined for requests that never count as the cause of a crash. */
	readonly fingerprint: (() => string) | undefined;
	/** Name of the organisation whose key the request carries; undefined for requests of none. */
	readonly organisation: string | undefined;
	/** Set when the request belongs to work that may end at another daemon. */
	readonly work?: WorkStatus;
	/** Set when the caller continues a stream. */
	readonly resumption?: Resumption;
};

/** Forwards plain requests. */
export type Forwarder = {
	/** Resolves with a server's complete response, or with a failure whose effect holds for all attempts and may be reported to the caller. */
	readonly forward: (request: PlainRequest) => Promise<Result<BackendResponse, Failure>>;
	/** Resolves when no request is in progress. */
	readonly whenIdle: () => Promise<void>;
};

/** Dependencies of a forwarder. */
export type ForwarderDependencies = {
	readonly dispatcher: Dispatcher;
	readonly loads: LoadEstimate;
	readonly caller: ServerCaller;
	readonly acquisition: ServerAcquisition;
	readonly guard: RequestGuard;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Version of the configuration in force, for the log. */
	readonly configurationVersion: () => number | undefined;
	/** Ids of the servers of a pool. */
	readonly serverIdsOf: (pool: string) => readonly string[];
	readonly failureRates: FailureRates;
	readonly hedgePolicy: HedgePolicy;
	/** Describes the servers of a pool, for the decision on hedges. */
	readonly listPoolServers: PoolServers;
	/** Receives the attempts that are sent. */
	readonly runs?: RunTracker;
};

/** Minimum remaining time for which another attempt is worth starting, in milliseconds. */
const MINIMUM_ATTEMPT_MS = 20;
/** Time reserved before the deadline for returning the response to the caller, in milliseconds. */
const RESPONSE_MARGIN_MS = 15;
/** Expected bytes of a plain request and its response. */
const EXPECTED_BYTES = 2048;
/** In the choice of a server, an open connection counts like a cached prompt of this many tokens, because a new connection costs a round trip and time of the server. */
const OPEN_CONNECTION_TOKENS = 400;
/** Retry-after time for the caller when no server could accept the request, in milliseconds. */
const RETRY_AFTER_MS = 300;

/** Statuses from this one on count as failures of the server. */
const FIRST_ERROR_STATUS = 500;

/** A server for the next attempt, and the guard's admission to it. */
type AdmittedDispatch = {
	readonly dispatch: Dispatch;
	readonly admission: Admission;
};

/** A hedge that the policy has allowed. */
type Hedge = {
	readonly pool: string;
	readonly serverIds: readonly string[];
};

/** How an attempt gets its server. */
type AttemptPlan = {
	/** Whether the request may wait for a server that limits its requests. */
	readonly canWait: boolean;
	/** Set for a hedge, which goes only to the servers that the policy lists. */
	readonly hedge?: Hedge;
};

type Progress = {
	readonly triedServers: string[];
	mayHaveRun: boolean;
	openAttempts: number;
	/** Attempts that were sent or that wait for a server. */
	startedAttempts: number;
	lastResponse: Result<BackendResponse, Failure> | undefined;
	/** Resolves when the guard takes the last attempt into account. */
	verdict: Promise<void>;
	/** Whether the request is tried at one server only, as others have crashed under it. */
	isTrial: boolean;
	/** Whether a hedge was decided on; a request gets one at most. */
	hasHedge: boolean;
	/** The server that a hedge was sent to. */
	hedgeServerId: string | undefined;
};

/** Creates a forwarder. */
export function createForwarder(dependencies: ForwarderDependencies): Forwarder {
	const {
		dispatcher, loads, caller, acquisition, guard, clock, loop, random, log, metrics, failureRates, hedgePolicy,
	} = dependencies;

	const listServers = (request: PlainRequest): readonly string[] => request.route.pools.flatMap(({pool}) => dependencies.serverIdsOf(pool));

	/** Chooses an allowed server that was not tried and is not failing. If there is none, chooses one that was not tried, and otherwise any of the allowed. */
	function chooseServer(request: PlainRequest, tried: readonly string[], allowed: readonly string[], now: number): Result<Dispatch, Failure> {
		const failing = failureRates.listFailing(listServers(request), now);
		return chooseExcluding(request, [...tried, ...failing], allowed, now)
			.orElse(() => chooseExcluding(request, tried, allowed, now))
			.orElse(() => chooseExcluding(request, [], allowed, now));
	}

	function chooseExcluding(request: PlainRequest, excluded: readonly string[], allowed: readonly string[], now: number): Result<Dispatch, Failure> {
		const pool = choosePool(request.route, random());
		if (pool === undefined) {
			return err(createNotRun('unavailable', {step: 'choose pool', peer: request.route.name}, 'the route has no pools', RETRY_AFTER_MS));
		}

		return chooseInPool(pool, excluded, allowed, now);
	}

	function chooseInPool(pool: string, excluded: readonly string[], allowed: readonly string[], now: number): Result<Dispatch, Failure> {
		return dispatcher.dispatch({
			pool, prefixKey: `connections to ${pool}`, prefixTokens: OPEN_CONNECTION_TOKENS, expectedTokens: 0, expectedBytes: EXPECTED_BYTES, excluded, allowed, alone: false,
		}, now);
	}

	/** Acquires a server for an attempt as planned. */
	async function acquireServer(request: PlainRequest, tried: readonly string[], arrivedAt: number, {canWait, hedge}: AttemptPlan): Promise<Result<Dispatch, Failure>> {
		return acquisition.acquire({
			serverIds: () => hedge?.serverIds ?? listServers(request),
			dispatch: (allowed, now) => (hedge === undefined ? chooseServer(request, tried, allowed, now) : chooseInPool(hedge.pool, tried, allowed, now)),
			urgency: request.permitUrgency,
			arrivedAt: request.waitingSince ?? arrivedAt,
			patienceMs: now => (canWait
				? computePatience(request.permitUrgency, {elapsedMs: now - arrivedAt, remainingMs: request.deadlineAt - now - RESPONSE_MARGIN_MS, goalMs: request.route.goalMs})
				: 0),
		});
	}

	async function attemptServer({dispatch, admission}: AdmittedDispatch, request: PlainRequest, progress: Progress, signal: AbortSignal): Promise<Result<BackendResponse, Failure>> {
		const remainingMs = request.deadlineAt - clock.monotonic() - RESPONSE_MARGIN_MS;
		const endAttempt = guard.begin(request, dispatch.server.id, admission);
		const sentAt = clock.monotonic();
		// A late copy of the server's first answer has the request's id too, and would be taken for the answer to this attempt.
		const usesNewConnection = request.route.repeatability !== 'idempotent' && progress.triedServers.filter(id => id === dispatch.server.id).length > 1;
		const run = dependencies.runs?.track(request, dispatch.server.id);
		const result = await caller.attempt(dispatch.server, request, {
			requestId: request.requestId, remainingMs, serverId: dispatch.server.id, ...(request.urgency !== undefined && {urgency: request.urgency}),
		}, {
			timeoutMs: Math.max(1, remainingMs), signal, usesNewConnection, onCut: () => request.route.repeatability === 'idempotent' ? 'restart' : 'wait', ...(request.work !== undefined && {work: request.work}),
		});
		run?.end(!isNotRun(toAttemptEnd(result)));
		const now = clock.monotonic();
		if (request.route.repeatability === 'idempotent') {
			recordAttemptTime(result, {policy: hedgePolicy, pool: dispatch.server.pool, tookMs: now - sentAt}, now);
		}

		progress.verdict = endAttempt(classifyOutcome(toAttemptEnd(result), {hasTimedOut: now >= request.deadlineAt - RESPONSE_MARGIN_MS, hasCallerLeft: request.signal.aborted}));
		result.match(response => {
			if (response.head.load !== undefined) {
				loads.report(dispatch.server.id, {...response.head.load, tokensPerSecond: 0, ageMs: 0}, now);
			}

			if (!response.head.isOtherServer && !response.head.isNotRun) {
				failureRates.recordOutcome(dispatch.server.id, response.status >= FIRST_ERROR_STATUS, now);
			}

			dispatch.end(now, response.head.isOtherServer ? 'refused' : (response.head.isNotRun ? 'cancelled' : 'done'));
		}, failure => {
			if (failure.code === 'incomplete') {
				failureRates.recordOutcome(dispatch.server.id, true, now);
			}

			dispatch.end(now, failure.code === 'aborted' || isLateCopy(failure) || now >= request.deadlineAt - RESPONSE_MARGIN_MS ? 'cancelled' : 'died');
		});
		return result;
	}

	function toAttemptEnd(result: Result<BackendResponse, Failure>): AttemptEnd {
		return result.match<AttemptEnd>(response => ({kind: 'answer', head: response.head}), failure => ({kind: 'failure', failure}));
	}

	function describeResult(result: Result<BackendResponse, Failure>) {
		return result.match(response => ({status: response.status, isNotRun: response.head.isNotRun}), failure => ({code: failure.code, effect: failure.effect, reason: failure.message}));
	}

	async function forward(request: PlainRequest): Promise<Result<BackendResponse, Failure>> {
		if (request.signal.aborted) {
			// A signal that has been aborted fires no event any more.
			return err(createNotRun('aborted', {step: 'forward request', peer: request.route.name}, 'the request ended before it was sent'));
		}

		const progress: Progress = {
			triedServers: [], mayHaveRun: false, openAttempts: 0, startedAttempts: 0, lastResponse: undefined, verdict: Promise.resolve(), isTrial: false, hasHedge: false, hedgeServerId: undefined,
		};
		const abortController = new AbortController();
		const onDisconnect = () => {
			abortController.abort();
		};

		request.signal.addEventListener('abort', onDisconnect, {once: true});
		const {promise, resolve} = createDeferred<Result<BackendResponse, Failure>>();
		const startedAt = clock.monotonic();

		let isFinished = false;

		function finish(result: Result<BackendResponse, Failure>): void {
			if (isFinished) {
				// The result of an attempt that was cancelled because another one has been delivered.
				return;
			}

			isFinished = true;
			const tookMs = clock.monotonic() - startedAt;
			const outcome = result.match(response => (response.status < 400 ? 'answered' : 'error'), failure => (failure.effect === 'notRun' ? 'refused' : failure.code));
			metrics.timing('request.duration', tookMs, {repeatability: request.route.repeatability, outcome});
			log.info('request finished', {
				requestId: request.requestId,
				route: request.route.name,
				configuration: dependencies.configurationVersion(),
				servers: progress.triedServers,
				hedgedTo: progress.hedgeServerId,
				outcome,
				tookMs: Math.round(tookMs),
				...describeResult(result),
			});
			resolve(result);
			abortController.abort();
			request.signal.removeEventListener('abort', onDisconnect);
		}

		function finishWithFailure(decision: 'refuse' | 'fail', cause?: Failure): void {
			const origin = {step: 'forward request', peer: progress.triedServers.at(-1) ?? request.route.name};
			const isSuspect = cause?.code === 'suspect';
			finish(decision === 'refuse'
				? err(createNotRun(isSuspect ? 'suspect' : 'unavailable', origin, isSuspect ? cause.message : 'no backend server took the request', cause?.retryAfterMs ?? RETRY_AFTER_MS))
				: err(createOutcomeUnknown('unavailable', origin, 'no backend server sent a complete response')));
		}

		function handleAttemptEnd(result: Result<BackendResponse, Failure>, {id: serverId, pool}: BackendServer): void {
			progress.openAttempts -= 1;
			const end = toAttemptEnd(result);
			const now = clock.monotonic();
			if (abortController.signal.aborted) {
				finish(result);
				return;
			}

			const decision = decideAfterAttempt(end, {
				repeatability: request.route.repeatability,
				servers: progress.startedAttempts,
				attempts: progress.isTrial ? 1 : request.route.attempts,
				remainingMs: request.deadlineAt - now,
				minimumAttemptMs: MINIMUM_ATTEMPT_MS,
			}, progress.mayHaveRun);
			progress.mayHaveRun ||= !isNotRun(end);
			if (decision !== 'deliver' || (end.kind === 'answer' && end.head.status >= 500)) {
				log.info('try ended', {
					requestId: request.requestId, serverId, decision, tries: progress.triedServers.length, remainingMs: Math.round(request.deadlineAt - now), ...describeResult(result),
				});
			}

			progress.lastResponse = end.kind === 'answer' && !isNotRun(end) ? result : progress.lastResponse;
			const isError = end.kind === 'answer' && end.head.status >= FIRST_ERROR_STATUS;
			if (decision === 'deliver' && isError && progress.openAttempts > 0) {
				// The other attempt may still succeed. If it doesn't, this response is delivered.
				return;
			}

			if (decision === 'deliver') {
				if (serverId === progress.hedgeServerId && !isError) {
					hedgePolicy.recordWin(pool, now);
				}

				finish(result);
			} else if (decision === 'tryAgain') {
				startAttemptSafely({canWait: true});
			} else if (progress.openAttempts === 0) {
				finishUndelivered(decision);
			}
		}

		/** Ends the request without a successful response. An error response of a server is preferred, because it tells the caller more than a failure made here. */
		function finishUndelivered(decision: 'refuse' | 'fail', cause?: Failure): void {
			if (progress.lastResponse === undefined) {
				finishWithFailure(progress.mayHaveRun ? 'fail' : decision, cause);
				return;
			}

			finish(progress.lastResponse);
		}

		/** Acquires a server, unless the guard refuses the request, also when other daemons reported crashes while it waited. */
		async function acquireUnlessRefused(plan: AttemptPlan): Promise<Result<AdmittedDispatch, Failure>> {
			// A request that servers have crashed under since its first attempt was sent is not hedged, and no trial is claimed for the hedge.
			const admitted = plan.hedge === undefined ? await guard.admit(request) : guard.confirm(request, openAdmission, clock.monotonic()).map(() => openAdmission);
			if (admitted.isErr()) {
				return err(admitted.error);
			}

			const admission = admitted.value;
			progress.isTrial ||= admission.trialId !== undefined;
			const chosen = await acquireServer(request, progress.triedServers, startedAt, plan);
			return chosen.andThen(dispatch => guard.confirm(request, admission, clock.monotonic()).map(() => ({dispatch, admission})).mapErr(failure => {
				dispatch.end(clock.monotonic(), 'cancelled');
				return failure;
			})).mapErr(failure => {
				guard.cancel(admission);
				return failure;
			});
		}

		async function startAttempt(plan: AttemptPlan): Promise<void> {
			progress.openAttempts += 1;
			progress.startedAttempts += 1;
			await progress.verdict;
			const chosen = await acquireUnlessRefused(plan);
			if (chosen.isErr() || abortController.signal.aborted) {
				if (plan.hedge !== undefined) {
					hedgePolicy.refund(plan.hedge.pool, clock.monotonic());
				}

				progress.openAttempts -= 1;
				progress.startedAttempts -= 1;
				handleUnsent(chosen);
				return;
			}

			const {server} = chosen.value.dispatch;
			progress.triedServers.push(server.id);
			const watch = watchForHedge(server, plan);
			const result = await attemptServer(chosen.value, request, progress, abortController.signal);
			watch?.dispose();
			handleAttemptEnd(result, server);
		}

		/** Watches an attempt that is about to be sent, so that it is hedged when it has become slow. */
		function watchForHedge({id, pool}: BackendServer, plan: AttemptPlan): Disposable | undefined {
			if (request.route.repeatability !== 'idempotent') {
				return undefined;
			}

			const sentAt = clock.monotonic();
			if (plan.hedge !== undefined) {
				progress.hedgeServerId = id;
				metrics.count('hedge.sent', 1, {pool});
				return undefined;
			}

			if (progress.triedServers.length === 1) {
				hedgePolicy.recordRequest(pool, sentAt);
			}

			return watchAttempt({
				pool, arrivedAt: startedAt, sentAt, goalMs: request.route.goalMs,
			}, {policy: hedgePolicy, loop}, () => {
				hedge(pool, id, clock.monotonic() - sentAt);
			});
		}

		/** Hedges a slow attempt, if the policy allows it. */
		function hedge(pool: string, slowServerId: string, afterMs: number): void {
			if (isFinished || progress.isTrial || progress.hasHedge || progress.openAttempts !== 1 || progress.startedAttempts >= request.route.attempts) {
				return;
			}

			const now = clock.monotonic();
			const decision = hedgePolicy.decide(pool, dependencies.listPoolServers(pool, now), progress.triedServers, now);
			if (decision.kind === 'withhold') {
				metrics.count('hedge.withheld', 1, {pool, reason: decision.reason});
				log.debug('slow attempt is not hedged', {requestId: request.requestId, serverId: slowServerId, reason: decision.reason});
				return;
			}

			progress.hasHedge = true;
			log.info('slow attempt is hedged', {
				requestId: request.requestId, serverId: slowServerId, pool, afterMs: Math.round(afterMs),
			});
			startAttemptSafely({canWait: false, hedge: {pool, serverIds: decision.serverIds}});
		}

		/** Starts an attempt. An error that nothing expects ends this request, which may have run, and nothing else. */
		function startAttemptSafely(plan: AttemptPlan): void {
			startAttempt(plan).catch((error: unknown) => {
				log.error('attempt failed unexpectedly', {requestId: request.requestId, error: describeError(error)});
				finishWithFailure('fail');
			});
		}

		/** Handles an attempt for which no server was found, or whose request ended meanwhile. */
		function handleUnsent(chosen: Result<AdmittedDispatch, Failure>): void {
			chosen.match(({dispatch, admission}) => {
				dispatch.end(clock.monotonic(), 'cancelled');
				guard.cancel(admission);
				if (!request.signal.aborted) {
					// Another attempt has been delivered meanwhile.
					return;
				}

				finish(err(createNotRun('aborted', {step: 'forward request', peer: dispatch.server.id}, 'the request ended before it was sent')));
			}, failure => {
				if (progress.openAttempts === 0) {
					log.info('no backend server for the request', {
						requestId: request.requestId, route: request.route.name, tried: progress.triedServers, reason: failure.message, retryAfterMs: failure.retryAfterMs,
					});
					finishUndelivered(progress.mayHaveRun ? 'fail' : 'refuse', failure);
				}
			});
		}

		startAttemptSafely({canWait: true});
		return promise;
	}

	const inProgress = createTaskSet();
	return {
		forward: async request => inProgress.run(async () => forward(request)),
		whenIdle: inProgress.whenIdle,
	};
}

type Deferred<T> = {
	readonly promise: Promise<T>;
	readonly resolve: (value: T) => void;
};

function createDeferred<T>(): Deferred<T> {
	const resolvers: Array<(value: T) => void> = [];
	const promise = new Promise<T>(resolve => {
		resolvers.push(resolve);
	});
	return {
		promise, resolve(value) {
			resolvers[0]!(value);
		},
	};
}

