/**
 * The text that stand-in engines generate. It is a pure function of model, weight version, prompt, seed and token index, so
 * that checkers can verify the version labels of a text.
 */
import {hashToHex, hashToUint32} from '../../base/common/hash.js';
import type {VersionRange} from '../../adapters/common/engine.js';

/** Inputs of a token's text, besides the weight version and the token index. */
export type TextSource = {
	readonly model: string;
	readonly prompt: string;
	readonly seed: number;
};

const TOKEN_LENGTH = 5;
const MINIMUM_LENGTH_SHARE = 0.1;

/** Returns the text of the tokens from `range.from` (inclusive) to `range.to` (exclusive). */
export function renderTokens(source: TextSource, range: VersionRange): string {
	return Array.from({length: range.to - range.from}, (_, offset) => {
		const key = `${source.model}/${range.version}/${source.prompt}/${source.seed}/${range.from + offset}`;
		return `${hashToHex(key).slice(0, TOKEN_LENGTH)} `;
	}).join('');
}

/** Returns the complete text of a generation. */
export function renderGeneration(source: TextSource, ranges: readonly VersionRange[]): string {
	return ranges.map(range => renderTokens(source, range)).join('');
}

/** Returns the number of tokens of a generation: 10 to 100 % of the maximum. With a maximum from 64 on, 18 to 20 % reach it. */
export function computeTokenCount(source: TextSource, maximumTokens: number): number {
	const fraction = (hashToUint32(`${source.prompt}/${source.seed}`) % 1000) / 1000;
	return Math.max(1, Math.min(maximumTokens, Math.ceil(maximumTokens * (MINIMUM_LENGTH_SHARE + (fraction * (1 + MINIMUM_LENGTH_SHARE))))));
}
