/** Services that score samples between engine and trainer. Scoring the same sample again is harmless. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';

/** A sample to score. */
export type ScoreRequest = {
	readonly sampleId: string;
	readonly prompt: string;
	readonly text: string;
};

/** A scoring service. */
export abstract class Scorer {
	/** Scores a sample; fails with `incomplete` when the answer bears another sample's id. */
	abstract score(request: ScoreRequest): Promise<Result<number, Failure>>;
}
