/**
 * Forecasts the length of a sample in tokens from the finished samples of its group, from earlier steps with the same prompt,
 * and from all samples of the trainer. Starting the longest samples first avoids that a step waits for a single long one.
 */
import {hashToUint32} from '../../base/common/hash.js';

/** The length forecast of one trainer. */
export type LengthForecast = {
	/** Returns the key under which the lengths of a prompt are stored. */
	readonly keyOf: (prompt: string) => number;
	/** Records the length of a finished sample of a prompt. */
	readonly record: (key: number, tokens: number) => void;
	/** Returns the expected length in tokens, at least one above `tokensSoFar` and at most `maximumTokens`. */
	readonly expect: (key: number, tokensSoFar: number, maximumTokens: number) => number;
};

/** Weight of a new length in the exponential moving average of its prompt. */
const PROMPT_WEIGHT = 0.4;
/** Window of the mean over all prompts, in samples; a smaller one would follow the long samples that finish last in a step. */
const OVERALL_WINDOW_SAMPLES = 2000;
/** Maximum number of prompts stored; the least recently recorded ones are evicted first. */
const MAXIMUM_PROMPTS = 20_000;
/** A sample that is longer than its forecast is expected to grow by this share of its current length. */
const OVERRUN_SHARE = 0.5;

/** Creates a forecast without any recorded length. */
export function createLengthForecast(): LengthForecast {
	const meanByKey = new Map<number, number>();
	let overallMean: number | undefined;
	let sampleCount = 0;

	return {
		keyOf: hashToUint32,
		record(key, tokens) {
			const previousMean = meanByKey.get(key);
			meanByKey.delete(key);
			meanByKey.set(key, previousMean === undefined ? tokens : previousMean + (PROMPT_WEIGHT * (tokens - previousMean)));
			sampleCount = Math.min(OVERALL_WINDOW_SAMPLES, sampleCount + 1);
			overallMean = overallMean === undefined ? tokens : overallMean + ((tokens - overallMean) / sampleCount);
			if (meanByKey.size > MAXIMUM_PROMPTS) {
				const [oldest] = meanByKey.keys();
				meanByKey.delete(oldest ?? key);
			}
		},
		expect(key, tokensSoFar, maximumTokens) {
			const mean = meanByKey.get(key) ?? overallMean ?? maximumTokens / 2;
			const expected = mean > tokensSoFar ? mean : tokensSoFar * (1 + OVERRUN_SHARE);
			return Math.min(maximumTokens, Math.max(expected, tokensSoFar + 1));
		},
	};
}
