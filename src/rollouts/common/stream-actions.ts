/** Input and output of a step's schedule: the stream budget, the streams to start and cancel, and how streams end. */
import type {Progress} from '../../adapters/common/engine.js';
import type {LabelledText} from './labels.js';

/** The slots and engines that a step may use now. */
export type StreamBudget = {
	/** Number of streams that may run concurrently. */
	readonly slots: number;
	/** Ids of the engines that may be used. Streams on other engines wait for weights and do not count against `slots`. */
	readonly allowed: readonly string[];
	/** Number of slots that no trainer needs, available for second streams of slow samples. */
	readonly spare: number;
	/** The weight version of the trainer's last request for this step. */
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
};

/** Cancels a stream. */
export type CancelAction = {
	readonly kind: 'cancel';
	readonly attemptId: string;
};

/** A stream to start or to cancel. */
export type ScheduleAction = StartAction | CancelAction;

/** The reason why a stream ended without a complete text. */
export type AttemptFailure = {
	/** `refused`: the stream was not started; `broken`: it failed while it ran; `died`: its engine broke off. */
	readonly kind: 'refused' | 'broken' | 'died';
	readonly retryAfterMs: number | undefined;
};

/** A complete text that waits for its score. */
export type CompleteText = {
	readonly sample: number;
	readonly prompt: string;
	readonly text: LabelledText;
};

/** The remaining work of a step: samples without a text, and their expected tokens. */
export type StepDemand = {
	readonly samples: number;
	readonly tokens: number;
};
