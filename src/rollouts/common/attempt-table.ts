/** The running streams of one step, and the number of streams per sample. */
import type {Attempt} from './straggler-policy.js';

/** Running streams by attempt id. */
export type AttemptTable = {
	readonly get: (attemptId: string) => Attempt | undefined;
	readonly all: () => readonly Attempt[];
	readonly add: (attempt: Attempt) => void;
	readonly remove: (attempt: Attempt) => void;
	/** Changes a stream; ignored when the stream has ended. */
	readonly update: (attemptId: string, change: Partial<Attempt>) => void;
	/** Returns the number of running streams of a sample. */
	readonly countStreams: (sample: number) => number;
	/** Returns the number of streams on the given engines, plus the streams that are not dispatched yet. */
	readonly countRunning: (serverIds: readonly string[]) => number;
};

/** Creates an empty table. */
export function createAttemptTable(): AttemptTable {
	const attempts = new Map<string, Attempt>();
	const streamCountBySample = new Map<number, number>();
	const countStreams = (sample: number) => streamCountBySample.get(sample) ?? 0;

	return {
		countStreams,
		get: attemptId => attempts.get(attemptId),
		all: () => [...attempts.values()],
		add(attempt) {
			attempts.set(attempt.id, attempt);
			streamCountBySample.set(attempt.sample, countStreams(attempt.sample) + 1);
		},
		remove(attempt) {
			attempts.delete(attempt.id);
			streamCountBySample.set(attempt.sample, countStreams(attempt.sample) - 1);
		},
		update(attemptId, change) {
			const attempt = attempts.get(attemptId);
			if (attempt !== undefined) {
				attempts.set(attemptId, {...attempt, ...change});
			}
		},
		countRunning: serverIds => [...attempts.values()].filter(({serverId}) => serverId === undefined || serverIds.includes(serverId)).length,
	};
}
