/** The options of a step's schedule. */
import type {labelGeneration} from './labels.js';
import type {LengthForecast} from './length-forecast.js';
import type {StalenessRule} from './staleness.js';
import type {StepRequest} from './step.js';
import type {StragglerOptions} from './straggler-policy.js';

/** Options of a step schedule. */
export type ScheduleOptions = StragglerOptions & {
	readonly request: StepRequest;
	readonly stalenessBound: number;
	/** Number of complete groups that completes the step. */
	readonly required: number;
	readonly forecast: LengthForecast;
	/** Prefix of attempt ids, unique per owner and step. */
	readonly attemptPrefix: string;
	/** Whether a stream may resume on another engine from the tokens generated so far. */
	readonly canResume: boolean;
	/** Whether the samples with the longest expected length start first; otherwise they start in the order of their groups. */
	readonly longestFirst: boolean;
	/** The rules for labels and staleness; tests replace them by faulty ones. */
	readonly label?: typeof labelGeneration;
	readonly rule?: StalenessRule;
};
