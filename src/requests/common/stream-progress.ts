/** What has been streamed to a caller so far, so that another engine can resume the stream from there. */
import type {
	Chunk, Generation, Progress, VersionRange,
} from '../../adapters/common/engine.js';

/** The progress of one generation over all its attempts. */
export type StreamProgress = {
	readonly append: (chunk: Chunk) => void;
	readonly tokens: () => number;
	/** What an engine can resume from; undefined before the first token, or when a chunk came without a weight version. */
	readonly resumePoint: () => Progress | undefined;
	/** Whether a complete generation has exactly the text and token count of the chunks so far. */
	readonly matches: (generation: Generation) => boolean;
};

function extendRanges(ranges: readonly VersionRange[], version: number, tokens: number): readonly VersionRange[] {
	const last = ranges.at(-1);
	const from = last?.to ?? 0;
	return last?.version === version
		? [...ranges.slice(0, -1), {...last, to: from + tokens}]
		: [...ranges, {version, from, to: from + tokens}];
}

/** Creates the progress of a generation that has not begun. */
export function createStreamProgress(): StreamProgress {
	let text = '';
	let tokens = 0;
	let ranges: readonly VersionRange[] | undefined = [];

	return {
		append(chunk) {
			text += chunk.text;
			tokens += chunk.tokens;
			ranges = ranges && chunk.version !== undefined ? extendRanges(ranges, chunk.version, chunk.tokens) : undefined;
		},
		tokens: () => tokens,
		resumePoint: () => tokens > 0 && ranges ? {text, tokens, ranges} : undefined,
		matches: generation => generation.text === text && generation.tokens === tokens,
	};
}
