/** What benches report. A bench module `*.bench.ts` exports `title` and `run`. */

/** One measured figure, with its baseline where there is one. */
export type Figure = {
	/** What was measured, such as `trainer idle time, 8 trainers`. */
	readonly name: string;
	readonly value: number;
	/** Unit of value and baseline, such as `ms`, `B` or `calls/s`. */
	readonly unit: string;
	/** The same figure under the baseline policy, in the same run. */
	readonly baseline?: number;
	/** Name of the baseline policy, such as `round robin`. */
	readonly baselinePolicy?: string;
};

/** A bench module. */
export type Bench = {
	readonly title: string;
	readonly run: () => Promise<readonly Figure[]>;
};
