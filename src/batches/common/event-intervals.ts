/**
 * Measures the interval between events of each engine, and tells which engines are fast and which are so slow that a run
 * should move to another one.
 */

/** Mean intervals between events by engine, as one daemon measures them. */
export type EventIntervals = {
	readonly recordInterval: (serverId: string, intervalMs: number, now: number) => void;
	/** Milliseconds per event; undefined without enough recent events. */
	readonly intervalOf: (serverId: string, now: number) => number | undefined;
	/** Median interval in milliseconds of the engines with a measurement. */
	readonly median: (now: number) => number | undefined;
};

type MeasuredInterval = {
	readonly intervalMs: number;
	readonly count: number;
	readonly at: number;
};

/** Weight of the newest block of events in the running mean. */
const SMOOTHING_FACTOR = 0.3;
/** Blocks of events that a mean needs before it is used. */
const MINIMUM_BLOCKS = 2;
/** Means older than this are ignored, because slow engines recover. */
const MEASUREMENT_TTL_MS = 6000;

/** Creates intervals without measurements. */
export function createEventIntervals(): EventIntervals {
	const entries = new Map<string, MeasuredInterval>();

	function intervalOf(serverId: string, now: number): number | undefined {
		const entry = entries.get(serverId);
		return entry === undefined || entry.count < MINIMUM_BLOCKS || now - entry.at > MEASUREMENT_TTL_MS ? undefined : entry.intervalMs;
	}

	return {
		recordInterval(serverId, intervalMs, now) {
			const known = entries.get(serverId);
			const isExpired = known === undefined || now - known.at > MEASUREMENT_TTL_MS;
			entries.set(serverId, isExpired
				? {intervalMs, count: 1, at: now}
				: {intervalMs: known.intervalMs + (Math.max(SMOOTHING_FACTOR, 1 / (known.count + 1)) * (intervalMs - known.intervalMs)), count: known.count + 1, at: now});
		},
		intervalOf,
		median(now) {
			const intervals = [...entries.keys()].flatMap(serverId => intervalOf(serverId, now) ?? []).toSorted((a, b) => a - b);
			return intervals[Math.floor((intervals.length - 1) / 2)];
		},
	};
}

/** An engine is slow above this multiple of the median interval. */
const SLOW_INTERVAL_FACTOR = 2;

/** Engines within this multiple of the shortest interval count as fast. */
const FAST_INTERVAL_FACTOR = 1.15;

/** Returns the time that work takes on a server's machine, in multiples of the usual time. */
export type WorkTimeOf = (serverId: string, now: number) => number;

/** Lists the engines that are about as fast as the fastest of the list, including those without a measurement unless work takes long on their machines. */
export function listFast(eventIntervals: EventIntervals, serverIds: readonly string[], now: number, workTimeOf: WorkTimeOf = () => 1): readonly string[] {
	const intervals = serverIds.map(id => ({id, intervalMs: eventIntervals.intervalOf(id, now)}));
	const fastest = Math.min(...intervals.flatMap(({intervalMs}) => intervalMs ?? []));
	return intervals
		.filter(({id, intervalMs}) => intervalMs === undefined ? workTimeOf(id, now) <= FAST_INTERVAL_FACTOR : intervalMs <= FAST_INTERVAL_FACTOR * fastest)
		.map(({id}) => id);
}

/** Whether an engine is much slower than the median or, without a measurement, its machine is much slower than usual. A measured interval covers more time than the figures that a machine states. */
export function isSlow(eventIntervals: EventIntervals, serverId: string, now: number, workTimeOf: WorkTimeOf = () => 1): boolean {
	const intervalMs = eventIntervals.intervalOf(serverId, now);
	const median = eventIntervals.median(now);
	return intervalMs === undefined ? workTimeOf(serverId, now) > SLOW_INTERVAL_FACTOR : median !== undefined && intervalMs > SLOW_INTERVAL_FACTOR * median;
}
