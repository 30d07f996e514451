/**
 * Measures how fast each engine generates, from the gaps between events, and tells when a run should move from a slow
 * engine to a faster one. An engine that has sent nothing for long counts as slow by that silence.
 */

/** The pace of engines as one daemon sees it. */
export type ServerPace = {
	readonly noteGap: (serverId: string, gapMs: number, now: number) => void;
	/** Milliseconds per event; undefined when not enough events were seen lately. */
	readonly gapOf: (serverId: string, now: number) => number | undefined;
	/** Median of the known engines. */
	readonly median: (now: number) => number | undefined;
};

type Entry = {
	readonly gapMs: number;
	readonly count: number;
	readonly at: number;
};

/** Weight of the newest block of gaps in the running mean. */
const GAIN = 0.3;
/** Blocks seen before the mean is believed. */
const FEWEST_GAPS = 2;
/** Means older than this are forgotten: engines recover. */
const MEMORY_MS = 6000;

/** Creates a measure without engines. */
export function createServerPace(): ServerPace {
	const entries = new Map<string, Entry>();

	function gapOf(serverId: string, now: number): number | undefined {
		const entry = entries.get(serverId);
		return entry === undefined || entry.count < FEWEST_GAPS || now - entry.at > MEMORY_MS ? undefined : entry.gapMs;
	}

	return {
		noteGap(serverId, gapMs, now) {
			const known = entries.get(serverId);
			const isOld = known === undefined || now - known.at > MEMORY_MS;
			entries.set(serverId, isOld
				? {gapMs, count: 1, at: now}
				: {gapMs: known.gapMs + (Math.max(GAIN, 1 / (known.count + 1)) * (gapMs - known.gapMs)), count: known.count + 1, at: now});
		},
		gapOf,
		median(now) {
			const gaps = [...entries.keys()].flatMap(serverId => gapOf(serverId, now) ?? []).toSorted((a, b) => a - b);
			return gaps[Math.floor((gaps.length - 1) / 2)];
		},
	};
}

/** An engine is slow from this multiple of the median gap on. */
const SLOW_FACTOR = 2;

/** Engines within this multiple of the fastest gap count as fast. */
const FAST_FACTOR = 1.15;

/** The engines of a list that are as fast as the fastest of it, those without a measure included. */
export function listFast(pace: ServerPace, serverIds: readonly string[], now: number): readonly string[] {
	const gaps = serverIds.map(id => ({id, gap: pace.gapOf(id, now)}));
	const fastest = Math.min(...gaps.flatMap(({gap}) => gap ?? []));
	return gaps.filter(({gap}) => gap === undefined || gap <= FAST_FACTOR * fastest).map(({id}) => id);
}

/** Whether an engine is much slower than most. */
export function isSlow(pace: ServerPace, serverId: string, now: number): boolean {
	const gap = pace.gapOf(serverId, now);
	const median = pace.median(now);
	return gap !== undefined && median !== undefined && gap > SLOW_FACTOR * median;
}
