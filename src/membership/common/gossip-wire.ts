/** Converts gossip between its types and the generated messages. Fields that this version does not know are kept. */
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {
	GossipSchema, MemberState as WireState, MemberUpdateSchema, type PullResponseSchema, RumorUpdateSchema,
	type Gossip as WireGossip, type MemberUpdate, type PullResponse, type RumorUpdate,
} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import type {BucketPage, GossipMessage} from './gossip.js';
import type {MemberRecord, RumorRecord} from './member-record.js';
import type {MemberState} from './membership.js';

const toWireState: Readonly<Record<MemberState, WireState>> = {
	alive: WireState.ALIVE, suspect: WireState.SUSPECT, leaving: WireState.LEAVING, dead: WireState.DEAD,
};

/** A state that this version does not know is read as `leaving`: the member still responds but gets no new work. */
function fromWireState(state: WireState): MemberState {
	const known: Readonly<Partial<Record<WireState, MemberState>>> = {
		[WireState.ALIVE]: 'alive', [WireState.SUSPECT]: 'suspect', [WireState.DEAD]: 'dead',
	};
	return known[state] ?? 'leaving';
}

function encodeMember(record: MemberRecord): MemberUpdate {
	const update = create(MemberUpdateSchema, {
		id: record.id,
		incarnation: BigInt(record.incarnation),
		state: toWireState[record.state],
		address: record.address,
		peerPort: record.peerPort,
		availabilityZone: record.availabilityZone,
		protocol: record.protocol,
	});
	update.$unknown = record.unknown;
	return update;
}

function decodeMember(update: MemberUpdate): MemberRecord {
	return {
		id: update.id,
		incarnation: Number(update.incarnation),
		state: fromWireState(update.state),
		address: update.address,
		peerPort: update.peerPort,
		availabilityZone: update.availabilityZone,
		protocol: update.protocol,
		...(update.$unknown && {unknown: update.$unknown}),
	};
}

function encodeRumor(rumor: RumorRecord): RumorUpdate {
	const update = create(RumorUpdateSchema, {
		topic: rumor.topic, origin: rumor.origin, version: BigInt(rumor.version), value: rumor.value,
	});
	update.$unknown = rumor.unknown;
	return update;
}

function decodeRumor(update: RumorUpdate): RumorRecord {
	return {
		topic: update.topic,
		origin: update.origin,
		version: Number(update.version),
		value: update.value,
		...(update.$unknown && {unknown: update.$unknown}),
	};
}

/** Encodes a message to a peer. */
export function encodeGossip(message: GossipMessage): WireGossip {
	return create(GossipSchema, {
		sender: encodeMember(message.sender),
		members: message.members.map(record => encodeMember(record)),
		rumors: message.rumors.map(rumor => encodeRumor(rumor)),
		digests: [...message.digests],
	});
}

/** Decodes a peer's message; undefined for a message without a sender. */
export function decodeGossip(gossip: WireGossip | undefined): GossipMessage | undefined {
	return gossip?.sender && {
		sender: decodeMember(gossip.sender),
		members: gossip.members.map(update => decodeMember(update)),
		rumors: gossip.rumors.map(update => decodeRumor(update)),
		digests: gossip.digests,
	};
}

/** Encodes one page of a bucket. */
export function encodePage(page: BucketPage): MessageInitShape<typeof PullResponseSchema> {
	return {
		members: page.members.map(record => encodeMember(record)),
		rumors: page.rumors.map(rumor => encodeRumor(rumor)),
		more: page.more,
	};
}

/** Decodes one page of a bucket. */
export function decodePage(page: PullResponse): BucketPage {
	return {
		members: page.members.map(update => decodeMember(update)),
		rumors: page.rumors.map(update => decodeRumor(update)),
		more: page.more,
	};
}
