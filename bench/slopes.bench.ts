/** Slopes: the cost of one unit of work of each role on this machine. docs/CAPACITY.md derives the planned size from them. */
import process from 'node:process';
import type {Figure} from './figure.js';
import {measureClaims, measureClaimWrites} from './slopes/claims.js';
import {measureAdmission, measureRouting} from './slopes/decisions.js';
import {measureFleet, type FleetCost} from './slopes/fleet.js';
import {measurePeerCall, type PeerCallCost} from './slopes/peer-calls.js';
import {measureChunks, measureStep} from './slopes/steps.js';
import {measureVmList} from './slopes/vm-list.js';
import {measureServiceCalls} from './slopes/gateway-overhead.js';
import {measurePermits} from './slopes/permits.js';
import {measureRelays} from './slopes/relays.js';
import {measureShares} from './slopes/shares.js';
import {measureSwaps} from './slopes/swaps.js';
import {measureAdmissionTick, measureLoadPoll} from './slopes/ticks.js';
import {measureIdleDaemons} from './slopes/idle-daemons.js';

export const title = 'Slopes of each role';

const FLEET_SIZES = process.argv.includes('--full') ? [9, 45, 120, 360] : [9, 45];

/** Number of digests in a gossip message. */
const DIGEST_COUNT = 64;

function describeFleet(cost: FleetCost, call: PeerCallCost): readonly Figure[] {
	const size = `${cost.daemons} daemons`;
	// A call consists of one message in each direction.
	const calls = cost.messages / 2;
	return [
		{name: `gossip calls a daemon takes part in, ${size}`, value: calls, unit: 'calls/s'},
		{name: `gossip bytes of a daemon, both ways, ${size}`, value: cost.bytes + (calls * call.overheadBytes), unit: 'B/s'},
		{name: `of it between regions, ${size}`, value: cost.regionBytes + (cost.regionMessages / 2 * call.overheadBytes), unit: 'B/s'},
		// The measured cost of a call covers both ends; half of it is attributed to each.
		{name: `gossip, leases, configuration: processor time of a daemon, ${size}`, value: cost.cpuUs + (calls * call.cpuUs / 2), unit: 'µs/s'},
		{name: `of it without HTTP, ${size}`, value: cost.cpuUs, unit: 'µs/s'},
		{name: `heap of a daemon, ${size}`, value: cost.heapBytes, unit: 'B'},
		{name: `store calls of the fleet, ${size}`, value: cost.storeCalls, unit: 'calls/s'},
		{name: `spread of a change of configuration, ${size}`, value: cost.spreadMs, unit: 'ms'},
	];
}

const PLAN_COUNTS = [10, 1000];
const WORKER_COUNTS = [9, 110, 1100];

async function runSequentially<T>(values: readonly number[], measure: (value: number) => Promise<T>): Promise<readonly T[]> {
	return values.reduce<Promise<readonly T[]>>(async (previous, value) => [...await previous, await measure(value)], Promise.resolve([]));
}

async function describeDecisions(): Promise<readonly Figure[]> {
	const admissions = await runSequentially(PLAN_COUNTS, measureAdmission);
	const routings = await runSequentially(WORKER_COUNTS, measureRouting);
	return [
		...admissions.map((cpuUs, index) => ({name: `admission and release of a request, ${PLAN_COUNTS[index]} plans`, value: cpuUs, unit: 'µs'})),
		...routings.flatMap(({cpuUs, heapBytesPerServer}, index) => [
			{name: `choice of a server and end of the dispatch, ${WORKER_COUNTS[index]} workers`, value: cpuUs, unit: 'µs'},
			// The heap of fewer than 100 workers is below the noise of the measurement.
			...((WORKER_COUNTS[index] ?? 0) < 100 ? [] : [{name: `heap of the router per worker, ${WORKER_COUNTS[index]} workers`, value: heapBytesPerServer, unit: 'B'}]),
		]),
	];
}

/**
 * Claims per second at one shard: 1,200 requests per second over 32 shards, of which a tenth or all are claimed, and the
 * load of one hot shard.
 */
const CLAIM_RATES = [3.75, 37.5, 300];

