/** Cost of sending attempts over other daemons while most daemons are cut off from the servers, in virtual time. */
import {createCrashingFleet} from '../../test/fakes/crashing-fleet.js';

/** Cost of relays, from 4 s after the cut. */
export type RelayCost = {
	/** Calls to other daemons for one request at a cut daemon; 1 if each is taken by the first daemon asked. */
	readonly callsPerRequest: number;
	/** Largest share of all relayed attempts that one daemon carried, as a multiple of the mean of the daemons that are not cut. */
	readonly busiest: number;
	/** Share of the requests at cut daemons that were served. */
	readonly servedShare: number;
};

const CUT_SHARE = 0.6;
const CUT_MS = 12_000;
const STABLE_MS = 4000;
/** Requests a second for each daemon, as at the planned size. */
const REQUESTS_PER_DAEMON = 3.33;

/** Measures a fleet of which most daemons are cut off by links that hang. */
export async function measureRelays(daemons: number): Promise<RelayCost> {
	const fleet = createCrashingFleet({daemons, servers: 3 * daemons, seed: 1});
	const cut = fleet.names.slice(0, Math.round(daemons * CUT_SHARE));
	fleet.cutFromServers(cut, CUT_MS, 'hangs');
	const periodMs = 1000 / (daemons * REQUESTS_PER_DAEMON);
	await Array.from({length: Math.floor(CUT_MS / periodMs)}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		void fleet.send(`request ${index}`);
		await fleet.time.advance(periodMs);
	}, Promise.resolve());
	const answers = fleet.answers.filter(answer => cut.includes(answer.daemon) && answer.sentAt >= STABLE_MS);
	const calls = fleet.relayCalls.filter(({at}) => at >= STABLE_MS);
	const carried = fleet.names.filter(name => !cut.includes(name)).map(name => calls.filter(({helper}) => helper === name).length);
	return {
		callsPerRequest: calls.length / answers.length,
		busiest: Math.max(...carried) * carried.length / carried.reduce((sum, count) => sum + count, 0),
		servedShare: answers.filter(({result}) => result.isOk()).length / answers.length,
	};
}
