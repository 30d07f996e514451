/** Bytes and processor time of one call between daemons, for caller and receiver together. */
import {create, toBinary} from '@bufbuild/protobuf';
import {err, ok} from 'neverthrow';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import type {GossipMessage} from '../../src/membership/common/gossip.js';
import type {MemberRecord} from '../../src/membership/common/member-record.js';
import {encodeGossip} from '../../src/membership/common/gossip-wire.js';
import {createConnectGossipTransport, serveGossip} from '../../src/membership/node/connect-gossip-transport.js';
import {GossipSchema} from '../../src/peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {createConnectPeers} from '../../src/peers/node/connect-peers.js';
import {createNotRun} from '../../src/base/common/failure.js';
import {measureCpuUs} from './measure.js';

/** Cost of one call between daemons. */
export type PeerCallCost = {
	/** Bytes in both directions beyond the encoded messages: HTTP headers and framing. */
	readonly overheadBytes: number;
	/** Processor time of caller and receiver together, in microseconds. */
	readonly cpuUs: number;
};

/** Enough calls for the JIT compiler to finish optimising, as in a daemon that runs for days. */
const WARM_UP_CALLS = 6000;
const CALL_COUNT = 2000;
const CONCURRENT_CALLS = 4;

const sender: MemberRecord = {
	id: 'entry-1', incarnation: 1_700_000_000_000, state: 'alive', address: '10.1.1.11', peerPort: 8081, availabilityZone: 'konya-a', protocol: 1,
};

/** Returns the encoded size of a gossip message. */
export function encodedBytes(message: GossipMessage): number {
	return toBinary(GossipSchema, create(GossipSchema, encodeGossip(message))).length;
}

/** Measures gossip exchanges over the loopback interface whose messages contain the given digests. */
export async function measurePeerCall(digests: readonly number[]): Promise<PeerCallCost> {
	const [peerPort = 0] = await findFreePorts('127.0.0.1', 1);
	const message: GossipMessage = {
		sender, members: [], rumors: [], digests,
	};
	const server = createConnectPeers();
	serveGossip(server, {
		exchange: received => (received.sender.id === sender.id ? ok(message) : err(createNotRun('invalid', {step: 'exchange', peer: 'bench'}, 'unknown sender'))),
		probe: async () => true,
		pull: () => ({members: [], rumors: [], more: false}),
	});
	const self = {address: '127.0.0.1', peerPort};
	const listening = await server.listen(self);
	listening._unsafeUnwrap();
	const client = createConnectPeers();
	const transport = createConnectGossipTransport(client, 2000);

	async function callSequentially(calls: number): Promise<void> {
		await Array.from({length: calls}).reduce<Promise<void>>(async previous => {
			await previous;
			const response = await transport.exchange(self, message);
			response._unsafeUnwrap();
		}, Promise.resolve());
	}

	async function run(calls: number): Promise<void> {
		await Promise.all(Array.from({length: CONCURRENT_CALLS}, async () => callSequentially(calls / CONCURRENT_CALLS)));
	}

	await run(WARM_UP_CALLS);
	const before = server.traffic();
	const cpuUs = await measureCpuUs(async () => run(CALL_COUNT));
	const after = server.traffic();
	client.dispose();
	server.dispose();
	const bytes = (after.sent + after.received - before.sent - before.received) / CALL_COUNT;
	return {overheadBytes: bytes - (2 * encodedBytes(message)), cpuUs: cpuUs / CALL_COUNT};
}
