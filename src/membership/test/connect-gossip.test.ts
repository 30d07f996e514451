import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {GossipSchema} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {createConnectPeers} from '../../peers/node/connect-peers.js';
import {findFreePorts} from '../../base/node/free-ports.js';
import {createGossip, type Gossip} from '../common/gossip.js';
import {decodeGossip, encodeGossip} from '../common/gossip-wire.js';
import type {Member} from '../common/membership.js';
import {createConnectGossipTransport, serveGossip} from '../node/connect-gossip-transport.js';
import {OLDEST_PROTOCOL_VERSION} from '../common/member-record.js';
import {createMembershipService} from '../common/membership-service.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';

const test = suite('gossip over connect');

function createMember(id: string, peerPort: number): Member {
	return {
		id, incarnation: 1_700_000_000_000, state: 'alive', address: '127.0.0.1', peerPort, availabilityZone: 'konya-a', protocol: 1,
	};
}

function createTestGossip(self: Member): Gossip {
	return createGossip({
		self, suspicionMs: 4000, isSameRegion: () => true, random: () => 0.5,
	});
}

async function serve(port: number, self: Member) {
	const peers = createConnectPeers();
	const time = createVirtualTime();
	const service = createMembershipService({
		self,
		periodMs: 500,
		fanout: 2,
		suspectAfterMs: 2000,
		deadAfterMs: 6000,
		isSameRegion: () => true,
		candidates: () => [],
		transport: createConnectGossipTransport(peers, 1000),
		loop: time.loop,
		clock: time.clock,
		random: () => 0.5,
		log: silentLog,
	});
	serveGossip(peers, service.receiver);
	await peers.listen({address: '127.0.0.1', peerPort: port});
	return {peers, service};
}

test('exchanges, pulls and probes work over HTTP, and a sender whose protocol is too old is refused', async () => {
	const ports = await findFreePorts('127.0.0.1', 2);
	const [portA = 0, portB = 0] = ports;
	const a = await serve(portA, createMember('entry-1', portA));
	const b = await serve(portB, createMember('entry-2', portB));
	const transport = createConnectGossipTransport(a.peers, 1000);
	const toB = {address: '127.0.0.1', peerPort: portB};
	const own = createTestGossip(createMember('entry-1', portA));

	const response = await transport.exchange(toB, own.compose());
	assert.is(response._unsafeUnwrap().sender.id, 'entry-2');
	assert.ok(b.service.find('entry-1'));
	const page = await transport.pull(toB, 0, 0);
	assert.is(page._unsafeUnwrap().more, false);
	const probed = await transport.probe(toB, {address: '127.0.0.1', peerPort: portA});
	assert.is(probed._unsafeUnwrap(), true);

	const old = createTestGossip({...createMember('entry-0', 1), protocol: OLDEST_PROTOCOL_VERSION - 1});
	const refused = await transport.exchange(toB, old.compose());
	assert.is(refused._unsafeUnwrapErr().code, 'unsupported');
	assert.match(refused._unsafeUnwrapErr().message, /protocol 0 is older than 1/);
	assert.is(b.service.find('entry-0'), undefined);
	[a, b].forEach(({peers, service}) => {
		service.dispose();
		peers.dispose();
	});
});

test('fields that this version does not know are forwarded', () => {
	const later = create(GossipSchema, encodeGossip(createTestGossip(createMember('entry-2', 2)).compose()));
	later.sender!.$unknown = [{no: 99, wireType: 0, data: new Uint8Array([7])}];
	const received = decodeGossip(fromBinary(GossipSchema, toBinary(GossipSchema, later)))!;
	const own = createTestGossip(createMember('entry-1', 1));
	own.receive(received, 0);
	const forwarded = fromBinary(GossipSchema, toBinary(GossipSchema, encodeGossip(own.compose())));
	const update = forwarded.members.find(member => member.id === 'entry-2');
	assert.equal(update?.$unknown?.map(field => [field.no, [...field.data]]), [[99, [7]]]);
});

test.run();