async function describeOwners(): Promise<readonly Figure[]> {
	const claims = await measureClaims();
	const claimWrites = await runSequentially(CLAIM_RATES, measureClaimWrites);
	const step = await measureStep();
	const chunksUs = await measureChunks();
	return [
		{name: 'claims that one shard grants, writes of 4 ms', value: claims.claimsPerSecond, unit: 'claims/s'},
		{name: 'claims in one write', value: claims.claimsPerWrite, unit: ''},
		...claimWrites.map((value, index) => ({name: `writes for a claim and its outcome, ${CLAIM_RATES[index]} claims/s to a shard, writes of 4 ms`, value, unit: ''})),
		{name: 'processor time of a claim at the owner', value: claims.cpuUsPerClaim, unit: 'µs'},
		{name: 'bytes written per claim', value: claims.bytesPerClaim, unit: 'B'},
		{name: 'heap per remembered claim', value: claims.heapBytesPerClaim, unit: 'B'},
		{name: 'heap of a whole step, 1,024 samples of 400 tokens', value: step.heapBytes, unit: 'B'},
		{name: 'processor time of the schedule per sample of 50 chunks', value: step.cpuUsPerSample, unit: 'µs'},
		{name: 'ledger of a step of 128 groups', value: step.ledgerBytes, unit: 'B'},
		{name: 'stream of 1,000 chunks from an engine, both ends', value: chunksUs, unit: 'µs'},
	];
}

const VM_COUNTS = [18, 1460];

async function describeVmLists(): Promise<readonly Figure[]> {
	const costs = await runSequentially(VM_COUNTS, measureVmList);
	return costs.flatMap(({changed, unchanged, digestUs, changeBytes}, index) => [
		{name: `read of a changed VM list, ${VM_COUNTS[index]} VMs`, value: changed.bytes, unit: 'B'},
		{name: `processor time of it, both ends, ${VM_COUNTS[index]} VMs`, value: changed.cpuUs, unit: 'µs'},
		{name: `read of an unchanged VM list, ${VM_COUNTS[index]} VMs`, value: unchanged.bytes, unit: 'B'},
		{name: `processor time of it, both ends, ${VM_COUNTS[index]} VMs`, value: unchanged.cpuUs, unit: 'µs'},
		{name: `digest of the VM list, ${VM_COUNTS[index]} VMs`, value: digestUs, unit: 'µs'},
		{name: `answer between daemons with one changed VM, ${VM_COUNTS[index]} VMs`, value: changeBytes, unit: 'B'},
	]);
}

const TICK_PLAN_COUNTS = [1, 10, 100, 1000];
const TICK_WORKER_COUNT = 1100;

async function describeTicks(): Promise<readonly Figure[]> {
	const ticks = await runSequentially(TICK_PLAN_COUNTS, async plans => measureAdmissionTick(plans, TICK_WORKER_COUNT));
	const polls = await runSequentially(WORKER_COUNTS, measureLoadPoll);
	return [
		...ticks.map((cpuUs, index) => ({name: `tick of admission, ${TICK_PLAN_COUNTS[index]} plans, ${TICK_WORKER_COUNT} workers`, value: cpuUs, unit: 'µs'})),
		...polls.map((cpuUs, index) => ({name: `poll of loads without the reads, ${WORKER_COUNTS[index]} workers`, value: cpuUs, unit: 'µs'})),
	];
}

const DEMAND_MOVE_PERIOD_MS = 10_000;

async function describeShares(): Promise<readonly Figure[]> {
	const costs = await runSequentially(FLEET_SIZES, async daemons => measureShares(daemons, DEMAND_MOVE_PERIOD_MS));
	return costs.flatMap(({renewals, writes, dividedShare}, index) => {
		const size = `demand that moves every 10 s, ${FLEET_SIZES[index]} daemons`;
		return [
			{name: `renewals of the shares of one grant by a daemon, ${size}`, value: renewals, unit: 'calls/s'},
			{name: `writes for one grant, ${size}`, value: writes, unit: 'writes/s'},
			{name: `part of the grant that is divided, ${size}`, value: dividedShare, unit: ''},
		];
	});
}

