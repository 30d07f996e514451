/** Scores samples with retries. Scoring the same sample again is harmless, so every failure may be tried again. */
import PQueue from 'p-queue';
import type {Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Scorer, ScoreRequest} from '../../adapters/common/scorer.js';

/** Scores samples. */
export type ScoreRetries = {
	/** Resolves with the score, or with undefined once disposed. */
	readonly score: (request: ScoreRequest) => Promise<number | undefined>;
	readonly dispose: () => void;
};

const CONCURRENT_SCORES = 32;
const FIRST_BACKOFF_MS = 100;
const LAST_BACKOFF_MS = 5000;

/** Creates a scoring of one step's samples. */
export function createScoreRetries(scorer: Scorer, loop: Pick<Loop, 'sleep'>, onFailure: (failure: Failure) => void): ScoreRetries {
	const queue = new PQueue({concurrency: CONCURRENT_SCORES});
	let isActive = true;

	async function attempt(request: ScoreRequest, failures: number): Promise<number | undefined> {
		if (!isActive) {
			return undefined;
		}

		const scored = await queue.add(async () => scorer.score(request));
		if (scored.isOk()) {
			return scored.value;
		}

		onFailure(scored.error);
		// The wait is outside the queue, so that a sample that fails does not hold a place.
		await loop.sleep(Math.min(LAST_BACKOFF_MS, FIRST_BACKOFF_MS * (2 ** failures)));
		return attempt(request, failures + 1);
	}

	return {
		score: async request => attempt(request, 0),
		dispose() {
			isActive = false;
		},
	};
}
