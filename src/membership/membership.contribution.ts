/** Starts the daemon's membership. Its first contacts come from the settings, the VM list and the last snapshot. */
import type {Context} from '../kernel/common/contribution.js';
import {lifecycleKey} from '../kernel/common/lifecycle.js';
import {registerContribution} from '../kernel/common/registry.js';
import {peersKey, type PeerAddress} from '../peers/common/peers.js';
import {snapshotsKey} from '../persistence/common/snapshots.js';
import {vmListKey, type VmList} from '../adapters/common/vm-list.js';
import {regionOf, settingsKey, type Settings} from '../settings/common/settings.js';
import {PROTOCOL_VERSION} from './common/member-record.js';
import {chooseIncarnation, parseMemberSnapshot, renderMemberSnapshot} from './common/member-snapshot.js';
import {membershipKey, type Member} from './common/membership.js';
import {createMembershipService} from './common/membership-service.js';
import {createConnectGossipTransport, serveGossip} from './node/connect-gossip-transport.js';

/** Pool name of the VMs that run a daemon. */
const ENTRY_POOL = 'entry';

/** Interval at which one daemon reads the VM list. The list only supplies addresses to contact. */
const VM_LIST_INTERVAL_MS = 60_000;

const SNAPSHOT_NAME = 'members';

/** Period of the save task in daemons without a data folder, where a save has no effect. */
const SAVE_INTERVAL_WITHOUT_STORAGE_MS = 60_000;

function createSelf(context: Context, settings: Settings, lastIncarnation: number): Member {
	const {
		id, address, peerPort, availabilityZone,
	} = settings.daemon;
	return {
		id, address, peerPort, availabilityZone, incarnation: chooseIncarnation(context.clock.wall(), lastIncarnation), state: 'alive', protocol: PROTOCOL_VERSION,
	};
}

/** Lists the live VMs that run a daemon; undefined if the VM list can't be read. */
async function readEntryVms(vmList: VmList): Promise<readonly PeerAddress[] | undefined> {
	const listed = await vmList.list();
	return listed
		.map(vms => vms.filter(vm => vm.pool === ENTRY_POOL && vm.state === 'live').map(vm => ({address: vm.address, peerPort: vm.port})))
		.unwrapOr(undefined);
}

function isSameAddress(a: PeerAddress, b: PeerAddress): boolean {
	return a.address === b.address && a.peerPort === b.peerPort;
}

registerContribution({
	id: 'membership',
	requires: ['platform', 'peers', 'persistence'],
	async start(context) {
		const settings = context.use(settingsKey);
		const peers = context.use(peersKey);
		const vmList = context.use(vmListKey);
		const snapshots = context.use(snapshotsKey);
		const snapshot = parseMemberSnapshot(snapshots.read(SNAPSHOT_NAME));
		const self = createSelf(context, settings, snapshot.incarnation);
		const ownRegion = regionOf(settings, self.availabilityZone);
		let entryVms: readonly PeerAddress[] = [];

		async function refreshEntryVms(): Promise<void> {
			entryVms = await readEntryVms(vmList) ?? entryVms;
		}

		const service = createMembershipService({
			...settings.membership,
			self,
			isSameRegion: member => regionOf(settings, member.availabilityZone) === ownRegion,
			candidates: () => [...settings.seeds, ...entryVms, ...snapshot.peers].filter(candidate => !isSameAddress(candidate, self)),
			transport: createConnectGossipTransport(peers, settings.membership.suspectAfterMs / 2),
			loop: context.loop,
			clock: context.clock,
			random: context.random,
			log: context.log,
		});
		serveGossip(peers, service.receiver);
		const polling = context.loop.every({
			name: 'read entry VMs', periodMs: VM_LIST_INTERVAL_MS, jitterShare: 0.2, run: refreshEntryVms,
		});
		const saving = context.loop.every({
			name: 'save members',
			periodMs: settings.storage?.snapshotMs ?? SAVE_INTERVAL_WITHOUT_STORAGE_MS,
			run() {
				snapshots.write(SNAPSHOT_NAME, renderMemberSnapshot(service.self(), service.members()));
			},
		});
		context.provide(membershipKey, service);
		await refreshEntryVms();
		const learned = await service.fetchFleet();
		context.log.info('membership started', {learned, members: service.members().length});
		context.onDidStart(() => {
			service.startRounds();
		});
		const leaving = context.use(lifecycleKey).onDidRequestStop(() => {
			service.leave(context.clock.monotonic());
		});
		return {
			async drain() {
				service.leave(context.clock.monotonic());
			},
			dispose() {
				leaving.dispose();
				saving.dispose();
				polling.dispose();
				service.dispose();
			},
		};
	},
});
