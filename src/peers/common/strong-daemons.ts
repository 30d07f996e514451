/** Tells daemons on VMs with much of a core from those with little, for work that loads one daemon at a time. */
import type {PeerDaemon} from './peer-mesh.js';

/** A daemon with at least this share of the largest capacity around counts as strong. */
const STRONG_SHARE = 0.5;

/** The strong ones of a list of daemons; all of them where none says what it has. */
export function listStrong(daemons: readonly PeerDaemon[]): readonly PeerDaemon[] {
	const largest = Math.max(0, ...daemons.map(daemon => daemon.capacity ?? 0));
	return daemons.filter(daemon => (daemon.capacity ?? 0) >= STRONG_SHARE * largest);
}
