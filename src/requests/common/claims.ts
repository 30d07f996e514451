/**
 * Claims make a non-idempotent request run at most once: before its first byte leaves, the owner of its idempotency key
 * has durably noted that it may run, for one daemon and one time.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** What identifies a non-idempotent request: the same key means the same run. */
export type KeyedRequest = {
	readonly plan: string;
	readonly pool: string;
	readonly method: string;
	readonly path: string;
	readonly idempotencyKey: string;
};

/** The first outcome of a keyed request, as it is kept for repetitions. */
export type Outcome
	/** Answered, and the answer was small enough to keep. `body` is Base64. */
	= | {readonly kind: 'answer'; readonly status: number; readonly contentType: string | undefined; readonly body: string}
	/** Answered, but only the digest of the answer was kept. */
		| {readonly kind: 'done'; readonly status: number; readonly digest: string}
	/** Failed, and may have run. */
		| {readonly kind: 'unknown'};

/** A request for the right to run once. */
export type ClaimRequest = {
	readonly key: string;
	readonly bodyDigest: string;
	/** Unique per run. */
	readonly claimId: string;
	/** Time for which the run may go on after the claim. */
	readonly runForMs: number;
};

/** The answer to a claim. */
export type ClaimVerdict
	/** The first byte may leave before `until`, in the monotonic time of the claiming daemon. */
	= | {readonly kind: 'granted'; readonly until: number}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
	/** Another run of the key is under way. */
		| {readonly kind: 'running'}
	/** The key was used with another body. */
		| {readonly kind: 'mismatch'};

/** The claims of the fleet as one daemon uses them. */
export type Claims = {
	/** Failures have effect `notRun`: without a grant nothing may be sent. */
	readonly claim: (request: ClaimRequest, now: number) => Promise<Result<ClaimVerdict, Failure>>;
	/** Records how the run ended; undefined when it certainly did not run, which frees the key. */
	readonly settle: (key: string, claimId: string, outcome: Outcome | undefined) => void;
};

/** The daemon's claims. */
export const claimsKey = createServiceKey<Claims>('claims');

/** Returns the key under which a request is claimed. */
export function keyOf(request: KeyedRequest): string {
	const {plan, pool, method, path, idempotencyKey} = request;
	return hashToHex(JSON.stringify([plan, pool, method, path, idempotencyKey]));
}
