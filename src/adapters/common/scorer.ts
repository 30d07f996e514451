/** Services that score generated samples before the trainer receives them. Scoring is idempotent. */
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
	/** Scores a sample; fails with `incomplete` when the response contains another sample's id. */
	abstract score(request: ScoreRequest): Promise<Result<number, Failure>>;
}