async function describePermits(): Promise<readonly Figure[]> {
	const costs = await runSequentially(FLEET_SIZES, measurePermits);
	return costs.flatMap(({calls, bytes, requests, usedShare}, index) => {
		const size = `all servers limited, ${FLEET_SIZES[index]} daemons`;
		return [
			{name: `permit calls a daemon takes part in, ${size}`, value: calls, unit: 'calls/s'},
			{name: `permit bytes of a daemon, both ways, without headers, ${size}`, value: bytes, unit: 'B/s'},
			{name: `requests of a daemon that reach a server, ${size}`, value: requests, unit: '1/s'},
			{name: `part of the limits that is used, ${size}`, value: usedShare, unit: ''},
		];
	});
}

async function describeRelays(): Promise<readonly Figure[]> {
	const costs = await runSequentially(FLEET_SIZES, measureRelays);
	return costs.flatMap(({callsPerRequest, busiest, servedShare}, index) => {
		const size = `most of ${FLEET_SIZES[index]} daemons cut off from the servers`;
		return [
			{name: `calls to daemons for a request, ${size}`, value: callsPerRequest, unit: 'calls'},
			{name: `attempts of the busiest helper as a multiple of the mean, ${size}`, value: busiest, unit: ''},
			{name: `part of the requests that is served, ${size}`, value: servedShare, unit: ''},
		];
	});
}

const SWAPPED_ENGINE_COUNT = 110;

async function describeSwaps(): Promise<readonly Figure[]> {
	const swaps = await measureSwaps(SWAPPED_ENGINE_COUNT);
	const size = `${SWAPPED_ENGINE_COUNT} engines, loads of 3 s`;
	return [
		{name: `new weights on all engines, ${size}`, value: swaps.spreadMs, unit: 'ms'},
		{name: `least part of the engines in use meanwhile, ${size}`, value: swaps.leastUsable, unit: ''},
		{name: `processor time of a swap, all ends, ${size}`, value: swaps.cpuUsPerEngine, unit: 'µs'},
	];
}

async function describeServiceCalls(): Promise<readonly Figure[]> {
	const cost = await measureServiceCalls();
	return [{name: 'service call at the front: processor time beyond a call straight to the service', value: cost.cpuUsPerRequest, unit: 'µs'}];
}

const IDLE_DAEMON_COUNT = 9;

async function describeIdleDaemons(): Promise<readonly Figure[]> {
	const cost = await measureIdleDaemons(IDLE_DAEMON_COUNT);
	const size = `${IDLE_DAEMON_COUNT} whole daemons at rest`;
	return [
		{name: `processor time of a daemon with its share of the stand-ins, ${size}`, value: cost.cpuUs, unit: 'µs/s'},
		{name: `bytes to and from peers of a daemon, ${size}`, value: cost.peerBytes, unit: 'B/s'},
		{name: `store calls of the fleet, ${size}`, value: cost.storeCalls, unit: 'calls/s'},
		{name: `heap of a daemon, ${size}`, value: cost.heapBytes, unit: 'B'},
	];
}

export async function run(): Promise<readonly Figure[]> {
	const call = await measurePeerCall(Array.from({length: DIGEST_COUNT}, (_, index) => index * 1_000_003));
	const decisions = await describeDecisions();
	const owners = await describeOwners();
	const vmLists = await describeVmLists();
	const ticks = await describeTicks();
	const relays = await describeRelays();
	const shares = await describeShares();
	const permits = await describePermits();
	const swaps = await describeSwaps();
	const serviceCalls = await describeServiceCalls();
	const idleDaemons = await describeIdleDaemons();
	const fleets = await runSequentially(FLEET_SIZES, measureFleet);
	return [
		{name: 'call between daemons: bytes of headers and framing, both ways', value: call.overheadBytes, unit: 'B'},
		{name: 'call between daemons: processor time of both ends', value: call.cpuUs, unit: 'µs'},
		...decisions,
		...owners,
		...vmLists,
		...ticks,
		...relays,
		...shares,
		...permits,
		...swaps,
		...serviceCalls,
		...idleDaemons,
		...fleets.flatMap(cost => describeFleet(cost, call)),
	];
}
