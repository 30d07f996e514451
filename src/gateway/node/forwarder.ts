/** Carries plain requests to backend servers: tries, a second try beside a slow one, and a final answer that is true. */
import {err, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Log} from '../../kernel/common/log.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {Random} from '../../base/common/random.js';
import type {Dispatcher} from '../../routing/common/dispatcher.js';
import type {Dispatch} from '../../routing/common/router.js';
import {createRetryBudget} from '../../requests/common/retry-budget.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import {choosePool, type Route} from '../common/deployment.js';
import {createFailureShares} from '../common/failure-shares.js';
import {decideAfterTry, isNotRun, type TryEnd} from '../common/try-policy.js';
import type {ServerAnswer, ServerCaller, ServerRequest} from './server-caller.js';

/** A plain request on its way. */
export type PlainRequest = ServerRequest & {
	readonly requestId: string;
	readonly route: Route;
	/** Monotonic time by which the caller wants an answer. */
	readonly deadlineAt: number;
	/** Aborts when the caller has left. */
	readonly signal: AbortSignal;
	readonly urgency: number | undefined;
};

/** Forwards plain requests. */
export type Forwarder = {
	/** Resolves with a server's whole answer, or with a failure whose effect may be told to the caller. */
	readonly forward: (request: PlainRequest) => Promise<Result<ServerAnswer, Failure>>;
	/** Resolves when no request is under way. */
	readonly whenIdle: () => Promise<void>;
};

/** What a forwarder works with. */
export type ForwarderParts = {
	readonly dispatcher: Dispatcher;
	readonly loads: LoadEstimate;
	readonly caller: ServerCaller;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Version of the configuration in force, for the log. */
	readonly configurationVersion: () => number | undefined;
	/** Ids of the servers of a pool. */
	readonly serversOf: (pool: string) => readonly string[];
};

/** Time that a try needs at least to be of use, in milliseconds. */
const SHORTEST_TRY_MS = 20;
/** Time kept back from the deadline for the way of the answer, in milliseconds. */
const ANSWER_WAY_MS = 15;
/** Share of the route's goal after which an idempotent request is tried a second time beside the first. */
const HEDGE_GOAL_SHARE = 0.6;
/** Hedges per request that are allowed in the long run. */
const HEDGE_SHARE = 0.1;
/** Expected bytes of a plain request and its answer. */
const EXPECTED_BYTES = 2048;
/** An open connection to a server counts like a cached prompt of this length: a new one costs two ways and the server's time. */
const KEPT_CONNECTION_TOKENS = 400;
/** Time after which a refused caller may come back, when no server could take the request. */
const RETURN_AFTER_MS = 300;

/** Statuses from here on are failures of the server. */
const STATUS_FAILED = 500;

type Progress = {
	readonly used: string[];
	mayHaveRun: boolean;
	open: number;
	last: Result<ServerAnswer, Failure> | undefined;
};

