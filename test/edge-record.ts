/** Record of what callers, trainers and stand-ins observed in a scenario, outside the daemons. */
import {z} from 'zod';
import type {TrainerRecord} from '../src/standins/node/trainer-standin.js';

/** A caller's request and its answer. The status is 0 when the call got no HTTP response. */
export type CallEntry = {
	readonly daemon: string;
	readonly route: string;
	readonly key: string | undefined;
	readonly body: string;
	readonly status: number;
	readonly replayed: boolean;
	readonly answer: string;
	/** Monotonic times of the caller, in milliseconds. */
	readonly sentAt: number;
	readonly answeredAt: number;
};

/** Everything that was observed outside the daemons in one scenario. */
export type EdgeRecord = {
	readonly calls: readonly CallEntry[];
	readonly steps: readonly TrainerRecord[];
	readonly exits: ReadonlyArray<{readonly member: string; readonly code: number | undefined}>;
	/** The configuration version of each daemon, polled until the scenario ends. */
	readonly configurations: ReadonlyArray<{readonly daemon: string; readonly version: number}>;
	/** Processes that received SIGKILL. */
	readonly killed: readonly string[];
	/** Records of the stand-ins, by name. */
	readonly standins: Readonly<Record<string, StandinRecord>>;
	/** Logs of the daemons, printed when a check fails. */
	readonly logs: string;
};

/** Schema of a stand-in's record. */
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

/** The part of a stand-in's record that checkers read. */
export type StandinRecord = z.output<typeof standinRecord>;
