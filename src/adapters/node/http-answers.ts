/** What an HTTP answer says. */
import type {IncomingHttpHeaders} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import type {HttpAnswer} from './http-exchange.js';

/** Length to which an answer is quoted in a failure. */
const SHOWN_ANSWER_LENGTH = 200;

/** The header by which a peer says that it did nothing. */
const notRunHeader = 'x-not-run';

/** Reads the body of an answer as text. */
export function readText(answer: HttpAnswer): string {
	return new TextDecoder().decode(answer.body);
}

/** Reads how long the peer asks to be left alone, in milliseconds. */
export function readRetryAfterMs(headers: IncomingHttpHeaders): number | undefined {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) && headers['retry-after'] !== undefined ? seconds * 1000 : undefined;
}

/** Whether the peer says itself that it did nothing. */
export function saysNotRun(answer: HttpAnswer): boolean {
	return answer.status === 503 && answer.headers[notRunHeader] === 'true';
}

/** Turns an answer that is not a success into a failure; `overloaded` when the peer says that it did nothing. */
export function createStatusFailure(answer: HttpAnswer, step: string, peer: string): Failure {
	const origin = {step, peer};
	const message = `the peer answered ${answer.status}: ${readText(answer).slice(0, SHOWN_ANSWER_LENGTH)}`;
	if (saysNotRun(answer)) {
		return createNotRun('overloaded', origin, message, readRetryAfterMs(answer.headers));
	}

	return answer.status === 400
		? createNotRun('invalid', origin, message)
		: createOutcomeUnknown('unavailable', origin, message);
}

/** Reads the JSON body of a successful answer. */
export function readJson<T>(answer: HttpAnswer, schema: z.ZodType<T>, step: string, peer: string): Result<T, Failure> {
	if (answer.status < 200 || answer.status > 299) {
		return err(createStatusFailure(answer, step, peer));
	}

	try {
		const parsed = schema.safeParse(JSON.parse(readText(answer)));
		return parsed.success ? ok(parsed.data) : err(createOutcomeUnknown('incomplete', {step, peer}, `unexpected answer: ${parsed.error.message}`));
	} catch {
		return err(createOutcomeUnknown('incomplete', {step, peer}, 'the answer is not JSON'));
	}
}
