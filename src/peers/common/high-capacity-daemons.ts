/** Selects the daemons on VMs with a high capacity, for work that loads one daemon at a time. */
import type {PeerDaemon} from './peer-mesh.js';

/** Minimum capacity of a high-capacity daemon, as a share of the largest capacity in the list. */
const HIGH_CAPACITY_SHARE = 0.5;

/** Lists the high-capacity daemons of a list; all of them if none reports its capacity. */
export function listHighCapacityDaemons(daemons: readonly PeerDaemon[]): readonly PeerDaemon[] {
	const largestCapacity = Math.max(0, ...daemons.map(daemon => daemon.capacity ?? 0));
	return daemons.filter(daemon => (daemon.capacity ?? 0) >= HIGH_CAPACITY_SHARE * largestCapacity);
}
