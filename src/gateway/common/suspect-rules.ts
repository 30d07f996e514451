/** How the daemons of a hosted platform treat callers' requests under which backend servers crash. */
import type {SuspectRules} from '../../requests/common/suspect-table.js';

/**
 * A request is refused after its third crash. The daemons do not reserve servers for suspects, so an innocent request can be blamed.
 * Hence each refusal ends: the request is then tried again, and one more crash refuses it for longer.
 */
export const hostedSuspectRules: SuspectRules = {
	crashesToRefuse: 3, isolatesSuspects: false, refusalMs: 60_000, commonRefusalMs: 5000, refusalGrowth: 4,
};
