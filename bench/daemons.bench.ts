/** Control-plane cost by fleet size: gossip traffic, failure detection, propagation of a configuration change, and store calls. */
import {toBinary, create} from '@bufbuild/protobuf';
import {ok} from 'neverthrow';
import {findFreePorts} from '../src/base/node/free-ports.js';
import {createGossip, type BucketPage, type GossipMessage} from '../src/membership/common/gossip.js';
import {encodeGossip, encodePage} from '../src/membership/common/gossip-wire.js';
import {createConnectGossipTransport, serveGossip} from '../src/membership/node/connect-gossip-transport.js';
import {GossipSchema, PullResponseSchema} from '../src/peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {createConnectPeers} from '../src/peers/node/connect-peers.js';
import {createDaemonFleet, type FleetDaemon} from '../test/fakes/daemon-fleet.js';
import {createTaggedLists} from '../test/fakes/configuration-record.js';
import type {Figure} from './figure.js';

export const title = 'Control between daemons';

const FLEET_SIZES = [3, 9, 45, 90, 180, 360];
const ZONE_COUNT = 14;
const REGION_COUNT = 6;
const JOIN_INTERVAL_MS = 20;
const SETTLE_MS = 60_000;
const MEASURED_MS = 20_000;
const STEP_MS = 100;
const TIMEOUT_MS = 60_000;

/** Heartbeat period of the full-mesh baseline, equal to the gossip period. */
const HEARTBEAT_MS = 500;

const self = {
	id: 'entry-100', incarnation: 1_764_000_000_000, state: 'alive', address: '10.100.100.100', peerPort: 7000, availabilityZone: 'macedonia-kalamaria', protocol: 1,
} as const;

function createOwnGossip() {
	return createGossip({
		self, suspicionMs: 4000, isSameRegion: () => true, random: () => 0.5,
	});
}

function bytesOf(message: GossipMessage | BucketPage): number {
	return 'sender' in message
		? toBinary(GossipSchema, encodeGossip(message)).length
		: toBinary(PullResponseSchema, create(PullResponseSchema, encodePage(message))).length;
}

/** Measures over the loopback interface the bytes of one Connect exchange beyond its two message bodies. */
async function measureOverhead(): Promise<number> {
	const [port = 0] = await findFreePorts('127.0.0.1', 1);
	const server = createConnectPeers();
	const client = createConnectPeers();
	const gossip = createOwnGossip();
	serveGossip(server, {
		exchange: () => ok(gossip.compose()),
		probe: async () => true,
		pull: () => ({members: [], rumors: [], more: false}),
	});
	await server.listen({address: '127.0.0.1', peerPort: port});
	const transport = createConnectGossipTransport(client, 1000);
	const exchange = async () => transport.exchange({address: '127.0.0.1', peerPort: port}, gossip.compose());
	await exchange();
	const before = server.traffic();
	await exchange();
	const after = server.traffic();
	client.dispose();
	server.dispose();
	return after.sent + after.received - before.sent - before.received - (2 * bytesOf(gossip.compose()));
}

type Fleet = ReturnType<typeof createDaemonFleet>;

/** Advances the time until a condition holds; returns the elapsed time, at most about `TIMEOUT_MS`. */
async function advanceUntil(fleet: Fleet, isDone: () => boolean): Promise<number> {
	const from = fleet.time.clock.monotonic();
	const elapsed = () => fleet.time.clock.monotonic() - from;
	while (!isDone() && elapsed() < TIMEOUT_MS) {
		await fleet.time.advance(STEP_MS);
	}

	return elapsed();
}

function isRunning(daemon: FleetDaemon): boolean {
	return daemon.process.state() === 'running';
}

