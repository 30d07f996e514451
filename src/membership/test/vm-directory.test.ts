import {err, ok} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun} from '../../base/common/failure.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {VmList, type Vm} from '../../adapters/common/vm-list.js';
import type {Member, Rumor} from '../common/membership.js';
import {
	chooseReaders, createVmDirectory, VmListTransport, type VmDirectory, type VmPage,
} from '../common/vm-directory.js';

const test = suite('vm directory');

const lost = createNotRun('unavailable', {step: 'fetch VM list', peer: 'test'}, 'cut');

function createMember(id: string, availabilityZone: string): Member {
	return {
		id, availabilityZone, incarnation: 1, state: 'alive', address: id, peerPort: 1, protocol: 1,
	};
}

/** One zone of five daemons whose rumors arrive without delay; counts the reads from the platform. */
function createZone() {
	const time = createVirtualTime();
	const members = ['a', 'b', 'c', 'd', 'e'].map(id => createMember(id, 'konya-a'));
	const rumorReceived = createEmitter<Rumor>();
	const rumors = new Map<string, Rumor>();
	const state = {
		vms: [] as readonly Vm[], reads: 0, unreachable: new Set<string>(), members, pages: [] as VmPage[], corruptPage: (page: VmPage) => page,
	};
	const platformList = new (class extends VmList {
		override async list() {
			state.reads += 1;
			return ok(state.vms);
		}
	})();
	const directories: ReadonlyMap<string, VmDirectory> = new Map(members.map(member => [member.id, createVmDirectory({
		membership: {
			self: () => member,
			members: () => state.members,
			rumors: () => [...rumors.values()],
			onDidReceiveRumor: rumorReceived.event,
			spread(rumor: Rumor) {
				rumors.set(rumor.origin, rumor);
				rumorReceived.fire(rumor);
			},
		},
		platformList,
		transport: new (class extends VmListTransport {
			override async fetch(peer: {readonly address: string}, digest: string) {
				const served = state.unreachable.has(peer.address) ? undefined : directories.get(peer.address)?.serve(digest, true, time.clock.monotonic());
				if (served === undefined) {
					return err(lost);
				}

				const page = state.corruptPage(served);
				state.pages.push(page);
				return ok(page);
			}
		})(),
		monotonic: time.clock.monotonic,
		wall: time.clock.wall,
	})]));
	const readers = chooseReaders(members, 'konya-a').map(member => member.id);
	const followers = members.map(member => member.id).filter(id => !readers.includes(id));
	const list = async (id: string) => {
		const listed = await directories.get(id)!.list.list();
		return listed._unsafeUnwrap().map(vm => vm.state);
	};

	return {
		time, state, readers, followers, list, directories,
	};
}

const live: Vm = {
	id: 'vm-1', address: '127.0.0.9', port: 1, availabilityZone: 'konya-a', state: 'live', pool: 'kalip-llm',
};

function sortVms(vms: readonly Vm[]): readonly Vm[] {
	return vms.toSorted((a, b) => a.id < b.id ? -1 : 1);
}

test('two daemons of a zone read the list from the platform, the others fetch it when these announce a change', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	await Promise.all(zone.readers.map(zone.list));
	await Promise.all(zone.followers.map(zone.list));
	assert.is(zone.state.reads, 2);
	const changes: string[] = [];
	zone.followers.forEach(id => {
		zone.directories.get(id)!.onDidAnnounceChange(() => {
			changes.push(id);
		});
	});
	zone.state.vms = [{...live, state: 'leaving'}];
	await zone.list(zone.readers[0]!);
	assert.equal(changes, zone.followers);
	assert.equal(await Promise.all(zone.followers.map(zone.list)), zone.followers.map(() => ['leaving']));
	await Promise.all(zone.followers.map(zone.list));
	assert.is(zone.state.reads, 3);
});

test('when no reader responds, each daemon of the zone reads the list from the platform', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	zone.readers.forEach(id => {
		zone.state.unreachable.add(id);
	});
	await Promise.all([...zone.readers, ...zone.followers].map(zone.list));
	assert.is(zone.state.reads, zone.state.members.length);
});

test('a follower confirms its list after 10 s, and reads it from the platform when no reader responds', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	await Promise.all([...zone.readers, ...zone.followers].map(zone.list));
	const before = zone.state.reads;
	zone.readers.forEach(id => {
		zone.state.unreachable.add(id);
	});
	zone.state.vms = [{...live, state: 'leaving'}];
	await zone.time.advance(9999);
	assert.equal(await zone.list(zone.followers[0]!), ['live']);
	await zone.time.advance(1);
	assert.equal(await zone.list(zone.followers[0]!), ['leaving']);
	assert.is(zone.state.reads, before + 1);
});

test('a daemon that becomes a reader reads the list from the platform on its next call', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	await Promise.all([...zone.readers, ...zone.followers].map(zone.list));
	zone.state.vms = [{...live, state: 'leaving'}];
	zone.state.members = zone.state.members.filter(member => !zone.readers.includes(member.id));
	const next = chooseReaders(zone.state.members, 'konya-a').map(member => member.id);
	assert.equal(await zone.list(next[0]!), ['leaving']);
});

test('a follower that has the previous list is sent only the changes', async () => {
	const zone = createZone();
	const others = Array.from({length: 50}, (_, index): Vm => ({...live, id: `vm-${index + 2}`}));
	zone.state.vms = [live, ...others];
	await Promise.all([...zone.readers, ...zone.followers].map(zone.list));
	zone.state.pages.splice(0);
	zone.state.vms = [{...live, state: 'leaving'}, ...others.slice(1), {...live, id: 'vm-new'}];
	await zone.list(zone.readers[0]!);
	const listed = await zone.directories.get(zone.followers[0]!)!.list.list();
	assert.equal(sortVms(listed._unsafeUnwrap()), sortVms(zone.state.vms));
	const [page] = zone.state.pages;
	assert.ok(page?.kind === 'changes');
	assert.equal([page.changed.map(vm => vm.id), page.removed], [['vm-1', 'vm-new'], ['vm-2']]);
});

test('when changes do not yield the list with the announced digest, the follower requests the complete list', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	await Promise.all([...zone.readers, ...zone.followers].map(zone.list));
	zone.state.pages.splice(0);
	zone.state.corruptPage = page => page.kind === 'changes' ? {...page, changed: []} : page;
	zone.state.vms = [{...live, state: 'leaving'}];
	await zone.list(zone.readers[0]!);
	assert.equal(await zone.list(zone.followers[0]!), ['leaving']);
	assert.equal(zone.state.pages.map(page => page.kind), ['changes', 'whole']);
});

test('a caller that cannot apply changes is sent the complete list', async () => {
	const zone = createZone();
	zone.state.vms = [live];
	const reader = zone.readers[0]!;
	await zone.list(reader);
	const before = zone.directories.get(reader)!.serve('', false, zone.time.clock.monotonic())!;
	zone.state.vms = [{...live, state: 'leaving'}];
	await zone.list(reader);
	const {serve} = zone.directories.get(reader)!;
	assert.equal([true, false].map(accepts => serve(before.digest, accepts, zone.time.clock.monotonic())?.kind), ['changes', 'whole']);
});

test.run();
