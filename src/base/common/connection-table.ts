/**
 * Bounds the number of connections that a process accepts, on all its ports together. When a new one comes at the bound, the
 * connection that has been incomplete for the longest time is closed, so that connections that send nothing never keep
 * ordinary ones out.
 */

/** What a connection waits for. */
export type ConnectionState
	/** For the rest of a request, or for its caller to read the response. */
	= | 'incomplete'
	/** For another request, after at least one was answered. */
		| 'idle'
	/** For the response to a complete request. */
		| 'active';

/** One accepted connection. */
export type TableEntry = {
	readonly state: () => ConnectionState;
	/** Time since which the connection is in its state. */
	readonly since: () => number;
	/** Number of complete requests in progress; each may need a connection to a backend server or another daemon. */
	readonly requestCount: () => number;
	readonly close: () => void;
};

/** The accepted connections of a process. */
export type ConnectionTable = {
	/** Adds a connection. Closes another one, or this one, if there are too many. Returns the function that removes it. */
	readonly add: (entry: TableEntry) => () => void;
	readonly count: () => number;
	/** Number of connections closed because of the bound so far. */
	readonly closedCount: () => number;
};

const CLOSING_ORDER: readonly ConnectionState[] = ['incomplete', 'idle'];

/** Chooses the connection to close when there are too many; undefined when all wait for responses. */
export function chooseClosing(entries: readonly TableEntry[]): TableEntry | undefined {
	return CLOSING_ORDER
		.map(state => entries.filter(entry => entry.state() === state))
		.find(candidates => candidates.length > 0)
		?.reduce((oldest, candidate) => (candidate.since() < oldest.since() ? candidate : oldest));
}

/** Creates a table for at most `maximumDescriptors` connections, counting those that requests in progress need. */
export function createConnectionTable(maximumDescriptors: number): ConnectionTable {
	const entries = new Set<TableEntry>();
	let closedCount = 0;

	function countDescriptors(): number {
		return [...entries].reduce((sum, entry) => sum + 1 + Math.min(1, entry.requestCount()), 0);
	}

	return {
		add(entry) {
			const others = [...entries];
			entries.add(entry);
			// Counting requests is only needed where they could make a difference.
			if (2 * entries.size > maximumDescriptors && countDescriptors() > maximumDescriptors) {
				const chosen = chooseClosing(others) ?? entry;
				closedCount += 1;
				entries.delete(chosen);
				chosen.close();
			}

			return () => {
				entries.delete(entry);
			};
		},
		count: () => entries.size,
		closedCount: () => closedCount,
	};
}
