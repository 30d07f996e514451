/** The options of a step's schedule. */
import type {labelGeneration} from './labels.js';
import type {LengthForecast} from './length-forecast.js';
import type {StalenessRule} from './staleness.js';
import type {StepRequest} from './step.js';
import type {StragglerOptions} from './straggler-policy.js';

/** Options of a schedule. */
export type ScheduleOptions = StragglerOptions & {
	readonly request: StepRequest;
	readonly stalenessBound: number;
	/** Whole groups that end the step. */
	readonly required: number;
	readonly forecast: LengthForecast;
	/** Distinguishes the attempts of this owner from those of another. */
	readonly attemptPrefix: string;
	/** Whether partial work is carried over to another engine. */
	readonly canResume: boolean;
	/** Whether the samples expected to be longest start first; otherwise in order of their groups. */
	readonly longestFirst: boolean;
	/** The rules for labels and staleness; tests pass broken ones. */
	readonly label?: typeof labelGeneration;
	readonly rule?: StalenessRule;
};
