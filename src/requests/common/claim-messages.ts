/** Converts claims to and from the protobuf messages that daemons exchange. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {
	ClaimResponse, ClaimResponseSchema, Outcome as OutcomeMessage, OutcomeSchema,
} from '../../peers/common/gen/rosemaryshore/requests/v1/claims_pb.js';
import type {Failure} from '../../base/common/failure.js';
import type {ClaimVerdict, Outcome} from './claims.js';

/** Converts an outcome to a message. */
export function writeOutcome(outcome: Outcome): MessageInitShape<typeof OutcomeSchema> {
	switch (outcome.kind) {
		case 'answer': {
			const {status, contentType, body} = outcome;
			return {outcome: {case: 'answer', value: {status, body, ...(contentType !== undefined && {contentType})}}};
		}

		case 'done': {
			return {outcome: {case: 'done', value: {status: outcome.status, digest: outcome.digest}}};
		}

		case 'unknown': {
			return {outcome: {case: 'unknown', value: {}}};
		}
	}
}

/** Converts a message to an outcome; a case that this version does not know becomes `unknown`. */
export function readOutcome(message: OutcomeMessage): Outcome {
	switch (message.outcome.case) {
		case 'answer': {
			const {status, contentType, body} = message.outcome.value;
			return {
				kind: 'answer', status, contentType, body,
			};
		}

		case 'done': {
			const {status, digest} = message.outcome.value;
			return {kind: 'done', status, digest};
		}

		case 'unknown':
		case undefined: {
			return {kind: 'unknown'};
		}
	}
}

/** Converts a failed claim to a refusal message. */
export function writeRefusal(failure: Failure): MessageInitShape<typeof ClaimResponseSchema> {
	return {
		verdict: {
			case: 'refused', value: {
				wrongOwner: failure.code === 'notOwner',
				doubtful: failure.effect === 'outcomeUnknown',
				detail: failure.message,
				...(failure.retryAfterMs !== undefined && {retryAfterMs: failure.retryAfterMs}),
			},
		},
	};
}

/** Converts the response to a claim that was sent at `sentAt` (monotonic ms); undefined for a refusal. */
export function readVerdict(response: ClaimResponse, sentAt: number): ClaimVerdict | undefined {
	switch (response.verdict.case) {
		case 'granted': {
			return {kind: 'granted', until: sentAt + response.verdict.value.windowMs};
		}

		case 'settled': {
			return {kind: 'settled', outcome: readOutcome(response.verdict.value)};
		}

		case 'running': {
			return {kind: 'running'};
		}

		case 'mismatch': {
			return {kind: 'mismatch'};
		}

		case 'refused':
		case undefined: {
			return undefined;
		}
	}
}

/** Converts a refusal message to a failure. */
export function readRefusal(response: ClaimResponse, peer: string): Failure {
	const refusal = response.verdict.case === 'refused' ? response.verdict.value : undefined;
	return {
		code: refusal?.wrongOwner ? 'notOwner' : 'unavailable',
		effect: refusal?.doubtful ? 'outcomeUnknown' : 'notRun',
		step: 'claim key',
		peer,
		message: refusal?.detail ?? 'the owner sent an unknown verdict',
		...(refusal?.retryAfterMs !== undefined && {retryAfterMs: refusal.retryAfterMs}),
	};
}
