/** Problem details (RFC 9457): the format in which callers receive all failures. */
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

/** Retry-after time for failures that may be retried and name no time of their own. */
const DEFAULT_RETRY_AFTER_MS = 1000;

const retriableCodes = new Set<FailureCode>(['rejected', 'overloaded', 'unavailable', 'aborted', 'notOwner']);

/** Converts a failure to the problem detail that the caller of a request receives. */
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

/** Returns the value of the `Retry-After` header in whole seconds, or undefined when a retry would fail in the same way. */
export function retryAfterSeconds(failure: Failure): number | undefined {
	if (failure.retryAfterMs === undefined && !retriableCodes.has(failure.code)) {
		return undefined;
	}

	return Math.max(1, Math.ceil((failure.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS) / 1000));
}
