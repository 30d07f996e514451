/** Problem details (RFC 9457): the one form in which callers see failures. */
import type {Effect, Failure, FailureCode} from '../../base/common/failure.js';

/** A problem detail as sent to callers. */
export type Problem = {
	readonly type: string;
	readonly status: number;
	readonly detail: string;
	readonly effect: Effect;
	readonly step: string;
	readonly peer: string;
	readonly requestId: string;
};

const statusByCode: Readonly<Record<FailureCode, number>> = {
	invalid: 400,
	unsupported: 400,
	unauthenticated: 401,
	unauthorized: 403,
	notFound: 404,
	conflict: 409,
	stale: 409,
	fenced: 409,
	notOwner: 409,
	suspect: 422,
	rejected: 429,
	incomplete: 502,
	overloaded: 503,
	unavailable: 503,
	aborted: 503,
	deadlineExceeded: 504,
};

/** Time to return where a later try may succeed and nothing better is known. */
const DEFAULT_RETRY_AFTER_MS = 1000;

const retriableCodes = new Set<FailureCode>(['rejected', 'overloaded', 'unavailable', 'aborted', 'notOwner']);

/** Describes a failure to the caller of a request. */
export function createProblem(failure: Failure, requestId: string): Problem {
	return {
		type: `urn:rosemaryshore:${failure.code}`,
		status: statusByCode[failure.code],
		detail: failure.message,
		effect: failure.effect,
		step: failure.step,
		peer: failure.peer,
		requestId,
	};
}

/** Returns the whole seconds of the `Retry-After` header, or undefined when a later try would fail alike. */
export function retryAfterSeconds(failure: Failure): number | undefined {
	if (failure.retryAfterMs === undefined && !retriableCodes.has(failure.code)) {
		return undefined;
	}

	return Math.max(1, Math.ceil((failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / 1000));
}
