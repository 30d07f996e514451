/**
 * Labels of samples: which weight version produced which tokens. Labels come only from what engines report; whatever is
 * not covered without a gap, or is reported in two ways, has no label, and its sample is generated anew.
 */
import type {
	Chunk, Generation, Progress, VersionRange,
} from '../../adapters/common/engine.js';

/** Tokens seen on a stream. `isLabelled` is false from the first token on whose version the engine did not say. */
export type LabelledProgress = Progress & {
	readonly isLabelled: boolean;
};

/** A whole text whose every token has a version. */
export type LabelledText = Progress & {
	readonly oldestVersion: number;
};

/** The progress of a stream that starts from nothing. */
export const noProgress: LabelledProgress = {
	text: '', tokens: 0, ranges: [], isLabelled: true,
};

/** Joins neighbouring ranges of one version. */
export function mergeRanges(ranges: readonly VersionRange[]): readonly VersionRange[] {
	return ranges.filter(range => range.to > range.from).reduce<readonly VersionRange[]>((merged, range) => {
		const last = merged.at(-1);
		return last?.version === range.version && last.to === range.from
			? [...merged.slice(0, -1), {...last, to: range.to}]
			: [...merged, range];
	}, []);
}

/** Adds a piece of a stream to what was seen before. */
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

function isCovering(ranges: readonly VersionRange[], tokens: number): boolean {
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
 * Labels a whole generation, given what its stream showed; undefined when the engine could not say a version, left a
 * gap, or now names other versions than it did on the stream or than the engine that it was resumed from.
 */
export function labelGeneration(generation: Generation, seen: LabelledProgress): LabelledText | undefined {
	const ranges = mergeRanges(generation.ranges ?? []);
	const oldest = oldestVersion(ranges);
	const isConsistent = seen.isLabelled && seen.tokens === generation.tokens && isSame(ranges, seen.ranges);
	return oldest !== undefined && isCovering(ranges, generation.tokens) && isConsistent
		? {
			text: generation.text, tokens: generation.tokens, ranges, oldestVersion: oldest,
		}
		: undefined;
}
