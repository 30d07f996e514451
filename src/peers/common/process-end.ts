/** Tells from a failed call whether the called daemon's process has certainly ended. */
import type {Failure} from '../../base/common/failure.js';

/** Whether a call failed because the peer's host refused the connection; a daemon listens from its start to its end. A paused or unreachable daemon does not refuse. */
export function isRefusedConnection(failure: Failure): boolean {
	return failure.effect === 'notRun' && failure.message.includes('ECONNREFUSED');
}
