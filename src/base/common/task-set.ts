/** Tasks in progress, so that a component can be stopped when none is left. */

/** A set of tasks. */
export type TaskSet = {
	/** Runs a task and counts it as in progress until its promise settles. */
	readonly run: <T>(task: () => Promise<T>) => Promise<T>;
	/** Resolves when no task is in progress. */
	readonly whenIdle: () => Promise<void>;
};

/** Creates an empty set. */
export function createTaskSet(): TaskSet {
	const inProgress = new Set<Promise<unknown>>();

	async function whenIdle(): Promise<void> {
		if (inProgress.size > 0) {
			await Promise.allSettled(inProgress);
			await whenIdle();
		}
	}

	return {
		async run(task) {
			const running = task();
			inProgress.add(running);
			try {
				return await running;
			} finally {
				inProgress.delete(running);
			}
		},
		whenIdle,
	};
}
