/**
 * Chooses the servers whose load is read next. Servers that this daemon uses are read more often, the others in rotation. A report
 * is useful only for later dispatches, so a daemon that dispatches few requests reads few loads.
 */
import type {BackendServer} from './router.js';

/** Limits on the number of loads that are read per poll. */
export type LoadPollLimits = {
	readonly least: number;
	readonly most: number;
	/** Loads to read per dispatch since the last poll. */
	readonly perDispatch: number;
};

/** Determines the order of load polls. */
export type LoadPolls = {
	/** Records a dispatch. */
	readonly recordDispatch: () => void;
	readonly next: (servers: readonly BackendServer[], inFlight: (server: BackendServer) => number) => readonly BackendServer[];
};

/** Creates load polls. `next` chooses the servers to read in this poll; `inFlight` is a server's number of own dispatches in progress. */
export function createLoadPolls(limits: LoadPollLimits): LoadPolls {
	let pollNumber = 0;
	let dispatches = 0;
	const lastPollByServer = new Map<string, number>();

	/** Number of polls since the server was last read, doubled for servers in use. */
	function urgency(server: BackendServer, inFlight: number): number {
		const waited = pollNumber - (lastPollByServer.get(server.id) ?? -1_000_000);
		return inFlight > 0 ? 2 * waited : waited;
	}

	function forgetUnknown(servers: readonly BackendServer[]): void {
		if (lastPollByServer.size <= servers.length) {
			return;
		}

		const known = new Set(servers.map(server => server.id));
		[...lastPollByServer.keys()].filter(id => !known.has(id)).forEach(id => {
			lastPollByServer.delete(id);
		});
	}

	return {
		recordDispatch() {
			dispatches += 1;
		},
		next(servers, inFlight) {
			pollNumber += 1;
			const count = Math.min(limits.most, Math.max(limits.least, limits.perDispatch * dispatches));
			dispatches = 0;
			const chosen = servers
				.map(server => ({server, urgency: urgency(server, inFlight(server))}))
				.toSorted((a, b) => b.urgency - a.urgency)
				.slice(0, count)
				.map(entry => entry.server);
			chosen.forEach(server => {
				lastPollByServer.set(server.id, pollNumber);
			});
			forgetUnknown(servers);
			return chosen;
		},
	};
}
