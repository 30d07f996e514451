/**
 * Chooses whose load is read next: servers that this daemon uses first, the others in turn. A report is of use to the
 * choices that follow it, so a daemon that dispatches little reads little.
 */
import type {BackendServer} from './router.js';

/** How many loads are read per poll. */
export type LoadPollLimits = {
	readonly least: number;
	readonly most: number;
	/** Reads per dispatch since the last poll. */
	readonly perDispatch: number;
};

/** The order of load polls. */
export type LoadPolls = {
	/** Counts a dispatch. */
	readonly noteDispatch: () => void;
	readonly next: (servers: readonly BackendServer[], inFlight: (server: BackendServer) => number) => readonly BackendServer[];
};

/** Creates polls. */
export function createLoadPolls(limits: LoadPollLimits): LoadPolls {
	let turn = 0;
	let dispatches = 0;
	const polledAt = new Map<string, number>();

	/** Turns since the last poll, counted double for servers in use. */
	function urgency(server: BackendServer, inFlight: number): number {
		const waited = turn - (polledAt.get(server.id) ?? -1_000_000);
		return inFlight > 0 ? 2 * waited : waited;
	}

	function forgetUnknown(servers: readonly BackendServer[]): void {
		if (polledAt.size <= servers.length) {
			return;
		}

		const known = new Set(servers.map(server => server.id));
		[...polledAt.keys()].filter(id => !known.has(id)).forEach(id => {
			polledAt.delete(id);
		});
	}

	return {
		noteDispatch() {
			dispatches += 1;
		},
		next(servers, inFlight) {
			turn += 1;
			const wanted = Math.min(limits.most, Math.max(limits.least, limits.perDispatch * dispatches));
			dispatches = 0;
			const chosen = servers
				.map(server => ({server, urgency: urgency(server, inFlight(server))}))
				.toSorted((a, b) => b.urgency - a.urgency)
				.slice(0, wanted)
				.map(entry => entry.server);
			chosen.forEach(server => {
				polledAt.set(server.id, turn);
			});
			forgetUnknown(servers);
			return chosen;
		},
	};
}
