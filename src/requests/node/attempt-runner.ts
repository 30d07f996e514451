/** Runs a request: makes attempts at backend servers, one at a time, until a response is complete or no retry is allowed. */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {Clock} from '../../base/common/clock.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Metrics} from '../../kernel/common/metrics.js';
import type {
	BackendServer, Dispatch, Router, RouteRequest,
} from '../../routing/common/router.js';
import {createAttempt, joinFailures, type Attempt} from '../common/attempt.js';
import {createRetryBudget, type RetryBudget} from '../common/retry-budget.js';
import {decideRetry} from '../common/retry-policy.js';
import type {BrokenAttempt, Isolation, SuspectGuard} from '../common/suspect-guard.js';

/** A request to run. */
export type RunRequest = {
	readonly requestId: string;
	readonly route: Omit<RouteRequest, 'excluded' | 'alone'>;
	/** Identifies the content of the request, independent of its sender. */
	readonly fingerprint: string;
	/** Whether the request may safely run again now and another run can still complete the response. */
	readonly repeatable: () => boolean;
	readonly deadline: number;
	readonly signal: AbortSignal;
};

/** One attempt, to be carried out by the caller of the runner. */
export type AttemptContext = {
	/** Unique per attempt; the response must contain it. */
	readonly attemptId: string;
	readonly server: BackendServer;
	readonly attempt: Attempt;
	readonly signal: AbortSignal;
};

/** Runs requests with retries. */
export type AttemptRunner = {
	readonly run: <T>(request: RunRequest, call: (context: AttemptContext) => Promise<Result<T, Failure>>) => Promise<Result<T, Failure>>;
};

/** Dependencies and limits of an attempt runner. */
export type AttemptRunnerDependencies = {
	readonly router: Router;
	readonly suspects: SuspectGuard;
	readonly maximumAttempts: number;
	readonly retryShare: number;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly metrics: Metrics;
};

type Progress = {
	readonly failures: readonly Failure[];
	readonly excluded: readonly string[];
};

type Assignment = {
	readonly dispatch: Dispatch;
	readonly isolation: Isolation;
};

type RunAttempt = BrokenAttempt & {
	readonly attempt: Attempt;
};

type AttemptEnd<T> = {
	readonly result: Result<T, Failure>;
	readonly outcome: Parameters<Dispatch['end']>[1];
};

/** Expected run time in a pool without completed requests. */
const INITIAL_EXPECTED_RUN_MS = 50;
/** Weight of the newest run in the moving average of run times. */
const RUN_MEAN_WEIGHT = 0.1;
const ISOLATION_RETRY_AFTER_MS = 2000;
/** Time within which a server for a request in isolation must be found and become idle. */
const MAXIMUM_ISOLATION_WAIT_MS = 4000;
/** Interval at which servers reserved by other daemons are checked again. */
const RESERVED_POLL_MS = 200;

function getOrCreate<T>(valueByKey: Map<string, T>, key: string, create: () => T): T {
	const found = valueByKey.get(key) ?? create();
	valueByKey.set(key, found);
	return found;
}

