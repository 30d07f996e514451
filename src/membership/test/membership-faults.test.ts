import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {toBinary} from '@bufbuild/protobuf';
import {GossipSchema} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {createDaemonFleet, type DaemonProfile} from '../../../test/fakes/daemon-fleet.js';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {createGossip, type GossipMessage} from '../common/gossip.js';
import {GossipTransport} from '../common/gossip-transport.js';
import {encodeGossip} from '../common/gossip-wire.js';
import type {MemberRecord} from '../common/member-record.js';
import type {Member, MemberState} from '../common/membership.js';

const test = suite('membership faults');

const ids = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5'];
const MAXIMUM_MESSAGE_BYTES = 1600;

/** The incarnation of daemons that start at the beginning of virtual time. */
const FIRST_INCARNATION = 1_700_000_000_000;

async function start(seed: number, profile: Partial<DaemonProfile> = {}) {
	const fleet = createDaemonFleet(seed);
	const observed: Array<{readonly by: string; readonly id: string; readonly state: MemberState | 'gone'}> = [];
	ids.forEach((id, index) => {
		fleet.start({id, availabilityZone: `r${index % 2}-a`, ...profile}, ids);
		const {membership} = fleet.get(id);
		membership.onDidChange(members => {
			ids.forEach(other => {
				observed.push({by: id, id: other, state: members.find(member => member.id === other)?.state ?? 'gone'});
			});
		});
	});
	await fleet.time.advance(10_000);
	observed.splice(0);
	return {fleet, observed};
}

function createMember(index: number): Member {
	return {
		id: `entry-with-a-long-name-${index}`,
		incarnation: 1_764_000_000_000 + index,
		state: 'alive',
		address: '10.100.100.100',
		peerPort: 7000,
		availabilityZone: 'macedonia-kalamaria',
		protocol: 1,
	};
}

test('the size of a message is bounded for any fleet size and any number of updates', () => {
	[3, 360, 3000].forEach(size => {
		const gossip = createGossip({
			self: createMember(0), suspicionMs: 4000, isSameRegion: () => true, random: createSeededRandom(1),
		});
		const members = Array.from({length: size}, (_, index) => createMember(index));
		const rumors = Array.from({length: 100}, (_, index) => ({
			topic: 'topic', origin: String(index), version: 1, value: 'x'.repeat(200),
		}));
		gossip.merge({members, rumors}, 0);
		const bytes = toBinary(GossipSchema, encodeGossip(gossip.compose())).length;
		assert.ok(bytes <= MAXIMUM_MESSAGE_BYTES, `${bytes} bytes at ${size} members`);
	});
});

test('newer updates are sent first, and each a bounded number of times', () => {
	const gossip = createGossip({
		self: createMember(0), suspicionMs: 4000, isSameRegion: () => true, random: createSeededRandom(1),
	});
	gossip.merge({members: Array.from({length: 50}, (_, index) => createMember(index)), rumors: []}, 0);
	gossip.compose();
	gossip.merge({members: [createMember(99)], rumors: []}, 0);
	assert.ok(gossip.compose().members.some(member => member.id.endsWith('-99')));
	Array.from({length: 500}).forEach(() => {
		gossip.compose();
	});
	assert.is(gossip.compose().members.length, 0);
});

test('a connection broken in one direction makes no member suspect or dead, because third daemons reach it', async () => {
	const {fleet, observed} = await start(1);
	fleet.faults.isLinkCut = (from, to) => from === 'entry-1' && to === 'entry-2';
	await fleet.time.advance(60_000);
	assert.equal(observed.filter(observation => observation.state === 'gone' || observation.state === 'dead' || observation.state === 'suspect'), []);
});

test('the check fails without probes through third daemons: the broken connection makes the member suspect', async () => {
	const {fleet, observed} = await start(1, {
		wrapTransport: transport => new (class extends GossipTransport {
			override exchange: GossipTransport['exchange'] = async (peer, message) => transport.exchange(peer, message);
			override pull: GossipTransport['pull'] = async (peer, bucket, page) => transport.pull(peer, bucket, page);
			override probe: GossipTransport['probe'] = async (_helper, peer) => {
				const pulled = await transport.pull({address: 'nobody', peerPort: 1}, 0, 0);
				return pulled.map(() => peer.address === '');
			};
		})(),
	});
	fleet.faults.isLinkCut = (from, to) => from === 'entry-1' && to === 'entry-2';
	await fleet.time.advance(60_000);
	assert.ok(observed.some(observation => observation.id === 'entry-2' && observation.state === 'suspect'));
});

async function runFrozen(profile?: Partial<DaemonProfile>) {
	const {fleet, observed} = await start(2, profile);
	fleet.get('entry-3').process.freeze();
	await fleet.time.advance(20_000);
	assert.ok(fleet.all().filter(daemon => daemon.id !== 'entry-3').every(daemon => daemon.membership.find('entry-3')?.state === 'dead'));
	observed.splice(0);
	fleet.get('entry-3').process.thaw();
	await fleet.time.advance(10_000);
	return {fleet, observed};
}

