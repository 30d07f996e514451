/**
 * Chooses the daemon that owns a batch. An owner reads over a thousand events a second, in which VMs with a third of a core
 * are late; where the own VM is much weaker than others of the region, one of the strong ones with the fewest batches owns it.
 */
import {rankByRendezvous} from '../../base/common/hash.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {listStrong} from '../../peers/common/strong-daemons.js';

/** The choice of one daemon. */
export type OwnerChoice = {
	/** The daemon that should own a batch; undefined means the choosing daemon itself. `countOpen` gives the open batches of a daemon. */
	readonly choose: (batchId: string, self: PeerDaemon, others: readonly PeerDaemon[], countOpen: (name: string) => number, now: number) => PeerDaemon | undefined;
	/** Passes a daemon over for a while that did not take a batch. */
	readonly fail: (name: string, now: number) => void;
};

/** A daemon that did not take a batch in time is passed over for this long: a restart fits into it. */
const PASS_OVER_MS = 5000;

/** Creates a choice without failures. */
export function createOwnerChoice(): OwnerChoice {
	const failedAt = new Map<string, number>();
	return {
		choose(batchId, self, others, countOpen, now) {
			const region = others.filter(daemon => daemon.region === self.region && now - (failedAt.get(daemon.name) ?? Number.NEGATIVE_INFINITY) >= PASS_OVER_MS);
			const strong = listStrong([self, ...region]);
			if (strong.some(daemon => daemon.name === self.name)) {
				return undefined;
			}

			const ranked = rankByRendezvous(batchId, strong, daemon => daemon.name);
			return ranked.toSorted((a, b) => countOpen(a.name) - countOpen(b.name)).at(0);
		},
		fail(name, now) {
			failedAt.set(name, now);
		},
	};
}
