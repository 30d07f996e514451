/** Reports attempts of callers' requests at backend servers to whoever counts them. The gateway itself counts nothing. */

/** The request that an attempt belongs to. Attempts of one request share the same object. */
export type TrackedRequest = {
	/** Organisation of the caller; undefined for requests without one. */
	readonly organisation?: string | undefined;
};

/** One attempt that was sent. */
export type AttemptRun = {
	/** The server has begun to respond to the request. */
	readonly begin: () => void;
	/** The attempt has ended; `mayHaveRun` is false only if the server certainly did not run the request. */
	readonly end: (mayHaveRun: boolean) => void;
};

/** Receives each attempt when it is sent. */
export type RunTracker = {
	readonly track: (request: TrackedRequest, serverId: string) => AttemptRun;
};

/** A tracker that passes attempts on to another one, once that is set. */
export type RunTrackerSlot = RunTracker & {
	readonly set: (tracker: RunTracker) => void;
};

/** An attempt that nobody counts. */
export const untracked: AttemptRun = {begin: () => undefined, end: () => undefined};

/** Creates a slot without a tracker. */
export function createRunTrackerSlot(): RunTrackerSlot {
	let current: RunTracker | undefined;
	return {
		track: (request, serverId) => current?.track(request, serverId) ?? untracked,
		set(tracker) {
			current = tracker;
		},
	};
}
