/** Divides the daemons that the holder of the duties asks, so that its cost stays bounded in large fleets. */
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Up to this many daemons are asked one by one; beyond it, one daemon of each group asks the others. */
export const MAXIMUM_DIRECT = 32;
/** Number of daemons in a group. */
export const GROUP_SIZE = 20;

function divide<T>(list: readonly T[], size: number): ReadonlyArray<readonly T[]> {
	return Array.from({length: Math.ceil(list.length / size)}, (_, index) => list.slice(index * size, (index + 1) * size));
}

/**
 * Divides the daemons that have not answered into groups whose first member asks the others. Every second turn, daemons that have answered
 * are the first members, because the link between this daemon and another may be cut while others reach it.
 */
export function groupDaemons(missing: readonly PeerDaemon[], answered: readonly PeerDaemon[], turn: number): ReadonlyArray<readonly PeerDaemon[]> {
	if (turn % 2 === 1 && answered.length > 0) {
		return divide(missing, GROUP_SIZE).map((group, index) => [answered[(turn + index) % answered.length]!, ...group]);
	}

	const start = turn % Math.max(1, missing.length);
	return divide([...missing.slice(start), ...missing.slice(0, start)], missing.length > MAXIMUM_DIRECT ? GROUP_SIZE : 1);
}
