/** Scores samples with retries. Scoring is idempotent, so it is retried after every failure. */
import PQueue from 'p-queue';
import type {Failure} from '../../base/common/failure.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Scorer, ScoreRequest} from '../../adapters/common/scorer.js';

/** Scores samples until each call succeeds. */
export type ScoreRetries = {
	/** Resolves with the score, or with undefined once disposed. */
	readonly score: (request: ScoreRequest) => Promise<number | undefined>;
	readonly dispose: () => void;
};

const MAXIMUM_CONCURRENT_CALLS = 32;
const INITIAL_BACKOFF_MS = 100;
const MAXIMUM_BACKOFF_MS = 5000;

/** Creates the scoring of one step's samples; attempts wait between `INITIAL_BACKOFF_MS` and `MAXIMUM_BACKOFF_MS`. */
export function createScoreRetries(scorer: Scorer, loop: Pick<Loop, 'sleep'>, onFailure: (failure: Failure) => void): ScoreRetries {
	const queue = new PQueue({concurrency: MAXIMUM_CONCURRENT_CALLS});
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
		// Waits outside the queue, so that a sample whose scoring failed does not occupy one of the concurrent calls.
		await loop.sleep(Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * (2 ** failures)));
		return attempt(request, failures + 1);
	}

	return {
		score: async request => attempt(request, 0),
		dispose() {
			isActive = false;
		},
	};
}
