/**
 * Chooses the daemon that owns a batch. An owner reads over a thousand events a second, and VMs with a third of a core fall
 * behind at that rate. Where the own VM has much less capacity than others of the region, the high-capacity VM with the fewest
 * open batches becomes the owner.
 */
import {rankByRendezvous} from '../../base/common/hash.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {listHighCapacityDaemons} from '../../peers/common/high-capacity-daemons.js';

/** The choice of owners, as one daemon makes it. */
export type OwnerChoice = {
	/** Returns the daemon that should own a batch; undefined means `self`. `countOpen` returns the number of open batches of a daemon. */
	readonly choose: (batchId: string, self: PeerDaemon, others: readonly PeerDaemon[], countOpen: (name: string) => number, now: number) => PeerDaemon | undefined;
	/** Records that a daemon did not take a batch; `choose` skips it for `SKIP_AFTER_FAILURE_MS`. */
	readonly recordFailure: (name: string, now: number) => void;
};

/** Time for which a daemon that did not take a batch is skipped; longer than a restart takes. */
const SKIP_AFTER_FAILURE_MS = 5000;

/** Creates a choice without recorded failures. */
export function createOwnerChoice(): OwnerChoice {
	const failedAt = new Map<string, number>();
	return {
		choose(batchId, self, others, countOpen, now) {
			const sameRegion = others.filter(daemon => daemon.region === self.region && now - (failedAt.get(daemon.name) ?? Number.NEGATIVE_INFINITY) >= SKIP_AFTER_FAILURE_MS);
			const highCapacity = listHighCapacityDaemons([self, ...sameRegion]);
			if (highCapacity.some(daemon => daemon.name === self.name)) {
				return undefined;
			}

			const ranked = rankByRendezvous(batchId, highCapacity, daemon => daemon.name);
			return ranked.toSorted((a, b) => countOpen(a.name) - countOpen(b.name)).at(0);
		},
		recordFailure(name, now) {
			failedAt.set(name, now);
		},
	};
}
