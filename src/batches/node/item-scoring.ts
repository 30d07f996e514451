/** Calls the scoring service for finished texts, until it returns a score or the attempts of the route are used up. */
import {Buffer} from 'node:buffer';
import type PQueue from 'p-queue';
import type {Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import type {DeploymentHolder, Route} from '../../gateway/common/deployment.js';
import type {WorkStatus} from '../../gateway/common/work-status.js';
import type {Forwarder} from '../../gateway/node/forwarder.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ScoringCall} from '../common/batch.js';
import {createScoringBackoff, type ScoringBackoff} from '../common/scoring-backoff.js';

/** Dependencies of the scoring of a batch. */
export type ScoringDependencies = {
	readonly deployment: DeploymentHolder;
	readonly forwarder: Forwarder;
	/** Queue that limits the concurrent scoring calls of the daemon. */
	readonly scoring: PQueue;
	/** Whether the batch goes on; asked before each call is sent. */
	readonly work: WorkStatus;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly log: Log;
};

/** The scoring of one batch. */
export type ItemScoring = {
	/** Resolves with the score, or with undefined when all attempts failed or the batch was lost. */
	readonly score: (call: ScoringCall) => Promise<string | undefined>;
};

/** Time limit of a scoring call whose route states none. */
const SCORING_DEADLINE_MS = 2000;
const STATUS_FAILED = 500;
/** Servers that one scoring call may try; it goes to the second when the first fails or is slow. */
const SERVERS_PER_CALL = 2;

/** Creates the scoring of a batch. `isLost` tells that this daemon no longer owns the batch; `signal` aborts calls in that case. */
export function createItemScoring(batchId: string, {deployment, forwarder, scoring, work, clock, loop, log}: ScoringDependencies, signal: AbortSignal, isLost: () => boolean): ItemScoring {
	async function callScorer(call: ScoringCall, route: Route, waitingSince: number): Promise<Result<{readonly status: number; readonly score: string | undefined}, Failure>> {
		const response = await forwarder.forward({
			requestId: call.requestId,
			method: 'POST',
			path: call.path,
			headers: {Host: call.host},
			body: Buffer.from(call.body, 'base64'),
			// `score` below counts the failures of all calls, so that one faulty server does not make the item fail. It also repeats calls whose outcome is
			// unknown, so they may be hedged, whatever the kind of the route.
			route: {...route, repeatability: 'idempotent', attempts: Math.min(route.attempts, SERVERS_PER_CALL)},
			deadlineAt: clock.monotonic() + (route.timeoutMs > 0 ? route.timeoutMs : SCORING_DEADLINE_MS),
			signal,
			urgency: undefined,
			permitUrgency: 'background',
			fingerprint: undefined,
			organisation: undefined,
			waitingSince,
			work,
		});
		return response.map(({status, head}) => ({status, score: head.signature}));
	}

	async function score(call: ScoringCall, waitingSince: number, backoff: ScoringBackoff, failures = 0): Promise<string | undefined> {
		if (isLost()) {
			return undefined;
		}

		const route = deployment.findRoute(call.host, call.path);
		const response = route === undefined ? undefined : await scoring.add(async () => callScorer(call, route, waitingSince));
		const outcome = response?.unwrapOr(undefined);
		const retryAfterMs = response?.match(() => undefined, failure => failure.retryAfterMs) ?? 0;
		if (outcome !== undefined && outcome.status >= 200 && outcome.status < 300 && outcome.score !== undefined) {
			return outcome.score;
		}

		const failureCount = failures + (outcome?.status === STATUS_FAILED ? 1 : 0);
		log.info('scoring call failed', {
			batchId, requestId: call.requestId, status: outcome?.status, failures: failureCount,
		});
		if (route !== undefined && failureCount >= route.attempts) {
			return undefined;
		}

		const hasBroken = response?.isErr() === true && response.error.effect === 'outcomeUnknown';
		await loop.sleep(Math.max(backoff.nextDelayMs(hasBroken), retryAfterMs));
		return score(call, waitingSince, backoff, failureCount);
	}

	return {score: async call => score(call, clock.monotonic(), createScoringBackoff())};
}
