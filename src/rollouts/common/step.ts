/** The requests and results that a trainer and its owner exchange: steps, groups and samples. */
import type {VersionRange} from '../../adapters/common/engine.js';

/** A step that a trainer requests: one group of samples per prompt. */
export type StepRequest = {
	readonly trainer: string;
	/** Number of the step; increases with each step of the trainer. */
	readonly step: number;
	readonly weightVersion: number;
	readonly prompts: readonly string[];
	readonly samplesPerGroup: number;
	/** Maximum number of versions that a delivered sample may be behind the trainer; the trainer's setting if undefined. */
	readonly stalenessBound: number | undefined;
	/** Share of the groups, from 0 to 1, that must be complete for the step to complete; 1 if undefined. */
	readonly enough: number | undefined;
	readonly maximumTokens: number;
	readonly deadlineMs: number | undefined;
};

/** Requests the batch after `cursor`. */
export type PullRequest = {
	readonly trainer: string;
	readonly step: number;
	/** Number of the last batch that the trainer has received; 0 for none. */
	readonly cursor: number;
	readonly weightVersion: number;
	readonly waitMs: number;
};

/** A sample as delivered to its trainer. */
export type Sample = {
	readonly id: string;
	readonly group: number;
	readonly text: string;
	readonly tokens: number;
	readonly score?: number;
	readonly versions: readonly VersionRange[];
	readonly oldestVersion: number;
};

/** The answer to a pull. When no batch was ready within the wait time, `samples` is empty and `batch` equals the cursor. */
export type Batch = {
	readonly step: number;
	readonly batch: number;
	readonly samples: readonly Sample[];
	readonly done: boolean;
};

/** Returns the id of a sample. It does not depend on the owner that generates the sample. */
export function sampleId(trainer: string, step: number, group: number, index: number): string {
	return `${trainer}.${step}.${group}.${index}`;
}

/** Returns the number of complete groups that completes a step. */
export function requiredGroups(groups: number, enough: number): number {
	return Math.min(groups, Math.max(1, Math.ceil(groups * enough)));
}
