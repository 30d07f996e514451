/** Remembers which requests one connection to a backend server has carried. */

/** The requests of one connection. */
export type CarriedRequests = {
	readonly record: (requestId: string, now: number) => void;
	readonly has: (requestId: string) => boolean;
};

/** Minimum time for which a request is remembered, in milliseconds. Nothing is sent again later: it is longer than any request or batch may last. */
const MEMORY_MS = 120_000;

/** Creates the memory of a new connection. */
export function createCarriedRequests(openedAt: number): CarriedRequests {
	let recent = new Set<string>();
	let earlier = new Set<string>();
	let recentSince = openedAt;
	return {
		record(requestId, now) {
			if (now - recentSince >= MEMORY_MS) {
				earlier = recent;
				recent = new Set();
				recentSince = now;
			}

			recent.add(requestId);
		},
		has: requestId => recent.has(requestId) || earlier.has(requestId),
	};
}
