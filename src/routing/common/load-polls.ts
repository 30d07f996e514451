/** Chooses whose load is read next: servers that this daemon uses first, the others in turn, a bounded number at a time. */
import type {BackendServer} from './router.js';

/** The order of load polls. */
export type LoadPolls = {
	readonly next: (servers: readonly BackendServer[], inFlight: (server: BackendServer) => number) => readonly BackendServer[];
};

/** Creates polls of at most `limit` servers at a time. */
export function createLoadPolls(limit: number): LoadPolls {
	let turn = 0;
	const polledAt = new Map<string, number>();

	/** Turns since the last poll, counted double for servers in use. */
	function urgency(server: BackendServer, inFlight: number): number {
		const waited = turn - (polledAt.get(server.id) ?? -1_000_000);
		return inFlight > 0 ? 2 * waited : waited;
	}

	return {
		next(servers, inFlight) {
			turn += 1;
			const chosen = servers.toSorted((a, b) => urgency(b, inFlight(b)) - urgency(a, inFlight(a))).slice(0, limit);
			chosen.forEach(server => {
				polledAt.set(server.id, turn);
			});
			const known = new Set(servers.map(server => server.id));
			[...polledAt.keys()].filter(id => !known.has(id)).forEach(id => {
				polledAt.delete(id);
			});
			return chosen;
		},
	};
}
