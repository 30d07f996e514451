/** The interface to metrics. Names are dotted and lower case; tags are short and have a bounded number of values. */

/** Tags of one measurement. */
export type Tags = Readonly<Record<string, string>>;

/** Emits measurements. */
export type Metrics = {
	readonly count: (name: string, value?: number, tags?: Tags) => void;
	readonly gauge: (name: string, value: number, tags?: Tags) => void;
	/** Records a duration in milliseconds. */
	readonly timing: (name: string, durationMs: number, tags?: Tags) => void;
};

const ignore = () => undefined;

/** Metrics that are discarded, for tests and embedding. */
export const silentMetrics: Metrics = {count: ignore, gauge: ignore, timing: ignore};
