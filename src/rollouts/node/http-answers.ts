/** Answers of the trainer routes: JSON bodies and problem details. */
import type {ServerResponse} from 'node:http';
import type {Failure, FailureCode} from '../../base/common/failure.js';

const statuses: Readonly<Record<FailureCode, number>> = {
	aborted: 503,
	conflict: 409,
	deadlineExceeded: 504,
	fenced: 409,
	incomplete: 502,
	invalid: 400,
	notFound: 404,
	notOwner: 409,
	overloaded: 503,
	rejected: 429,
	stale: 409,
	suspect: 422,
	unauthenticated: 401,
	unauthorized: 403,
	unavailable: 503,
	unsupported: 400,
};

/** Sends a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}

/** Sends a failure as a problem detail. */
export function sendFailure(response: ServerResponse, failure: Failure, requestId: string): void {
	const {code, effect, step, peer, message, retryAfterMs} = failure;
	response.writeHead(statuses[code], {
		'content-type': 'application/problem+json',
		...(retryAfterMs !== undefined && {'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000)))}),
	});
	response.end(JSON.stringify({
		type: `urn:rosemaryshore:${code}`, status: statuses[code], detail: message, effect, step, peer, requestId,
	}));
}