async function startFleet(size: number, onMessage: (from: string, to: string, message: GossipMessage | BucketPage) => void): Promise<Fleet> {
	const fleet = createDaemonFleet(1, onMessage, onMessage);
	const ids = Array.from({length: size}, (_, index) => `entry-${100 + index}`);
	await ids.reduce(async (previous, id, index) => {
		await previous;
		const zone = index % ZONE_COUNT;
		fleet.start({id, availabilityZone: `region${zone % REGION_COUNT}-zone${zone}`, shards: {count: 32}}, ids.slice(0, 3));
		await fleet.time.advance(JOIN_INTERVAL_MS);
	}, Promise.resolve());
	return fleet;
}

async function measureSize(size: number, overhead: number): Promise<readonly Figure[]> {
	const bytesByDaemon = new Map<string, number>();
	let measuring = false;
	const fleet = await startFleet(size, (from, to, message) => {
		if (!measuring) {
			return;
		}

		// An exchange consists of two messages; half of its overhead is attributed to each.
		const messageBytes = bytesOf(message) + (overhead / 2);
		[from, to].forEach(id => {
			bytesByDaemon.set(id, (bytesByDaemon.get(id) ?? 0) + messageBytes);
		});
	});
	const joinedMs = await advanceUntil(fleet, () => fleet.all().every(daemon => daemon.membership.members().length === size));
	await fleet.time.advance(SETTLE_MS);

	measuring = true;
	const callsBefore = fleet.memory.calls();
	await fleet.time.advance(MEASURED_MS);
	const storeCalls = fleet.memory.calls() - callsBefore;
	measuring = false;
	const bytesPerSecondByDaemon = fleet.all().map(daemon => (bytesByDaemon.get(daemon.id) ?? 0) * 1000 / MEASURED_MS);

	const proposer = fleet.get('entry-101');
	void proposer.configuration.propose({operator: 'bench', ifVersion: proposer.configuration.current().version, lists: createTaggedLists('bench')});
	const inForceMs = await advanceUntil(fleet, () => fleet.all().every(daemon => daemon.configuration.current().version > 0));

	fleet.kill('entry-102');
	const hasNoticed = (daemon: FleetDaemon) => !isRunning(daemon) || daemon.membership.members().length < size;
	const firstNoticeMs = await advanceUntil(fleet, () => fleet.all().some(daemon => isRunning(daemon) && hasNoticed(daemon)));
	const allNoticedMs = firstNoticeMs + await advanceUntil(fleet, () => fleet.all().every(daemon => hasNoticed(daemon)));
	const heartbeatBytes = (2 * bytesOf({...createOwnGossip().compose(), digests: []})) + overhead;
	const meshBytesPerSecond = 2 * (size - 1) * heartbeatBytes * 1000 / HEARTBEAT_MS;
	const nameOf = (name: string) => `${name}, ${size} daemons`;
	const meanRate = bytesPerSecondByDaemon.reduce((sum, rate) => sum + rate, 0) / size;
	return [
		{
			name: nameOf('gossip sent and received, mean per daemon'), value: meanRate, unit: 'B/s', baseline: meshBytesPerSecond, baselinePolicy: 'full-mesh heartbeats',
		},
		{name: nameOf('gossip sent and received, busiest daemon'), value: Math.max(...bytesPerSecondByDaemon), unit: 'B/s'},
		{name: nameOf('time until all know all after the last start'), value: joinedMs, unit: 'ms'},
		{name: nameOf('change of lists in force everywhere'), value: inForceMs, unit: 'ms'},
		{name: nameOf('killed daemon declared dead by the first'), value: firstNoticeMs, unit: 'ms'},
		{name: nameOf('killed daemon known dead to all'), value: allNoticedMs, unit: 'ms'},
		{name: nameOf('calls of the store, whole fleet'), value: storeCalls * 1000 / MEASURED_MS, unit: 'calls/s'},
	];
}

/** Runs the bench. */
export async function run(): Promise<readonly Figure[]> {
	const overhead = await measureOverhead();
	const figures = await FLEET_SIZES.reduce<Promise<readonly Figure[]>>(
		async (previous, size) => [...await previous, ...await measureSize(size, overhead)],
		Promise.resolve([]),
	);
	return [{name: 'headers of one exchange over Connect', value: overhead, unit: 'B'}, ...figures];
}
