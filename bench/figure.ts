/** The figures that benches report. A bench module `*.bench.ts` exports `title` and `run`. */

/** One measured figure, with its baseline if it has one. */
export type Figure = {
	/** The measured quantity, such as `trainer idle time, 8 trainers`. */
	readonly name: string;
	readonly value: number;
	/** Unit of the value and the baseline, such as `ms`, `B` or `calls/s`. */
	readonly unit: string;
	/** The same figure for the baseline policy, measured in the same run. */
	readonly baseline?: number;
	/** Name of the baseline policy, such as `round robin`. */
	readonly baselinePolicy?: string;
};

/** The exports of a bench module. */
export type Bench = {
	readonly title: string;
	readonly run: () => Promise<readonly Figure[]>;
};