/** Creates a runner with full retry budgets. */
export function createAttemptRunner(dependencies: AttemptRunnerDependencies): AttemptRunner {
	const {
		router, suspects, clock, loop, metrics,
	} = dependencies;
	const budgetByPool = new Map<string, RetryBudget>();
	const meanRunMsByPool = new Map<string, number>();

	function budgetOf(pool: string): RetryBudget {
		return getOrCreate(budgetByPool, pool, () => createRetryBudget(dependencies.retryShare));
	}

	function recordRunDuration(pool: string, durationMs: number): void {
		const mean = meanRunMsByPool.get(pool) ?? durationMs;
		meanRunMsByPool.set(pool, mean + (RUN_MEAN_WEIGHT * (durationMs - mean)));
	}

	function expectRunMs(pool: string): number {
		return meanRunMsByPool.get(pool) ?? INITIAL_EXPECTED_RUN_MS;
	}

	/** Settles at once when the deadline passes or the caller disconnects; a later result of the call is dropped. */
	async function callWithDeadline<T>(request: RunRequest, context: Omit<AttemptContext, 'signal'>, call: (context: AttemptContext) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		const controller = new AbortController();
		const origin = {step: 'run request', peer: context.server.id};
		return new Promise(resolve => {
			function giveUp(code: 'aborted' | 'deadlineExceeded', message: string): void {
				const state = context.attempt.state();
				resolve(err(state === 'notSent' ? createNotRun(code, origin, message) : createOutcomeUnknown(code, origin, message)));
				controller.abort();
			}

			const abort = () => {
				giveUp('aborted', 'the caller disconnected');
			};

			const timer = loop.after(request.deadline - clock.monotonic(), () => {
				giveUp('deadlineExceeded', 'no complete response before the deadline');
			});
			request.signal.addEventListener('abort', abort, {once: true});
			void call({...context, signal: controller.signal}).then(resolve, (error: unknown) => {
				resolve(err(createOutcomeUnknown('unavailable', origin, String(error))));
			}).finally(() => {
				timer.dispose();
				request.signal.removeEventListener('abort', abort);
			});
		});
	}

	async function classifyFailure<T>(runAttempt: RunAttempt, failure: Failure): Promise<AttemptEnd<T>> {
		const settled = runAttempt.attempt.failed(failure);
		const result = err(settled);
		if (settled.code === 'aborted' || settled.code === 'deadlineExceeded' || settled.code === 'invalid') {
			return {result, outcome: 'cancelled'};
		}

		if (settled.code === 'overloaded') {
			return {result, outcome: 'refused'};
		}

		if (settled.effect === 'outcomeUnknown') {
			await suspects.recordBrokenAttempt(runAttempt, clock.monotonic());
		}

		return {result, outcome: 'died'};
	}

	async function runOnce<T>(request: RunRequest, {dispatch, isolation}: Assignment, attemptId: string, call: (context: AttemptContext) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		const startedAt = clock.monotonic();
		const context = {attemptId, server: dispatch.server, attempt: createAttempt()};
		const result = await callWithDeadline(request, context, call);
		if (result.isOk()) {
			context.attempt.whole();
			recordRunDuration(request.route.pool, clock.monotonic() - startedAt);
			suspects.recordCompleted(request.fingerprint, clock.monotonic());
			dispatch.end(clock.monotonic(), 'done');
			return result;
		}

		const end = await classifyFailure<T>({
			fingerprint: request.fingerprint, server: dispatch.server, attempt: context.attempt, sentAt: startedAt, isolation,
		}, result.error);
		dispatch.end(clock.monotonic(), end.outcome);
		return end.result;
	}

	async function isolate(request: RunRequest, dispatched: Dispatch, until: number): Promise<Result<Dispatch, Failure>> {
		const isIdle = await suspects.isolate(dispatched.server, until);
		// The request may have been permanently refused, or cleared, during the wait.
		const now = clock.monotonic();
		const verdict = suspects.check(request.fingerprint, now);
		if (isIdle && verdict.isOk() && now + expectRunMs(request.route.pool) < request.deadline) {
			return ok(dispatched);
		}

		dispatched.end(clock.monotonic(), 'cancelled');
		const origin = {step: 'isolate request', peer: dispatched.server.id};
		return err(verdict.isErr() ? verdict.error : createNotRun('unavailable', origin, 'the server did not become idle in time', ISOLATION_RETRY_AFTER_MS));
	}

	async function assignServer(request: RunRequest, progress: Progress): Promise<Result<Assignment, Failure>> {
		const now = clock.monotonic();
		const verdict = suspects.check(request.fingerprint, now);
		if (verdict.isErr()) {
			return err(verdict.error);
		}

		return verdict.value === 'alone'
			? assignIsolatedServer(request, progress, Math.min(request.deadline, now + MAXIMUM_ISOLATION_WAIT_MS), [])
			: router.dispatch({...request.route, excluded: progress.excluded, alone: false}, now).map(dispatch => ({dispatch, isolation: 'shared'}));
	}

	/** When a server crashes or stays busy, tries another one; when other daemons have reserved all servers, waits for one. */
	async function assignIsolatedServer(request: RunRequest, progress: Progress, until: number, skipped: readonly string[]): Promise<Result<Assignment, Failure>> {
		const dispatched = router.dispatch({...request.route, excluded: [...progress.excluded, ...skipped], alone: true}, clock.monotonic());
		const isolated = dispatched.isOk() ? await isolate(request, dispatched.value, until) : dispatched;
		const isOver = clock.monotonic() >= until || request.signal.aborted;
		if (isolated.isOk() || isolated.error.code === 'suspect' || isOver) {
			return isolated.map(dispatch => ({dispatch, isolation: 'alone'}));
		}

		if (dispatched.isOk()) {
			return assignIsolatedServer(request, progress, until, [...skipped, dispatched.value.server.id]);
		}

		await loop.sleep(RESERVED_POLL_MS);
		return recheckAndAssign(request, progress, until);
	}

	/** Checks again whether the request is refused, because that may have changed during the wait. */
	async function recheckAndAssign(request: RunRequest, progress: Progress, until: number): Promise<Result<Assignment, Failure>> {
		const verdict = suspects.check(request.fingerprint, clock.monotonic());
		return verdict.isErr() ? err(verdict.error) : assignIsolatedServer(request, progress, until, []);
	}

	function joinWithEarlier(progress: Progress, last: Failure): Failure {
		return joinFailures(progress.failures, last);
	}

	async function runFrom<T>(request: RunRequest, progress: Progress, call: (context: AttemptContext) => Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
		if (request.signal.aborted) {
			return err(joinWithEarlier(progress, createNotRun('aborted', {step: 'run request', peer: request.route.pool}, 'the caller disconnected')));
		}

		const assigned = await assignServer(request, progress);
		if (assigned.isErr()) {
			return err(joinWithEarlier(progress, assigned.error));
		}

		const number = progress.failures.length + 1;
		const result = await runOnce(request, assigned.value, `${request.requestId}-${number}`, call);
		if (result.isOk()) {
			return result;
		}

		const next = {failures: [...progress.failures, result.error], excluded: [...progress.excluded, assigned.value.dispatch.server.id]};
		const {pool} = request.route;
		const mayRetry = decideRetry({
			failure: result.error,
			repeatable: request.repeatable(),
			attempts: number,
			maximumAttempts: dependencies.maximumAttempts,
			now: clock.monotonic(),
			deadline: request.deadline,
			expectedRunMs: expectRunMs(pool),
		}, budgetOf(pool));
		metrics.count('requests.attempt_failed', 1, {pool, code: result.error.code, again: String(mayRetry)});
		return mayRetry ? runFrom(request, next, call) : err(joinWithEarlier(next, result.error));
	}

	return {
		async run(request, call) {
			budgetOf(request.route.pool).earn();
			return runFrom(request, {failures: [], excluded: []}, call);
		},
	};
}
