import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {toBinary} from '@bufbuild/protobuf';
import {GossipSchema} from '../../peers/common/gen/rosemaryshore/membership/v1/gossip_pb.js';
import {createDaemonFleet, type DaemonProfile} from '../../../test/fakes/daemon-fleet.js';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import {createGossip} from '../common/gossip.js';
import {GossipLink} from '../common/gossip-link.js';
import {encodeGossip} from '../common/gossip-wire.js';
import type {Member, MemberState} from '../common/membership.js';

const test = suite('membership faults');

const ids = ['entry-1', 'entry-2', 'entry-3', 'entry-4', 'entry-5'];
const MAXIMUM_MESSAGE_BYTES = 1600;

async function start(seed: number, profile: Partial<DaemonProfile> = {}) {
	const fleet = createDaemonFleet(seed);
	const seen: Array<{readonly by: string; readonly id: string; readonly state: MemberState | 'gone'}> = [];
	ids.forEach((id, index) => {
		fleet.start({id, zone: `r${index % 2}-a`, ...profile}, ids);
		const {membership} = fleet.get(id);
		membership.onDidChange(members => {
			ids.forEach(other => {
				seen.push({by: id, id: other, state: members.find(member => member.id === other)?.state ?? 'gone'});
			});
		});
	});
	await fleet.time.advance(10_000);
	seen.splice(0);
	return {fleet, seen};
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

test('a message is bounded whatever the fleet and however much there is to tell', () => {
	[3, 360, 3000].forEach(size => {
		const gossip = createGossip({
			self: createMember(0), suspicionMs: 4000, isNear: () => true, random: createSeededRandom(1),
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

test('newer updates go first, and each is sent a bounded number of times', () => {
	const gossip = createGossip({
		self: createMember(0), suspicionMs: 4000, isNear: () => true, random: createSeededRandom(1),
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

test('a link broken one way kills nobody: third daemons answer for the member', async () => {
	const {fleet, seen} = await start(1);
	fleet.faults.isCut = (from, to) => from === 'entry-1' && to === 'entry-2';
	await fleet.time.advance(60_000);
	assert.equal(seen.filter(sight => sight.state === 'gone' || sight.state === 'dead' || sight.state === 'suspect'), []);
});

test('without probes through third daemons, the broken link raises suspicions', async () => {
	const {fleet, seen} = await start(1, {
		wrapLink: link => new (class extends GossipLink {
			override exchange: GossipLink['exchange'] = async (peer, message) => link.exchange(peer, message);
			override pull: GossipLink['pull'] = async (peer, bucket, page) => link.pull(peer, bucket, page);
			override probe: GossipLink['probe'] = async (_helper, peer) => {
				const answer = await link.pull({address: 'nobody', peerPort: 1}, 0, 0);
				return answer.map(() => peer.address === '');
			};
		})(),
	});
	fleet.faults.isCut = (from, to) => from === 'entry-1' && to === 'entry-2';
	await fleet.time.advance(60_000);
	assert.ok(seen.some(sight => sight.id === 'entry-2' && sight.state === 'suspect'));
});

test('a frozen daemon is declared dead, and on waking refutes and holds nobody for dead', async () => {
	const {fleet, seen} = await start(2);
	fleet.get('entry-3').process.freeze();
	await fleet.time.advance(20_000);
	assert.ok(fleet.all().filter(daemon => daemon.id !== 'entry-3').every(daemon => daemon.membership.find('entry-3')?.state === 'dead'));
	seen.splice(0);
	fleet.get('entry-3').process.thaw();
	await fleet.time.advance(10_000);
	assert.equal(seen.filter(sight => sight.by === 'entry-3' && sight.state === 'gone'), []);
	fleet.all().forEach(daemon => {
		assert.is(daemon.membership.members().filter(member => member.state === 'alive').length, ids.length);
	});
});

test('a restarted daemon replaces its former start', async () => {
	const {fleet} = await start(3);
	const before = fleet.get('entry-4').membership.self().incarnation;
	fleet.start({id: 'entry-4', zone: 'r1-a'}, ids);
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

test('an old report does not bring a dead member back', () => {
	const gossip = createGossip({
		self: createMember(0), suspicionMs: 4000, isNear: () => true, random: createSeededRandom(1),
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
