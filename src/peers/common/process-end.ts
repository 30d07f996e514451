/** Tells from a failed call whether the called daemon's process has probably ended. */
import type {Failure} from '../../base/common/failure.js';

/**
 * Whether a call failed because the connection was refused. A daemon listens from its start to its end, and a paused one does not refuse, but a
 * partition may refuse as well. So this is no proof: where two daemons must never act at once, or a count must not be lost, only the store decides,
 * or a time that the other daemon keeps to as well.
 */
export function isRefusedConnection(failure: Failure): boolean {
	return failure.effect === 'notRun' && failure.message.includes('ECONNREFUSED');
}
