/** The text that stand-in engines generate: a pure function of what produced it, so that checkers can verify labels. */
import {hashToHex, hashToUint32} from '../../base/common/hash.js';
import type {VersionRange} from '../../adapters/common/engine.js';

/** What a token's text depends on, beside version and index. */
export type TextSource = {
	readonly model: string;
	readonly prompt: string;
	readonly seed: number;
};

const TOKEN_LENGTH = 5;
const SHORTEST_SHARE = 0.1;

/** Returns the text of the tokens from `from` (included) to `to` (not included). */
export function renderTokens(source: TextSource, range: VersionRange): string {
	return Array.from({length: range.to - range.from}, (_, offset) => {
		const key = `${source.model}/${range.version}/${source.prompt}/${source.seed}/${range.from + offset}`;
		return `${hashToHex(key).slice(0, TOKEN_LENGTH)} `;
	}).join('');
}

/** Returns the whole text of a generation. */
export function renderGeneration(source: TextSource, ranges: readonly VersionRange[]): string {
	return ranges.map(range => renderTokens(source, range)).join('');
}

/** Returns how many tokens a generation has; one in eight runs to the maximum. */
export function lengthOf(source: TextSource, maximumTokens: number): number {
	const draw = (hashToUint32(`${source.prompt}/${source.seed}`) % 1000) / 1000;
	return Math.max(1, Math.min(maximumTokens, Math.ceil(maximumTokens * (SHORTEST_SHARE + (draw * (1 + SHORTEST_SHARE))))));
}
