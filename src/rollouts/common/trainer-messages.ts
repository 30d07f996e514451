/** The bodies that trainers send; docs/API.md describes them. */
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
}).refine(body => body.prompts.length * body.samplesPerGroup <= MAXIMUM_SAMPLES, {error: `a step has at most ${MAXIMUM_SAMPLES} samples`});

const pullBody = z.strictObject({
	step,
	cursor: z.int().min(0).max(MAXIMUM_GROUPS),
	weightVersion: version,
	waitMs: z.int().min(0).max(MAXIMUM_WAIT_MS).default(DEFAULT_WAIT_MS),
});

const weightsBody = z.strictObject({version});

/** Checks the body of a step. */
export function parseStepBody(body: unknown, trainer: TrainerProfile): StepRequest {
	const parsed = stepBody.parse(body);
	return {
		trainer: trainer.name,
		step: parsed.step,
		weightVersion: parsed.weightVersion,
		prompts: parsed.prompts,
		samplesPerGroup: parsed.samplesPerGroup,
		// The trainer's own setting is the limit; a step may only ask for fresher samples.
		stalenessBound: Math.min(parsed.stalenessBound ?? trainer.stalenessBound, trainer.stalenessBound),
		enough: parsed.enough,
		maximumTokens: parsed.maximumTokens,
		deadlineMs: parsed.deadlineMs,
	};
}

/** Checks the body of a pull. */
export function parsePullBody(body: unknown, trainer: TrainerProfile): PullRequest {
	return {...pullBody.parse(body), trainer: trainer.name};
}

/** Checks the body of a publication; returns the version. */
export function parseWeightsBody(body: unknown): number {
	return weightsBody.parse(body).version;
}
