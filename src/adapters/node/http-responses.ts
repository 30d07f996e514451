/** Reads HTTP responses: bodies, failures and retry times. */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {HttpResponse} from './http-exchange.js';

/** Maximum number of characters of a response body that a failure quotes. */
const MAXIMUM_QUOTED_LENGTH = 200;

/** A response with this header states that the peer did not run the request. */
const NOT_RUN_HEADER = 'x-not-run';

/** Decodes the body of a response as UTF-8 text. */
export function readText(response: HttpResponse): string {
	return new TextDecoder().decode(response.body);
}

/** Reads the `Retry-After` header, in milliseconds; undefined when it is missing or not a number of seconds. */
export function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) && headers['retry-after'] !== undefined ? seconds * 1000 : undefined;
}

/** Whether the response states that the peer did not run the request. */
export function isNotRunResponse(response: HttpResponse): boolean {
	return response.status === 503 && response.headers[NOT_RUN_HEADER] === 'true';
}

/** Converts an unsuccessful response into a failure; `overloaded` when the peer states that it did not run the request. */
export function createStatusFailure(response: HttpResponse, step: string, peer: string): Failure {
	const origin = {step, peer};
	const message = `the peer responded with status ${response.status}: ${readText(response).slice(0, MAXIMUM_QUOTED_LENGTH)}`;
	if (isNotRunResponse(response)) {
		return createNotRun('overloaded', origin, message, readRetryAfterMs(response.headers));
	}

	return response.status === 400
		? createNotRun('invalid', origin, message)
		: createOutcomeUnknown('unavailable', origin, message);
}

/** Reads the JSON body of a successful response. */
export function readJson<T>(response: HttpResponse, schema: z.ZodType<T>, step: string, peer: string): Result<T, Failure> {
	if (response.status < 200 || response.status > 299) {
		return err(createStatusFailure(response, step, peer));
	}

	try {
		const parsed = schema.safeParse(JSON.parse(readText(response)));
		return parsed.success ? ok(parsed.data) : err(createOutcomeUnknown('incomplete', {step, peer}, `unexpected response body: ${parsed.error.message}`));
	} catch {
		return err(createOutcomeUnknown('incomplete', {step, peer}, 'the response body is not JSON'));
	}
}
