/** Steps, groups and samples as the trainer and the owner of the trainer name them. */
import type {VersionRange} from '../../adapters/common/engine.js';

/** A step that a trainer asks for: a group of samples per prompt. */
export type StepRequest = {
	readonly trainer: string;
	/** Rises with each step of the trainer. */
	readonly step: number;
	readonly weightVersion: number;
	readonly prompts: readonly string[];
	readonly samplesPerGroup: number;
	/** Greatest distance in versions between a delivered sample and the trainer; the trainer's own setting if undefined. */
	readonly stalenessBound: number | undefined;
	/** Share of the groups that is enough to end the step; 1 if undefined. */
	readonly enough: number | undefined;
	readonly maximumTokens: number;
	readonly deadlineMs: number | undefined;
};

/** Asks for the batch after `cursor`. */
export type PullRequest = {
	readonly trainer: string;
	readonly step: number;
	/** Number of the last batch that the trainer has; 0 for none. */
	readonly cursor: number;
	readonly weightVersion: number;
	readonly waitMs: number;
};

/** A sample as it is handed to its trainer. */
export type Sample = {
	readonly id: string;
	readonly group: number;
	readonly text: string;
	readonly tokens: number;
	readonly score?: number;
	readonly versions: readonly VersionRange[];
	readonly oldestVersion: number;
};

/** The answer to a pull. `batch` equals the cursor and `samples` is empty when nothing was ready in time. */
export type Batch = {
	readonly step: number;
	readonly batch: number;
	readonly samples: readonly Sample[];
	readonly done: boolean;
};

/** Returns the id of a sample, the same for every owner that generates it. */
export function sampleId(trainer: string, step: number, group: number, index: number): string {
	return `${trainer}.${step}.${group}.${index}`;
}

/** Returns how many whole groups end a step. */
export function requiredGroups(groups: number, enough: number): number {
	return Math.min(groups, Math.max(1, Math.ceil(groups * enough)));
}
