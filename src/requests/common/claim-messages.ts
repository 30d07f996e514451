/** Translates claims between their own types and the messages between daemons. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {
	ClaimResponse, ClaimResponseSchema, Outcome as OutcomeMessage, OutcomeSchema,
} from '../../peers/common/gen/rosemaryshore/requests/v1/claims_pb.js';
import type {Failure} from '../../base/common/failure.js';
import type {ClaimVerdict, Outcome} from './claims.js';

/** Writes an outcome as a message. */
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

/** Reads an outcome; one that this version does not know is unknown. */
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

/** Writes a refusal. */
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

/** Reads an owner's verdict on a claim that was sent at `sentAt`; undefined for a refusal. */
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

/** Reads the refusal of an owner. */
export function readRefusal(response: ClaimResponse, peer: string): Failure {
	const refusal = response.verdict.case === 'refused' ? response.verdict.value : undefined;
	return {
		code: refusal?.wrongOwner ? 'notOwner' : 'unavailable',
		effect: refusal?.doubtful ? 'outcomeUnknown' : 'notRun',
		step: 'claim key',
		peer,
		message: refusal?.detail ?? 'unknown verdict',
		...(refusal?.retryAfterMs !== undefined && {retryAfterMs: refusal.retryAfterMs}),
	};
}
