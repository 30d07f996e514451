/** Sends complete responses to callers. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Failure} from '../../base/common/failure.js';
import {createProblem, retryAfterSeconds} from '../common/problem.js';

/** Sends a complete response. Does nothing when the headers have been sent or the caller has disconnected. */
export function sendResponse(response: ServerResponse, status: number, contentType: string | undefined, body: Uint8Array): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	response.writeHead(status, {
		...(contentType !== undefined && {'content-type': contentType}),
		'content-length': body.length,
	});
	response.end(body);
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
	sendResponse(response, status, 'application/json', Buffer.from(JSON.stringify(value)));
}

/** Sends a failure as a problem detail, with a `Retry-After` header when a later attempt may succeed. */
export function sendProblem(response: ServerResponse, failure: Failure, requestId: string): void {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const problem = createProblem(failure, requestId);
	const seconds = retryAfterSeconds(failure);
	if (seconds !== undefined) {
		response.setHeader('retry-after', seconds);
	}

	sendResponse(response, problem.status, 'application/problem+json', Buffer.from(JSON.stringify(problem)));
}