/** Creates a forwarder. */
export function createForwarder(parts: ForwarderParts): Forwarder {
	const {
		dispatcher, loads, caller, clock, loop, random, log, metrics,
	} = parts;
	const hedges = createRetryBudget(HEDGE_SHARE);

	const failures = createFailureShares();

	/** Chooses a server that neither was tried nor failed much lately; when there is none, one that was not tried; then any. */
	function choose(request: PlainRequest, tried: readonly string[], now: number): Result<Dispatch, Failure> {
		const passedOver = request.route.pools.flatMap(({pool}) => failures.listFailing(parts.serversOf(pool), now));
		return chooseAmong(request, [...tried, ...passedOver], now)
			.orElse(() => chooseAmong(request, tried, now))
			.orElse(() => chooseAmong(request, [], now));
	}

	function chooseAmong(request: PlainRequest, excluded: readonly string[], now: number): Result<Dispatch, Failure> {
		const pool = choosePool(request.route, random());
		if (pool === undefined) {
			return err(createNotRun('unavailable', {step: 'choose pool', peer: request.route.name}, 'the route names no pool', RETURN_AFTER_MS));
		}

		return dispatcher.dispatch({
			pool, prefixKey: `connections to ${pool}`, prefixTokens: KEPT_CONNECTION_TOKENS, expectedTokens: 0, expectedBytes: EXPECTED_BYTES, excluded, allowed: undefined, alone: false,
		}, now);
	}

	async function tryServer(dispatch: Dispatch, request: PlainRequest, signal: AbortSignal): Promise<Result<ServerAnswer, Failure>> {
		const remainingMs = request.deadlineAt - clock.monotonic() - ANSWER_WAY_MS;
		const result = await caller.attempt(dispatch.server, request, {
			requestId: request.requestId, remainingMs, serverId: dispatch.server.id, ...(request.urgency !== undefined && {urgency: request.urgency}),
		}, {timeoutMs: Math.max(1, remainingMs), signal});
		const now = clock.monotonic();
		result.match(answer => {
			if (answer.head.load !== undefined) {
				loads.report(dispatch.server.id, {...answer.head.load, tokensPerSecond: 0, ageMs: 0}, now);
			}

			if (!answer.head.isOtherServer && !answer.head.isNotRun) {
				failures.note(dispatch.server.id, answer.status >= STATUS_FAILED, now);
			}

			dispatch.end(now, answer.head.isOtherServer ? 'refused' : (answer.head.isNotRun ? 'cancelled' : 'done'));
		}, failure => {
			if (failure.code === 'incomplete') {
				failures.note(dispatch.server.id, true, now);
			}

			dispatch.end(now, failure.code === 'aborted' || now >= request.deadlineAt - ANSWER_WAY_MS ? 'cancelled' : 'died');
		});
		return result;
	}

	function toEnd(result: Result<ServerAnswer, Failure>): TryEnd {
		return result.match<TryEnd>(answer => ({kind: 'answer', head: answer.head}), failure => ({kind: 'failure', failure}));
	}

	function describe(result: Result<ServerAnswer, Failure>) {
		return result.match(answer => ({status: answer.status, isNotRun: answer.head.isNotRun}), failure => ({code: failure.code, effect: failure.effect, reason: failure.message}));
	}

	async function forward(request: PlainRequest): Promise<Result<ServerAnswer, Failure>> {
		const progress: Progress = {
			used: [], mayHaveRun: false, open: 0, last: undefined,
		};
		const stop = new AbortController();
		const onLeave = () => {
			stop.abort();
		};

		request.signal.addEventListener('abort', onLeave, {once: true});
		const {promise, resolve} = createDeferred<Result<ServerAnswer, Failure>>();
		hedges.earn();

		const startedAt = clock.monotonic();

		function finish(result: Result<ServerAnswer, Failure>): void {
			const tookMs = clock.monotonic() - startedAt;
			const outcome = result.match(answer => (answer.status < 400 ? 'answered' : 'error'), failure => (failure.effect === 'notRun' ? 'refused' : failure.code));
			metrics.timing('request.duration', tookMs, {repeatability: request.route.repeatability, outcome});
			log.info('request finished', {
				requestId: request.requestId, route: request.route.name, configuration: parts.configurationVersion(), servers: progress.used, outcome, tookMs: Math.round(tookMs), ...describe(result),
			});
			resolve(result);
			stop.abort();
			request.signal.removeEventListener('abort', onLeave);
			hedgeTimer.dispose();
		}

		function conclude(decision: 'refuse' | 'fail'): void {
			const origin = {step: 'forward request', peer: progress.used.at(-1) ?? request.route.name};
			finish(decision === 'refuse'
				? err(createNotRun('unavailable', origin, 'no backend server took the request', RETURN_AFTER_MS))
				: err(createOutcomeUnknown('unavailable', origin, 'the backend servers did not answer in whole')));
		}

		function noteTry(result: Result<ServerAnswer, Failure>, serverId: string): void {
			progress.open -= 1;
			const end = toEnd(result);
			const now = clock.monotonic();
			if (stop.signal.aborted) {
				finish(result);
				return;
			}

			const decision = decideAfterTry(end, {
				repeatability: request.route.repeatability,
				servers: progress.used.length,
				attempts: request.route.attempts,
				remainingMs: request.deadlineAt - now,
				shortestTryMs: SHORTEST_TRY_MS,
			}, progress.mayHaveRun);
			progress.mayHaveRun ||= !isNotRun(end);
			if (decision !== 'deliver' || (end.kind === 'answer' && end.head.status >= 500)) {
				log.info('try ended', {
					requestId: request.requestId, serverId, decision, tries: progress.used.length, remainingMs: Math.round(request.deadlineAt - now), ...describe(result),
				});
			}

			progress.last = end.kind === 'answer' && !isNotRun(end) ? result : progress.last;
			if (decision === 'deliver') {
				finish(result);
			} else if (decision === 'tryAgain') {
				start();
			} else if (progress.open === 0) {
				giveUp(decision);
			}
		}

		/** An error that a server itself gave says more than that no server answered. */
		function giveUp(decision: 'refuse' | 'fail'): void {
			if (progress.last === undefined) {
				conclude(progress.mayHaveRun ? 'fail' : decision);
				return;
			}

			finish(progress.last);
		}

		function start(): void {
			const chosen = choose(request, progress.used, clock.monotonic());
			if (chosen.isErr()) {
				if (progress.open === 0) {
					log.info('no backend server for the request', {requestId: request.requestId, route: request.route.name, tried: progress.used});
					giveUp(progress.mayHaveRun ? 'fail' : 'refuse');
				}

				return;
			}

			progress.used.push(chosen.value.server.id);
			progress.open += 1;
			void tryServer(chosen.value, request, stop.signal).then(result => {
				noteTry(result, chosen.value.server.id);
			});
		}

		const hedgeTimer = loop.after(request.route.goalMs * HEDGE_GOAL_SHARE, () => {
			const hasAttempts = progress.used.length < request.route.attempts;
			if (request.route.repeatability === 'idempotent' && progress.open === 1 && hasAttempts && hedges.spend()) {
				log.debug('second try beside a slow one', {requestId: request.requestId, slow: progress.used.at(-1)});
				start();
			}
		});
		start();
		return promise;
	}

	const underWay = new Set<Promise<unknown>>();

	async function whenIdle(): Promise<void> {
		if (underWay.size > 0) {
			await Promise.all(underWay);
			await whenIdle();
		}
	}

	return {
		async forward(request) {
			const running = forward(request);
			underWay.add(running);
			const result = await running;
			underWay.delete(running);
			return result;
		},
		whenIdle,
	};
}

type Deferred<T> = {
	readonly promise: Promise<T>;
	readonly resolve: (value: T) => void;
};

function createDeferred<T>(): Deferred<T> {
	const holders: Array<(value: T) => void> = [];
	const promise = new Promise<T>(resolve => {
		holders.push(resolve);
	});
	return {
		promise, resolve(value) {
			holders[0]!(value);
		},
	};
}

