/**
 * The load of engines as the owners of batches know it together. An engine states its load only with the first event of
 * a generation, and generations last long, so owners tell each other how many they have under way on each engine.
 */
import type {EstimatedLoad, LoadEstimate} from '../../routing/common/load-estimate.js';

/** Generations under way by engine. */
export type EngineCounts = Readonly<Record<string, number>>;

/** Loads with what other owners have under way. */
export type SharedLoads = LoadEstimate & {
	/** Takes what another owner has under way. */
	readonly learn: (owner: string, counts: EngineCounts, now: number) => void;
	/** What this daemon has under way on engines. */
	readonly own: (engineIds: readonly string[]) => EngineCounts;
};

type Remote = {
	readonly counts: EngineCounts;
	readonly at: number;
};

/** What another owner said counts for this long; owners with work under way repeat it sooner. */
const REMOTE_MS = 1500;

/** Adds other owners' counts to an estimate. `isEngine` tells the servers that only owners of batches send work to. */
export function createSharedLoads(base: LoadEstimate, isEngine: (serverId: string) => boolean): SharedLoads {
	const remotes = new Map<string, Remote>();

	function remoteCount(serverId: string, now: number): number {
		return [...remotes.values()]
			.filter(remote => now - remote.at < REMOTE_MS)
			.reduce((sum, remote) => sum + (remote.counts[serverId] ?? 0), 0);
	}

	return {
		...base,
		read(serverId, now): EstimatedLoad {
			if (!isEngine(serverId)) {
				return base.read(serverId, now);
			}

			const requests = base.inFlight(serverId) + remoteCount(serverId, now);
			return {requests, likely: requests, slots: base.read(serverId, now).slots};
		},
		learn(owner, counts, now) {
			remotes.set(owner, {counts, at: now});
			[...remotes].filter(([, remote]) => now - remote.at > REMOTE_MS).forEach(([name]) => {
				remotes.delete(name);
			});
		},
		own: engineIds => Object.fromEntries(engineIds.flatMap(id => {
			const count = base.inFlight(id);
			return count === 0 ? [] : [[id, count]];
		})),
	};
}
