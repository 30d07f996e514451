/** What a step's schedule is given and what it asks for: budgets, streams to start and cancel, and how streams end. */
import type {Progress} from '../../adapters/common/engine.js';
import type {LabelledText} from './labels.js';

/** What a step may use now. */
export type Budget = {
	/** Streams that may run at once. */
	readonly slots: number;
	/** Engines that may be used; streams on others wait for weights and take no slot meanwhile. */
	readonly allowed: readonly string[];
	/** Streams that no trainer needs and that may run a second time for slow samples. */
	readonly spare: number;
	/** The newest weight version that the trainer has shown. */
	readonly weightVersion: number;
};

/** Starts a stream. */
export type StartAction = {
	readonly kind: 'start';
	readonly attemptId: string;
	readonly sample: number;
	readonly group: number;
	readonly prompt: string;
	readonly resumeFrom: Progress | undefined;
	readonly expectedTokens: number;
	readonly excluded: readonly string[];
	/** Requires an engine that runs nothing else, because engines have died under this sample. */
	readonly alone: boolean;
};

/** Cancels a stream. */
export type CancelAction = {
	readonly kind: 'cancel';
	readonly attemptId: string;
};

/** What to do now. */
export type ScheduleAction = StartAction | CancelAction;

/** How a stream ended without a whole text. */
export type AttemptFailure = {
	/** `refused` before it began; `broken` while it ran; `died` when its engine broke off. */
	readonly kind: 'refused' | 'broken' | 'died';
	readonly retryAfterMs: number | undefined;
};

/** A text that waits for its score. */
export type WholeText = {
	readonly sample: number;
	readonly prompt: string;
	readonly text: LabelledText;
};

/** The work that a step still needs. */
export type StepDemand = {
	readonly samples: number;
	readonly tokens: number;
};
