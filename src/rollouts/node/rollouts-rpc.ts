/** The rollout service between daemons: server and client. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import {err, ok, type Result} from 'neverthrow';
import {type Failure, createNotRun, readFailureCode} from '../../base/common/failure.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import {
	RolloutService,
	type Batch as BatchMessage,
	type BatchSchema,
	type Failure as FailureMessage,
	type FailureSchema,
	type PostStepRequest,
	type PullRequest as PullMessage,
} from '../../peers/common/gen/rosemaryshore/rollouts/v1/rollouts_pb.js';
import type {Batch, PullRequest, StepRequest} from '../common/step.js';

/** Handles the calls for trainers that a daemon owns. */
export type RolloutHandler = {
	readonly postStep: (request: StepRequest) => Promise<Result<number, Failure>>;
	readonly pull: (request: PullRequest) => Promise<Result<Batch, Failure>>;
};

/** Timeout of a call to the owner, in addition to the wait time of a pull. */
const CALL_TIMEOUT_MS = 10_000;

function toFailureMessage(failure: Failure): MessageInitShape<typeof FailureSchema> {
	const {code, effect, step, peer, message, retryAfterMs} = failure;
	return {
		code, effect, step, peer, message, ...(retryAfterMs !== undefined && {retryAfterMs: Math.ceil(retryAfterMs)}),
	};
}

function fromFailureMessage(message: FailureMessage): Failure {
	return {
		code: readFailureCode(message.code) ?? 'unavailable',
		effect: message.effect === 'notRun' ? 'notRun' : 'outcomeUnknown',
		step: message.step,
		peer: message.peer,
		message: message.message,
		...(message.retryAfterMs !== undefined && {retryAfterMs: message.retryAfterMs}),
	};
}

function toStepRequest(message: PostStepRequest): StepRequest {
	const {trainer, step, weightVersion, prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, deadlineMs} = message;
	return {
		trainer, step, weightVersion, prompts, samplesPerGroup, stalenessBound, enough, maximumTokens, deadlineMs,
	};
}

function toPullRequest(message: PullMessage): PullRequest {
	const {trainer, step, cursor, weightVersion, waitMs} = message;
	return {
		trainer, step, cursor, weightVersion, waitMs,
	};
}

function fromBatchMessage(message: BatchMessage): Batch {
	return {
		step: message.step,
		batch: message.batch,
		done: message.done,
		samples: message.samples.map(({id, group, text, tokens, score, versions, oldestVersion}) => ({
			id, group, text, tokens, ...(score !== undefined && {score}), versions: versions.map(({version, from, to}) => ({version, from, to})), oldestVersion,
		})),
	};
}

function toMutable(batch: Batch): MessageInitShape<typeof BatchSchema> {
	return {...batch, samples: batch.samples.map(sample => ({...sample, versions: [...sample.versions]}))};
}

/** Serves the calls of other daemons for the trainers that this daemon owns. */
export function serveRollouts(peers: Peers, handler: RolloutHandler): void {
	peers.serve(RolloutService, {
		async postStep(request) {
			const posted = await handler.postStep(toStepRequest(request));
			return posted.match(
				samples => ({outcome: {case: 'samples' as const, value: samples}}),
				failure => ({outcome: {case: 'failure' as const, value: toFailureMessage(failure)}}),
			);
		},
		async pull(request) {
			const pulled = await handler.pull(toPullRequest(request));
			return pulled.match(
				batch => ({outcome: {case: 'batch' as const, value: toMutable(batch)}}),
				failure => ({outcome: {case: 'failure' as const, value: toFailureMessage(failure)}}),
			);
		},
	});
}

function createNoOutcome(step: string): Failure {
	return createNotRun('incomplete', {step, peer: 'owner'}, 'the response of the owner has no outcome');
}

/** Creates a client of the daemon that owns a trainer. */
export function createRolloutClient(peers: Peers, owner: PeerAddress): RolloutHandler {
	return {
		async postStep(request) {
			const response = await callPeer('post step', owner, async () =>
				peers.client(RolloutService, owner, CALL_TIMEOUT_MS).postStep({...request, prompts: [...request.prompts]}));
			return response.andThen(({outcome}) => {
				switch (outcome.case) {
					case 'samples': {
						return ok(outcome.value);
					}

					case 'failure': {
						return err(fromFailureMessage(outcome.value));
					}

					case undefined: {
						return err(createNoOutcome('post step'));
					}
				}
			});
		},
		async pull(request) {
			const response = await callPeer('pull', owner, async () =>
				peers.client(RolloutService, owner, CALL_TIMEOUT_MS).pull(request, {timeoutMs: request.waitMs + CALL_TIMEOUT_MS}));
			return response.andThen(({outcome}) => {
				switch (outcome.case) {
					case 'batch': {
						return ok(fromBatchMessage(outcome.value));
					}

					case 'failure': {
						return err(fromFailureMessage(outcome.value));
					}

					case undefined: {
						return err(createNoOutcome('pull'));
					}
				}
			});
		},
	};
}
