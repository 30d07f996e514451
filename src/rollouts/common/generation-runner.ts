/** Runs one stream for a sample: admission under the trainer's plan, choice of an engine, then generation. */
import {err, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import {hashToUint32} from '../../base/common/hash.js';
import type {Admission, Ticket} from '../../limits/common/admission.js';
import type {Chunk, Generation} from '../../adapters/common/engine.js';
import type {Dispatch, Router} from '../../routing/common/router.js';
import type {AttemptFailure, StartAction} from './stream-actions.js';

/** A stream to run. */
export type StreamJob = {
	readonly start: StartAction;
	readonly sampleId: string;
	readonly prefixKey: string;
	readonly maximumTokens: number;
	/** Ids of the engines that serve a version accepted by the step. */
	readonly allowed: readonly string[];
};

/** Callbacks for the progress of a stream. */
export type StreamEvents = {
	readonly onDispatched: (serverId: string) => void;
	readonly onChunk: (chunk: Chunk) => void;
};

/** Runs streams. */
export type GenerationRunner = {
	readonly run: (job: StreamJob, events: StreamEvents, signal: AbortSignal) => Promise<Result<Generation, AttemptFailure>>;
};

/** Dependencies and settings of a runner. */
export type GenerationRunnerOptions = {
	readonly admission: Pick<Admission, 'admit'>;
	readonly router: Pick<Router, 'dispatch' | 'engine' | 'load'>;
	readonly monotonic: () => number;
	readonly pool: string;
	readonly model: string;
	/** Returns the plan that currently lists the trainer; undefined when no plan does. */
	readonly plan: () => string | undefined;
	/** How long a stream may wait for admission. */
	readonly deadlineMs: number;
	readonly onFailure: (failure: Failure) => void;
};

/** Average characters per token, to estimate the tokens of prompts and the bytes of texts. */
const CHARACTERS_PER_TOKEN = 4;
const UNROUTED_RETRY_AFTER_MS = 250;

function createRefusal(retryAfterMs: number | undefined): Result<Generation, AttemptFailure> {
	return err({kind: 'refused', retryAfterMs});
}

function toDispatchOutcome(failure: Failure, signal: AbortSignal): Parameters<Dispatch['end']>[1] {
	if (signal.aborted) {
		return 'cancelled';
	}

	return failure.effect === 'notRun' ? 'refused' : 'died';
}

/** Creates a runner for one trainer. */
export function createGenerationRunner(options: GenerationRunnerOptions): GenerationRunner {
	async function generate(job: StreamJob, dispatch: Dispatch, events: StreamEvents, signal: AbortSignal): Promise<Result<Generation, AttemptFailure>> {
		const {start} = job;
		events.onDispatched(dispatch.server.id);
		const generated = await options.router.engine(dispatch.server).generate({
			requestId: start.attemptId,
			model: options.model,
			prompt: start.prompt,
			maximumTokens: job.maximumTokens,
			seed: hashToUint32(job.sampleId),
			priority: 0,
			...(start.resumeFrom !== undefined && {resumeFrom: start.resumeFrom}),
		}, events.onChunk, signal);
		if (generated.isOk()) {
			dispatch.end(options.monotonic(), 'done');
			return generated.mapErr(() => ({kind: 'broken', retryAfterMs: undefined}));
		}

		const outcome = toDispatchOutcome(generated.error, signal);
		dispatch.end(options.monotonic(), outcome);
		options.onFailure(generated.error);
		return err({kind: outcome === 'died' ? 'died' : 'broken', retryAfterMs: generated.error.retryAfterMs});
	}

	/** Returns the engines that have a free slot, or all given ones when none has. */
	function preferFreeSlots(allowed: readonly string[]): readonly string[] {
		const free = allowed.filter(id => {
			const {requests, slots} = options.router.load(id, options.monotonic());
			return requests < slots;
		});
		return free.length > 0 ? free : allowed;
	}

	function dispatchStream({start, prefixKey, ...job}: StreamJob): Result<Dispatch, Failure> {
		const notExcluded = job.allowed.filter(id => !start.excluded.includes(id));
		// When every allowed engine is excluded, the exclusions are ignored, because an excluded engine is better than none.
		const excluded = notExcluded.length > 0 ? start.excluded : [];
		const allowed = preferFreeSlots(notExcluded.length > 0 ? notExcluded : job.allowed);
		const expectedBytes = start.prompt.length + (start.expectedTokens * CHARACTERS_PER_TOKEN);
		return options.router.dispatch({
			pool: options.pool,
			prefixKey,
			prefixTokens: Math.ceil(start.prompt.length / CHARACTERS_PER_TOKEN),
			expectedTokens: Math.ceil(start.expectedTokens),
			expectedBytes: Math.ceil(expectedBytes),
			excluded,
			allowed,
			alone: false,
		}, options.monotonic());
	}

	async function runAdmitted(job: StreamJob, ticket: Ticket, events: StreamEvents, signal: AbortSignal): Promise<Result<Generation, AttemptFailure>> {
		const resumedTokens = job.start.resumeFrom?.tokens ?? 0;
		let tokens = 0;
		const dispatch = dispatchStream(job);
		const outcome = dispatch.isErr()
			? createRefusal(dispatch.error.retryAfterMs ?? UNROUTED_RETRY_AFTER_MS)
			: await generate(job, dispatch.value, {
				...events,
				onChunk(chunk) {
					tokens += chunk.tokens;
					events.onChunk(chunk);
				},
			}, signal);
		ticket.release(options.monotonic(), outcome.isOk() ? Math.max(tokens, outcome.value.tokens - resumedTokens) : tokens);
		return outcome;
	}

	return {
		async run(job, events, signal) {
			const plan = options.plan();
			if (plan === undefined) {
				options.onFailure(createNotRun('unauthorized', {step: 'generate sample', peer: options.pool}, 'no plan lists the trainer'));
				return createRefusal(options.deadlineMs);
			}

			const now = options.monotonic();
			const ticket = await options.admission.admit({
				plan, pool: options.pool, tokens: Math.ceil(job.start.expectedTokens), deadline: now + options.deadlineMs,
			}, now, signal);
			return ticket.isErr() ? createRefusal(ticket.error.retryAfterMs) : runAdmitted(job, ticket.value, events, signal);
		},
	};
}
