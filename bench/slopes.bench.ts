/** Slopes: what one unit of each role costs on this machine. docs/CAPACITY.md works out the planned size from them. */
import process from 'node:process';
import type {Figure} from './figure.js';
import {measureFleet, type FleetCost} from './slopes/fleet.js';
import {measurePeerCall, type PeerCallCost} from './slopes/peer-calls.js';

export const title = 'Slopes of each role';

const FLEET_SIZES = process.argv.includes('--full') ? [9, 45, 120, 360] : [9, 45];

/** Digests in a gossip message. */
const DIGESTS = 64;

function describeFleet(cost: FleetCost, call: PeerCallCost): readonly Figure[] {
	const size = `${cost.daemons} daemons`;
	// A call is a message each way.
	const calls = cost.messages / 2;
	return [
		{name: `gossip calls a daemon takes part in, ${size}`, value: calls, unit: 'calls/s'},
		{name: `gossip bytes of a daemon, both ways, ${size}`, value: cost.bytes + (calls * call.overheadBytes), unit: 'B/s'},
		// Half the cost of a call falls on either end.
		{name: `gossip, leases, configuration: processor time of a daemon, ${size}`, value: cost.cpuUs + (calls * call.cpuUs / 2), unit: 'µs/s'},
		{name: `of it without HTTP, ${size}`, value: cost.cpuUs, unit: 'µs/s'},
		{name: `heap of a daemon, ${size}`, value: cost.heapBytes, unit: 'B'},
		{name: `store calls of the fleet, ${size}`, value: cost.storeCalls, unit: 'calls/s'},
		{name: `spread of a change of configuration, ${size}`, value: cost.spreadMs, unit: 'ms'},
	];
}

export async function run(): Promise<readonly Figure[]> {
	const call = await measurePeerCall(Array.from({length: DIGESTS}, (_, index) => index * 1_000_003));
	const fleets = await FLEET_SIZES.reduce<Promise<readonly FleetCost[]>>(async (previous, size) => [...await previous, await measureFleet(size)], Promise.resolve([]));
	return [
		{name: 'call between daemons: bytes of headers and framing, both ways', value: call.overheadBytes, unit: 'B'},
		{name: 'call between daemons: processor time of both ends', value: call.cpuUs, unit: 'µs'},
		...fleets.flatMap(cost => describeFleet(cost, call)),
	];
}
