/** What a scenario saw at the edges. */
import {z} from 'zod';
import type {TrainerRecord} from '../src/standins/node/trainer-standin.js';

/** A caller's request and the answer to it; status 0 when the connection broke off. */
export type CallEntry = {
	readonly daemon: string;
	readonly route: string;
	readonly key: string | undefined;
	readonly body: string;
	readonly status: number;
	readonly replayed: boolean;
	readonly answer: string;
	/** Monotonic times of the caller. */
	readonly sentAt: number;
	readonly answeredAt: number;
};

/** What was seen at the edges. */
export type EdgeRecord = {
	readonly calls: readonly CallEntry[];
	readonly steps: readonly TrainerRecord[];
	readonly exits: ReadonlyArray<{readonly member: string; readonly code: number | undefined}>;
	/** The configuration's version at each daemon, asked again and again. */
	readonly configurations: ReadonlyArray<{readonly daemon: string; readonly version: number}>;
	/** Daemons that were killed. */
	readonly killed: readonly string[];
	/** Records of the stand-ins by name. */
	readonly standins: Readonly<Record<string, StandinRecord>>;
	/** Logs of the daemons, to find the cause of a violation. */
	readonly logs: string;
};

/** Reads a stand-in's record. */
export const standinRecord = z.looseObject({
	streams: z.array(z.looseObject({
		model: z.string(), prompt: z.string(), seed: z.number(), outcome: z.string(), engine: z.string(),
	})).default([]),
	calls: z.union([z.array(z.object({body: z.string(), route: z.string()})), z.number()]).transform(calls => (typeof calls === 'number' ? [] : calls)).default([]),
	runs: z.array(z.object({body: z.string(), worker: z.string()})).default([]),
	latest: z.record(z.string(), z.number()).default({}),
	orders: z.array(z.looseObject({version: z.int(), fencing: z.int(), verdict: z.string()})).default([]),
	status: z.looseObject({models: z.array(z.looseObject({version: z.int(), state: z.string()}))}).optional(),
});

/** What a stand-in recorded, as far as checkers read it. */
export type StandinRecord = z.output<typeof standinRecord>;