/** How many members each daemon sees alive. */
function countAlive({fleet}: Awaited<ReturnType<typeof runFrozen>>): readonly number[] {
	return fleet.all().map(daemon => daemon.membership.members().filter(member => member.state === 'alive').length);
}

test('a frozen daemon is declared dead; when it resumes, it refutes this and declares no other member dead', async () => {
	const frozen = await runFrozen();
	assert.equal(frozen.observed.filter(observation => observation.by === 'entry-3' && observation.state === 'gone'), []);
	assert.equal(countAlive(frozen), ids.map(() => ids.length));
});

/** Wraps a transport so that no incarnation in its messages exceeds that of the first starts. */
function withoutRefutations(transport: GossipTransport): GossipTransport {
	const clamp = (record: MemberRecord): MemberRecord => ({...record, incarnation: Math.min(record.incarnation, FIRST_INCARNATION)});
	const clampMessage = (message: GossipMessage): GossipMessage => ({...message, sender: clamp(message.sender), members: message.members.map(clamp)});
	return new (class extends GossipTransport {
		override async exchange(peer: PeerAddress, message: GossipMessage) {
			const response = await transport.exchange(peer, clampMessage(message));
			return response.map(clampMessage);
		}

		override async pull(peer: PeerAddress, bucket: number, page: number) {
			const pulled = await transport.pull(peer, bucket, page);
			return pulled.map(response => ({...response, members: response.members.map(clamp)}));
		}

		override probe: GossipTransport['probe'] = async (helper, peer) => transport.probe(helper, peer);
	})();
}

test('the check fails without raised incarnations: a resumed daemon stays dead for the others', async () => {
	const frozen = await runFrozen({wrapTransport: withoutRefutations});
	assert.ok(countAlive(frozen).some(alive => alive < ids.length));
});

/** Freezes a daemon while it suspects another one, which has recovered when the first one resumes. */
async function runFrozenSuspecting(profile?: Partial<DaemonProfile>) {
	const {fleet, observed} = await start(5, profile);
	fleet.get('entry-2').process.freeze();
	await fleet.time.advance(5000);
	assert.is(fleet.get('entry-3').membership.find('entry-2')?.state, 'suspect');
	fleet.get('entry-3').process.freeze();
	// When a process resumes, due timers run before queued messages, as in Node's event loop, so no messages are queued here.
	fleet.faults.isLinkCut = (_, to) => to === 'entry-3';
	fleet.get('entry-2').process.thaw();
	await fleet.time.advance(20_000);
	observed.splice(0);
	fleet.faults.isLinkCut = () => false;
	fleet.get('entry-3').process.thaw();
	await fleet.time.advance(10_000);
	return observed.filter(observation => observation.by === 'entry-3' && observation.state === 'gone');
}

test('a daemon frozen while it suspects another declares no member dead when it resumes', async () => {
	assert.equal(await runFrozenSuspecting(), []);
});

test('the check fails if a daemon does not detect its own pause: it declares the other daemon dead when it resumes', async () => {
	const observed = await runFrozenSuspecting({membership: {pausePeriods: Number.POSITIVE_INFINITY}});
	assert.ok(observed.some(observation => observation.id === 'entry-2'));
});

test('the record of a restarted daemon replaces that of its previous start', async () => {
	const {fleet} = await start(3);
	const before = fleet.get('entry-4').membership.self().incarnation;
	fleet.start({id: 'entry-4', availabilityZone: 'r1-a'}, ids);
	await fleet.time.advance(10_000);
	fleet.all().forEach(daemon => {
		const known = daemon.membership.find('entry-4');
		assert.is(known?.state, 'alive');
		assert.ok(known!.incarnation > before);
	});
});

test('a leaving daemon is known as leaving everywhere within 3 s', async () => {
	const {fleet} = await start(4);
	fleet.get('entry-5').membership.leave(0);
	await fleet.time.advance(3000);
	fleet.all().forEach(daemon => {
		assert.is(daemon.membership.find('entry-5')?.state, 'leaving');
	});
});

test('an older record does not make a dead member alive again, a higher incarnation does', () => {
	const gossip = createGossip({
		self: createMember(0), suspicionMs: 4000, isSameRegion: () => true, random: createSeededRandom(1),
	});
	gossip.merge({members: [createMember(1)], rumors: []}, 0);
	gossip.suspect(createMember(1).id, createMember(1).incarnation, 0);
	gossip.expire(4000);
	gossip.merge({members: [createMember(1)], rumors: []}, 5000);
	assert.is(gossip.find(createMember(1).id)?.state, 'dead');
	gossip.merge({members: [{...createMember(1), incarnation: createMember(1).incarnation + 1}], rumors: []}, 6000);
	assert.is(gossip.find(createMember(1).id)?.state, 'alive');
});

test.run();
