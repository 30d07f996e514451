/**
 * Labels of samples: which weight version generated which tokens. Labels come only from the engines' reports. A text whose
 * ranges have gaps, or for which two reports differ, gets no label, and its sample is generated again.
 */
import type {
	Chunk, Generation, Progress, VersionRange,
} from '../../adapters/common/engine.js';

/** Tokens received on a stream. `isLabelled` is false once the engine has sent a chunk without a version. */
export type LabelledProgress = Progress & {
	readonly isLabelled: boolean;
};

/** A complete text with a known version for every token. */
export type LabelledText = Progress & {
	readonly oldestVersion: number;
};

/** The progress of a stream that has not generated any token. */
export const noProgress: LabelledProgress = {
	text: '', tokens: 0, ranges: [], isLabelled: true,
};

/** Merges adjacent ranges of the same version. */
export function mergeRanges(ranges: readonly VersionRange[]): readonly VersionRange[] {
	return ranges.filter(range => range.to > range.from).reduce<readonly VersionRange[]>((merged, range) => {
		const last = merged.at(-1);
		return last?.version === range.version && last.to === range.from
			? [...merged.slice(0, -1), {...last, to: range.to}]
			: [...merged, range];
	}, []);
}

/** Appends a chunk of a stream to its progress. */
export function addChunk(progress: LabelledProgress, chunk: Chunk): LabelledProgress {
	const tokens = progress.tokens + chunk.tokens;
	const ranges = chunk.version === undefined ? progress.ranges : mergeRanges([...progress.ranges, {version: chunk.version, from: progress.tokens, to: tokens}]);
	return {
		text: progress.text + chunk.text,
		tokens,
		ranges,
		isLabelled: progress.isLabelled && chunk.version !== undefined,
	};
}

/** Returns the oldest version among ranges; undefined without any. */
export function oldestVersion(ranges: readonly VersionRange[]): number | undefined {
	return ranges.length === 0 ? undefined : Math.min(...ranges.map(range => range.version));
}

function coversAllTokens(ranges: readonly VersionRange[], tokens: number): boolean {
	return ranges.length > 0
		&& ranges.every((range, index) => range.from === (ranges[index - 1]?.to ?? 0))
		&& ranges.at(-1)?.to === tokens;
}

function isSame(a: readonly VersionRange[], b: readonly VersionRange[]): boolean {
	return a.length === b.length && a.every((range, index) => {
		const other = b[index];
		return range.version === other?.version && range.from === other.from && range.to === other.to;
	});
}

/**
 * Labels a complete generation. Returns undefined when the engine reported no version, when the ranges have a gap, or when
 * the final ranges differ from those of `streamed`, which include the ranges of the engine that the stream was resumed from.
 */
export function labelGeneration(generation: Generation, streamed: LabelledProgress): LabelledText | undefined {
	const ranges = mergeRanges(generation.ranges ?? []);
	const oldest = oldestVersion(ranges);
	const isConsistent = streamed.isLabelled && streamed.tokens === generation.tokens && isSame(ranges, streamed.ranges);
	return oldest !== undefined && coversAllTokens(ranges, generation.tokens) && isConsistent
		? {
			text: generation.text, tokens: generation.tokens, ranges, oldestVersion: oldest,
		}
		: undefined;
}
