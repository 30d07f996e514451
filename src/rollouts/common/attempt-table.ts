/** The streams of one step that are under way, and how many each sample has. */
import type {Attempt} from './straggler-policy.js';

/** Streams under way. */
export type AttemptTable = {
	readonly get: (attemptId: string) => Attempt | undefined;
	readonly all: () => readonly Attempt[];
	readonly add: (attempt: Attempt) => void;
	readonly remove: (attempt: Attempt) => void;
	/** Changes a stream; one that has ended is left alone. */
	readonly update: (attemptId: string, change: Partial<Attempt>) => void;
	/** Streams under way for a sample. */
	readonly streamsOf: (sample: number) => number;
	/** Streams that take a slot of the given engines, those not dispatched yet included. */
	readonly countRunning: (serverIds: readonly string[]) => number;
};

/** Creates an empty table. */
export function createAttemptTable(): AttemptTable {
	const attempts = new Map<string, Attempt>();
	const streams = new Map<number, number>();
	const streamsOf = (sample: number) => streams.get(sample) ?? 0;

	return {
		streamsOf,
		get: attemptId => attempts.get(attemptId),
		all: () => [...attempts.values()],
		add(attempt) {
			attempts.set(attempt.id, attempt);
			streams.set(attempt.sample, streamsOf(attempt.sample) + 1);
		},
		remove(attempt) {
			attempts.delete(attempt.id);
			streams.set(attempt.sample, streamsOf(attempt.sample) - 1);
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
