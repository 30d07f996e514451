/**
 * Forecasts how many tokens a sample will have, from the finished samples of its group, from earlier steps with the same
 * prompt, and from all samples of the trainer. Dispatching the longest first keeps long samples from ending a step alone.
 */
import {hashToUint32} from '../../base/common/hash.js';

/** A forecast for one trainer. */
export type LengthForecast = {
	/** Returns the key under which a prompt is remembered. */
	readonly keyOf: (prompt: string) => number;
	/** Notes the length of a finished sample of a prompt. */
	readonly note: (key: number, tokens: number) => void;
	/** Returns the expected length in tokens, at least one above `tokensSoFar` and at most `maximumTokens`. */
	readonly expect: (key: number, tokensSoFar: number, maximumTokens: number) => number;
};

/** Weight of a new length in the moving mean of its prompt. */
const PROMPT_WEIGHT = 0.4;
/** Samples after which the mean over all prompts forgets; fewer would follow the long samples that end a step. */
const OVERALL_SAMPLES = 2000;
/** Prompts remembered; the least recently noted ones are forgotten first. */
const MAXIMUM_PROMPTS = 20_000;
/** A sample that has passed its forecast is expected to go on for this share of what it has. */
const OVERRUN_SHARE = 0.5;

/** Creates a forecast that knows nothing. */
export function createLengthForecast(): LengthForecast {
	const means = new Map<number, number>();
	let overall: number | undefined;
	let samples = 0;

	return {
		keyOf: hashToUint32,
		note(key, tokens) {
			const known = means.get(key);
			means.delete(key);
			means.set(key, known === undefined ? tokens : known + (PROMPT_WEIGHT * (tokens - known)));
			samples = Math.min(OVERALL_SAMPLES, samples + 1);
			overall = overall === undefined ? tokens : overall + ((tokens - overall) / samples);
			if (means.size > MAXIMUM_PROMPTS) {
				const [oldest] = means.keys();
				means.delete(oldest ?? key);
			}
		},
		expect(key, tokensSoFar, maximumTokens) {
			const mean = means.get(key) ?? overall ?? maximumTokens / 2;
			const expected = mean > tokensSoFar ? mean : tokensSoFar * (1 + OVERRUN_SHARE);
			return Math.min(maximumTokens, Math.max(expected, tokensSoFar + 1));
		},
	};
}
