/** How the daemons of a hosted platform treat callers' requests under which backend servers crash. */
import type {SuspectRules} from '../../requests/common/suspect-table.js';

/**
 * A request is refused after its third crash. The daemons do not reserve servers for suspects, so an innocent request can be blamed.
 * Hence a refusal ends: one daemon then tries the request at one server, and a crash refuses it for longer, after the last trial for a day.
 */
export const hostedSuspectRules: SuspectRules = {
	crashesToRefuse: 3, isolatesSuspects: false, refusalMs: 60_000, commonRefusalMs: 5000, refusalGrowth: 4, maximumTrials: 2,
};
