/** Runs requests with idempotency keys at most once: claims the key, runs the request, and returns the first outcome to repetitions. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ServiceResponse} from '../../adapters/common/service.js';
import type {ClaimVerdict, Claims, Outcome} from '../common/claims.js';

/** A request that may run only with a claim. */
export type ClaimedRun = {
	readonly key: string;
	readonly bodyDigest: string;
	readonly claimId: string;
	readonly deadline: number;
	/** Aborted when the caller disconnects, which ends the wait for another run but never a run. */
	readonly signal: AbortSignal;
};

/** The response to a claimed run. */
export type Reply = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Whether this is the stored outcome of an earlier run. */
	readonly replayed: boolean;
};

/** Runs requests with claims. */
export type ClaimedRuns = {
	/** `start` receives a check that must return true immediately before the first byte is sent. */
	readonly run: (run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceResponse, Failure>>) => Promise<Result<Reply, Failure>>;
};

const RUNNING_POLL_MS = 200;
/** Of larger response bodies only the digest is stored. */
const MAXIMUM_STORED_BODY_BYTES = 4096;

const origin = {step: 'claim key', peer: 'self'};

function createOutcome(result: Result<ServiceResponse, Failure>): Outcome | undefined {
	return result.match<Outcome | undefined>(response => {
		const body = Buffer.from(response.body).toString('base64');
		return response.body.length <= MAXIMUM_STORED_BODY_BYTES
			? {
				kind: 'answer', status: response.status, contentType: response.contentType, body,
			}
			: {kind: 'done', status: response.status, digest: hashToHex(body)};
	}, failure => failure.effect === 'notRun' ? undefined : {kind: 'unknown'});
}

function replay(outcome: Outcome): Result<Reply, Failure> {
	if (outcome.kind === 'answer') {
		return ok({
			status: outcome.status, contentType: outcome.contentType, body: Buffer.from(outcome.body, 'base64'), replayed: true,
		});
	}

	return outcome.kind === 'done'
		? err(createOutcomeUnknown('incomplete', origin, `the first run returned status ${outcome.status}, but its response (digest ${outcome.digest}) was too large to store`))
		: err(createOutcomeUnknown('incomplete', origin, 'the outcome of the first run with this key is unknown'));
}

/** Creates a runner of claimed requests. */
export function createClaimedRuns(claims: Claims, clock: Clock, loop: Loop): ClaimedRuns {
	async function runGranted(run: ClaimedRun, until: number, start: (mayStart: () => boolean) => Promise<Result<ServiceResponse, Failure>>): Promise<Result<Reply, Failure>> {
		const result = await start(() => clock.monotonic() < until);
		claims.settle(run.key, run.claimId, createOutcome(result));
		return result.map(response => ({
			status: response.status, contentType: response.contentType, body: response.body, replayed: false,
		}));
	}

	async function claim(run: ClaimedRun): Promise<Result<ClaimVerdict, Failure>> {
		const now = clock.monotonic();
		return claims.claim({
			key: run.key, bodyDigest: run.bodyDigest, claimId: run.claimId, runForMs: Math.max(1, run.deadline - now),
		}, now);
	}

	async function waitForOtherRun(run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceResponse, Failure>>): Promise<Result<Reply, Failure>> {
		if (run.signal.aborted || clock.monotonic() + RUNNING_POLL_MS >= run.deadline) {
			return err(createOutcomeUnknown('incomplete', origin, 'the first run with this key has not ended yet'));
		}

		await loop.sleep(RUNNING_POLL_MS);
		return claimAndRun(run, start);
	}

	async function claimAndRun(run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceResponse, Failure>>): Promise<Result<Reply, Failure>> {
		const verdict = await claim(run);
		if (verdict.isErr()) {
			return err(verdict.error);
		}

		switch (verdict.value.kind) {
			case 'granted': {
				return runGranted(run, verdict.value.until, start);
			}

			case 'settled': {
				return replay(verdict.value.outcome);
			}

			case 'running': {
				return waitForOtherRun(run, start);
			}

			case 'mismatch': {
				return err(createNotRun('conflict', origin, 'the key was already used with a different body'));
			}
		}
	}

	return {run: claimAndRun};
}
