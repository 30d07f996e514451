/** Cost of dividing the request limits of backend servers, in virtual time. */
import {createLimitedFleet} from '../../test/fakes/limited-fleet.js';

/** Cost of the permits for one daemon, while every server limits its requests; rates are per second of virtual time. */
export type PermitCost = {
	/** Calls that the daemon takes part in, as caller or as called daemon. */
	readonly calls: number;
	/** Bytes of their bodies and replies, without headers. */
	readonly bytes: number;
	/** Requests that reach a server. */
	readonly requests: number;
	/** Share of the sum of all limits that is used. */
	readonly usedShare: number;
};

const SERVERS_PER_DAEMON = 3;
/** Requests a second for each daemon, as at the planned size. */
const REQUESTS_PER_DAEMON = 3.33;
const LIMIT_PER_SECOND = 1;
const SETTLE_MS = 10_000;
const MEASURED_MS = 10_000;
const CALLERS_SHARE = 0.5;

/** Measures a fleet whose servers all state a limit that their requests exceed. */
export async function measurePermits(daemons: number): Promise<PermitCost> {
	const servers = daemons * SERVERS_PER_DAEMON;
	const fleet = createLimitedFleet({
		daemons, servers, seed: 1, isSpread: true,
	});
	Array.from({length: servers}).forEach((_, index) => {
		fleet.setLimit(index, LIMIT_PER_SECOND);
	});
	await fleet.play(SETTLE_MS, daemons * REQUESTS_PER_DAEMON, CALLERS_SHARE);
	const before = {...fleet.network.traffic(), requests: fleet.arrivals.length};
	await fleet.play(MEASURED_MS, daemons * REQUESTS_PER_DAEMON, CALLERS_SHARE);
	const after = fleet.network.traffic();
	const seconds = MEASURED_MS / 1000;
	const requests = (fleet.arrivals.length - before.requests) / seconds;
	// A call concerns two daemons.
	return {
		calls: 2 * (after.calls - before.calls) / daemons / seconds,
		bytes: 2 * (after.bytes - before.bytes) / daemons / seconds,
		requests: requests / daemons,
		usedShare: requests / (servers * LIMIT_PER_SECOND),
	};
}
