/** Validation of the request bodies that trainers send; docs/API.md describes them. */
import {z} from 'zod';
import type {TrainerProfile} from '../../settings/common/settings.js';
import type {PullRequest, StepRequest} from './step.js';

const MAXIMUM_GROUPS = 4096;
const MAXIMUM_SAMPLES_PER_GROUP = 1024;
const MAXIMUM_SAMPLES = 16_384;
const MAXIMUM_TOKENS = 1_000_000;
const MAXIMUM_WAIT_MS = 60_000;
const DEFAULT_WAIT_MS = 1000;
const MAXIMUM_VERSION = 0xFF_FF_FF_FF;

const version = z.int().min(1).max(MAXIMUM_VERSION);
const step = z.int().min(0).max(MAXIMUM_VERSION);

const stepBody = z.strictObject({
	step,
	weightVersion: version,
	prompts: z.array(z.string()).min(1).max(MAXIMUM_GROUPS).readonly(),
	samplesPerGroup: z.int().min(1).max(MAXIMUM_SAMPLES_PER_GROUP),
	stalenessBound: z.int().min(0).max(1000).optional(),
	enough: z.number().gt(0).max(1).optional(),
	maximumTokens: z.int().min(1).max(MAXIMUM_TOKENS),
	deadlineMs: z.int().min(1).max(86_400_000).optional(),
}).refine(body => body.prompts.length * body.samplesPerGroup <= MAXIMUM_SAMPLES, {error: `a step may have at most ${MAXIMUM_SAMPLES} samples`});

const pullBody = z.strictObject({
	step,
	cursor: z.int().min(0).max(MAXIMUM_GROUPS),
	weightVersion: version,
	waitMs: z.int().min(0).max(MAXIMUM_WAIT_MS).default(DEFAULT_WAIT_MS),
});

const weightsBody = z.strictObject({version});

/** Validates the body of a step; throws a `ZodError` when it is invalid. */
export function parseStepBody(body: unknown, trainer: TrainerProfile): StepRequest {
	const parsed = stepBody.parse(body);
	return {
		trainer: trainer.name,
		step: parsed.step,
		weightVersion: parsed.weightVersion,
		prompts: parsed.prompts,
		samplesPerGroup: parsed.samplesPerGroup,
		// The trainer's setting is the upper limit; a step can only tighten it.
		stalenessBound: Math.min(parsed.stalenessBound ?? trainer.stalenessBound, trainer.stalenessBound),
		enough: parsed.enough,
		maximumTokens: parsed.maximumTokens,
		deadlineMs: parsed.deadlineMs,
	};
}

/** Validates the body of a pull; throws a `ZodError` when it is invalid. */
export function parsePullBody(body: unknown, trainer: TrainerProfile): PullRequest {
	return {...pullBody.parse(body), trainer: trainer.name};
}

/** Validates the body of a publication and returns its version; throws a `ZodError` when it is invalid. */
export function parseWeightsBody(body: unknown): number {
	return weightsBody.parse(body).version;
}
