/**
 * The load of engines, combined from all batch owners. An engine reports its load only with the first event of a generation,
 * and generations take long, so the owners report to each other how many generations they have in progress on each engine.
 */
import type {EstimatedLoad, LoadEstimate} from '../../routing/common/load-estimate.js';

/** Number of generations in progress, by engine id. */
export type EngineCounts = Readonly<Record<string, number>>;

/** Load estimates that include the generations of other owners. */
export type SharedLoads = LoadEstimate & {
	/** Replaces the counts that another owner last reported. */
	readonly applyReport: (owner: string, counts: EngineCounts, now: number) => void;
	/** Lists this daemon's own generations in progress on the given engines. */
	readonly listOwnCounts: (engineIds: readonly string[]) => EngineCounts;
};

type RemoteReport = {
	readonly counts: EngineCounts;
	readonly at: number;
};

/** A report of another owner is used for this long. Owners with work in progress send the next report sooner. */
const REPORT_TTL_MS = 1500;

/** Adds other owners' counts to an estimate. `isEngine` returns true for servers that receive work only from batch owners. */
export function createSharedLoads(base: LoadEstimate, isEngine: (serverId: string) => boolean): SharedLoads {
	const reportByOwner = new Map<string, RemoteReport>();

	function countRemoteRequests(serverId: string, now: number): number {
		return [...reportByOwner.values()]
			.filter(remote => now - remote.at < REPORT_TTL_MS)
			.reduce((sum, remote) => sum + (remote.counts[serverId] ?? 0), 0);
	}

	return {
		...base,
		read(serverId, now): EstimatedLoad {
			if (!isEngine(serverId)) {
				return base.read(serverId, now);
			}

			const requests = base.inFlight(serverId) + countRemoteRequests(serverId, now);
			return {requests, likelyRequests: requests, slots: base.read(serverId, now).slots};
		},
		applyReport(owner, counts, now) {
			reportByOwner.set(owner, {counts, at: now});
			[...reportByOwner].filter(([, remote]) => now - remote.at > REPORT_TTL_MS).forEach(([name]) => {
				reportByOwner.delete(name);
			});
		},
		listOwnCounts: engineIds => Object.fromEntries(engineIds.flatMap(id => {
			const count = base.inFlight(id);
			return count === 0 ? [] : [[id, count]];
		})),
	};
}
