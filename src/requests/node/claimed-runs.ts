/** Runs requests under claims: claims first, runs once, and gives repetitions the first outcome. */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {ServiceAnswer} from '../../adapters/common/service.js';
import type {ClaimVerdict, Claims, Outcome} from '../common/claims.js';

/** A run that needs a claim. */
export type ClaimedRun = {
	readonly key: string;
	readonly bodyDigest: string;
	readonly claimId: string;
	readonly deadline: number;
	/** Aborted when the caller goes away, which ends the wait for another run but never a run. */
	readonly signal: AbortSignal;
};

/** What the caller of a claimed run is given. */
export type Reply = {
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Whether this is the outcome of an earlier run. */
	readonly replayed: boolean;
};

/** Runs under claims. */
export type ClaimedRuns = {
	/** `start` receives a check that must hold immediately before the first byte leaves. */
	readonly run: (run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceAnswer, Failure>>) => Promise<Result<Reply, Failure>>;
};

const RUNNING_POLL_MS = 200;
/** Larger answers are remembered by their digest only. */
const MAXIMUM_STORED_BODY_BYTES = 4096;

const origin = {step: 'claim key', peer: 'self'};

function createOutcome(result: Result<ServiceAnswer, Failure>): Outcome | undefined {
	return result.match<Outcome | undefined>(answer => {
		const body = Buffer.from(answer.body).toString('base64');
		return answer.body.length <= MAXIMUM_STORED_BODY_BYTES
			? {
				kind: 'answer', status: answer.status, contentType: answer.contentType, body,
			}
			: {kind: 'done', status: answer.status, digest: hashToHex(body)};
	}, failure => failure.effect === 'notRun' ? undefined : {kind: 'unknown'});
}

function replay(outcome: Outcome): Result<Reply, Failure> {
	if (outcome.kind === 'answer') {
		return ok({
			status: outcome.status, contentType: outcome.contentType, body: Buffer.from(outcome.body, 'base64'), replayed: true,
		});
	}

	return outcome.kind === 'done'
		? err(createOutcomeUnknown('incomplete', origin, `the first run was answered with status ${outcome.status}, but its answer (digest ${outcome.digest}) was too large to keep`))
		: err(createOutcomeUnknown('incomplete', origin, 'the first run with this key has an unknown outcome'));
}

/** Creates the runner of claimed requests. */
export function createClaimedRuns(claims: Claims, clock: Clock, loop: Loop): ClaimedRuns {
	async function runGranted(run: ClaimedRun, until: number, start: (mayStart: () => boolean) => Promise<Result<ServiceAnswer, Failure>>): Promise<Result<Reply, Failure>> {
		const result = await start(() => clock.monotonic() < until);
		claims.settle(run.key, run.claimId, createOutcome(result));
		return result.map(answer => ({
			status: answer.status, contentType: answer.contentType, body: answer.body, replayed: false,
		}));
	}

	async function claim(run: ClaimedRun): Promise<Result<ClaimVerdict, Failure>> {
		const now = clock.monotonic();
		return claims.claim({
			key: run.key, bodyDigest: run.bodyDigest, claimId: run.claimId, runForMs: Math.max(1, run.deadline - now),
		}, now);
	}

	async function waitForOtherRun(run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceAnswer, Failure>>): Promise<Result<Reply, Failure>> {
		if (run.signal.aborted || clock.monotonic() + RUNNING_POLL_MS >= run.deadline) {
			return err(createOutcomeUnknown('incomplete', origin, 'the first run with this key has not ended yet'));
		}

		await loop.sleep(RUNNING_POLL_MS);
		return claimAndRun(run, start);
	}

	async function claimAndRun(run: ClaimedRun, start: (mayStart: () => boolean) => Promise<Result<ServiceAnswer, Failure>>): Promise<Result<Reply, Failure>> {
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
				return err(createNotRun('conflict', origin, 'the key was used with another body'));
			}
		}
	}

	return {run: claimAndRun};
}
