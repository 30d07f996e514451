/** Decides whether a daemon polls the store itself or follows another daemon that does, so that the load on the store grows more slowly than the number of daemons. */
import {rankByRendezvous} from '../../base/common/hash.js';
import {listHighCapacityDaemons} from '../../peers/common/high-capacity-daemons.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Maximum number of daemons with a common source. Larger regions are divided by availability zone. */
const MAXIMUM_GROUP_SIZE = 30;
/** A daemon that failed as a source is skipped for this long; the time doubles with each further failure. */
const FIRST_SKIP_MS = 4000;
const MAXIMUM_SKIP_MS = 60_000;

/** Records which daemons failed as sources. */
export type SourceFailureTable = {
	readonly recordFailure: (name: string, now: number) => void;
	readonly recordSuccess: (name: string) => void;
	readonly isSkipped: (name: string, now: number) => boolean;
};

/** Creates a table without failures. */
export function createSourceFailureTable(): SourceFailureTable {
	const failureBySource = new Map<string, {readonly skipMs: number; readonly until: number}>();
	return {
		recordFailure(name, now) {
			const skipMs = Math.min(MAXIMUM_SKIP_MS, 2 * (failureBySource.get(name)?.skipMs ?? FIRST_SKIP_MS / 2));
			failureBySource.set(name, {skipMs, until: now + skipMs});
		},
		recordSuccess(name) {
			failureBySource.delete(name);
		},
		isSkipped: (name, now) => now < (failureBySource.get(name)?.until ?? Number.NEGATIVE_INFINITY),
	};
}

/** Ranks the daemons that may have the same source as `daemon`, itself included, by their suitability as that source. */
function rankGroup(daemon: PeerDaemon, others: readonly PeerDaemon[]): readonly PeerDaemon[] {
	const regionDaemons = others.filter(other => other.region === daemon.region);
	const group = regionDaemons.length < MAXIMUM_GROUP_SIZE ? regionDaemons : regionDaemons.filter(other => other.availabilityZone === daemon.availabilityZone);
	const members = [daemon, ...group];
	const highCapacity = listHighCapacityDaemons(members);
	// The source serves all daemons of its group, so daemons on high-capacity VMs are preferred.
	return rankByRendezvous('feed', members, member => member.name).toSorted((a, b) => Number(highCapacity.includes(b)) - Number(highCapacity.includes(a)));
}

/** Chooses the daemon to follow; undefined means to poll the store directly. */
export function chooseSource(self: PeerDaemon, others: readonly PeerDaemon[], failures: SourceFailureTable, now: number): PeerDaemon | undefined {
	const first = rankGroup(self, others).find(daemon => daemon.name === self.name || !failures.isSkipped(daemon.name, now));
	return first === undefined || first.name === self.name ? undefined : first;
}

/** Lists the daemons that probably are the sources of the groups to which `self` does not belong. */
export function listSourcesOfOtherGroups(self: PeerDaemon, others: readonly PeerDaemon[]): readonly PeerDaemon[] {
	const own = new Set(rankGroup(self, others).map(daemon => daemon.name));
	const outside = others.filter(daemon => !own.has(daemon.name));
	const zones = new Map(outside.map(daemon => [`${daemon.region} ${daemon.availabilityZone}`, daemon]));
	const sources = [...zones.values()].flatMap(daemon => rankGroup(daemon, outside.filter(other => other.name !== daemon.name)).slice(0, 1));
	return [...new Map(sources.map(daemon => [daemon.name, daemon])).values()];
}

/** Whether data from a source is still fresh. `confirmedAt` is the time at which the store last answered the source. */
export function isFresh(confirmedAt: number, now: number, drainMs: number): boolean {
	return now - confirmedAt < drainMs * FRESHNESS_SHARE;
}

/** Data is fresh for this share of the drain time of a leaving server. The rest of the time is left for this daemon to query the store itself. */
const FRESHNESS_SHARE = 0.66;
