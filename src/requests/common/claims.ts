/**
 * Claims make a non-idempotent request run at most once: before its first byte is sent, the owner of its idempotency key
 * has durably recorded that one daemon may run it once.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {hashToHex} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** Identifies a non-idempotent request: requests with equal values share one run. */
export type KeyedRequest = {
	readonly plan: string;
	readonly pool: string;
	readonly method: string;
	readonly path: string;
	readonly idempotencyKey: string;
};

/** The first outcome of a request with an idempotency key, as stored for repetitions of the request. */
export type Outcome
	/** Answered, and the response was small enough to store. `body` is Base64. */
	= | {readonly kind: 'answer'; readonly status: number; readonly contentType: string | undefined; readonly body: string}
	/** Answered, but only the digest of the response was stored. */
		| {readonly kind: 'done'; readonly status: number; readonly digest: string}
	/** Failed, and may have run. */
		| {readonly kind: 'unknown'};

/** A request for permission to run once. */
export type ClaimRequest = {
	readonly key: string;
	readonly bodyDigest: string;
	/** Unique per run. */
	readonly claimId: string;
	/** Milliseconds for which the run may continue after the claim. */
	readonly runForMs: number;
};

/** The result of a claim. */
export type ClaimVerdict
	/** The first byte may be sent before `until`, in the monotonic time of the claiming daemon. */
	= | {readonly kind: 'granted'; readonly until: number}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
	/** Another run of the key is in progress. */
		| {readonly kind: 'running'}
	/** The key was already used with a different body. */
		| {readonly kind: 'mismatch'};

/** Makes and settles claims at the daemons that own the keys. */
export type Claims = {
	/** Failures have effect `notRun`: without a grant nothing may be sent. */
	readonly claim: (request: ClaimRequest, now: number) => Promise<Result<ClaimVerdict, Failure>>;
	/** Records the outcome of the run; undefined when it certainly did not run, which frees the key. */
	readonly settle: (key: string, claimId: string, outcome: Outcome | undefined) => void;
};

/** Service key of the daemon's claims. */
export const claimsKey = createServiceKey<Claims>('claims');

/** Returns the key under which a request is claimed. */
export function claimKeyOf(request: KeyedRequest): string {
	const {plan, pool, method, path, idempotencyKey} = request;
	return hashToHex(JSON.stringify([plan, pool, method, path, idempotencyKey]));
}
