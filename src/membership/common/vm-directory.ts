/**
 * The VM list that the daemons of an availability zone share: `READERS_PER_ZONE` daemons of each zone read it from the platform
 * and spread its digest by gossip when it changes; the others fetch the changes from these readers. Therefore neither the calls
 * to the platform nor the bytes per daemon grow with the number of daemons.
 */
import {ok, type Result} from 'neverthrow';
import {createEmitter, type Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {hashToHex, rankByRendezvous} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {VmList, type Vm} from '../../adapters/common/vm-list.js';
import type {Member, Membership} from './membership.js';
import {
	applyVmChanges, findVmChanges, serializeVm, type VmChanges,
} from './vm-changes.js';

/** A reader's response: the caller's list is current, the changes since the caller's list, or the complete list. */
export type VmPage = {readonly digest: string} & (
	| {readonly kind: 'unchanged'}
	| ({readonly kind: 'changes'} & VmChanges)
	| {readonly kind: 'whole'; readonly vms: readonly Vm[]}
);

/** Fetches the list from a reader; `digest` is that of the caller's list, empty if it has none. */
export abstract class VmListTransport {
	abstract fetch(peer: PeerAddress, digest: string): Promise<Result<VmPage, Failure>>;
}

/** The shared list. Each call of `list` refreshes it if a refresh is due. */
export type VmDirectory = {
	readonly list: VmList;
	/** Responds to another daemon of the zone; undefined if this daemon has not recently read the list from the platform itself. */
	readonly serve: (digest: string, acceptsChanges: boolean, now: number) => VmPage | undefined;
	/** Fires when a reader of the zone has announced a list that differs from the cached one, which should then be refreshed. */
	readonly onDidAnnounceChange: Event<void>;
	readonly dispose: () => void;
};

/** Dependencies of the directory. */
export type VmDirectoryDependencies = {
	readonly membership: Pick<Membership, 'self' | 'members' | 'rumors' | 'onDidReceiveRumor' | 'spread'>;
	readonly platformList: VmList;
	readonly transport: VmListTransport;
	readonly monotonic: () => number;
	/** Wall time; versions of announcements are derived from it. */
	readonly wall: () => number;
};

/** The daemon's shared VM list. */
export const vmDirectoryKey = createServiceKey<VmDirectory>('vm-directory');

/** Number of daemons of a zone that read the list from the platform. */
const READERS_PER_ZONE = 2;

/** Age at which a list is confirmed with a reader even though no change was announced. */
const CONFIRM_AFTER_MS = 10_000;

/** Maximum age at which a daemon serves a list that it has read from the platform. */
const MAXIMUM_SERVED_AGE_MS = 10_000;

/** Number of earlier lists that a reader keeps to compute the changes since. */
const MAXIMUM_EARLIER_LISTS = 4;

const TOPIC = 'vm-list';

type CachedList = {
	readonly vms: readonly Vm[];
	readonly digest: string;
	/** Monotonic time at which the list was last read or confirmed. */
	readonly confirmedAt: number;
	/** Whether this daemon itself read the list from the platform, rather than from a reader. */
	readonly isReadFromPlatform: boolean;
};

/** Computes the digest of a list, independent of the order of its VMs. */
export function digestVms(vms: readonly Vm[]): string {
	return hashToHex(vms.map(vm => serializeVm(vm)).toSorted().join('\n')).slice(0, 16);
}

/** Chooses the daemons that read the list for a zone, in order of their rank. */
export function chooseReaders(members: readonly Member[], availabilityZone: string): readonly Member[] {
	const candidates = members.filter(member => member.availabilityZone === availabilityZone && member.state === 'alive');
	return rankByRendezvous(`${TOPIC}/${availabilityZone}`, candidates, member => member.id).slice(0, READERS_PER_ZONE);
}

/** Creates a directory with an empty cache. */
export function createVmDirectory(dependencies: VmDirectoryDependencies): VmDirectory {
	const {membership, platformList, transport} = dependencies;
	const changeAnnounced = createEmitter<void>();
	let cached: CachedList | undefined;
	let earlierLists: readonly CachedList[] = [];
	let announcedDigest = '';
	let version = 0;

	function listReaders(): readonly Member[] {
		return chooseReaders(membership.members(), membership.self().availabilityZone);
	}

	function isReader(): boolean {
		return listReaders().some(reader => reader.id === membership.self().id);
	}

	function announce(digest: string): void {
		if (digest === announcedDigest) {
			return;
		}

		announcedDigest = digest;
		version = Math.max(version + 1, Math.floor(dependencies.wall()));
		membership.spread({
			topic: TOPIC, origin: membership.self().id, version, value: digest,
		});
	}

	/** Replaces the cached list and keeps the previous one if it differs. */
	function updateCache(vms: readonly Vm[], digest: string, isReadFromPlatform: boolean): void {
		if (cached !== undefined && cached.digest !== digest) {
			earlierLists = [cached, ...earlierLists.filter(list => list.digest !== digest)].slice(0, MAXIMUM_EARLIER_LISTS);
		}

		cached = {
			vms, digest, confirmedAt: dependencies.monotonic(), isReadFromPlatform,
		};
	}

	async function readFromPlatform(): Promise<Result<readonly Vm[], Failure>> {
		const listed = await platformList.list();
		return listed.map(vms => {
			// An adapter returns the same array again when the platform reports no change.
			const digest = vms === cached?.vms ? cached.digest : digestVms(vms);
			updateCache(vms, digest, true);
			if (isReader()) {
				announce(digest);
			}

			return vms;
		});
	}

	/** The list that a page describes; undefined when the page does not match the list whose digest was in the request. */
	function resolvePage(page: VmPage, known: CachedList | undefined): readonly Vm[] | undefined {
		if (page.kind === 'whole') {
			return page.vms;
		}

		if (known === undefined || page.kind === 'unchanged') {
			return page.digest === known?.digest ? known.vms : undefined;
		}

		const vms = applyVmChanges(known.vms, page);
		return digestVms(vms) === page.digest ? vms : undefined;
	}

	/** Fetches from one reader. If its changes do not match the known list, requests the complete list instead. */
	async function fetchPage(reader: Member, known: CachedList | undefined): Promise<readonly Vm[] | undefined> {
		const page = await transport.fetch(reader, known?.digest ?? '');
		if (page.isErr()) {
			return undefined;
		}

		const vms = resolvePage(page.value, known);
		if (vms === undefined && known !== undefined) {
			return fetchPage(reader, undefined);
		}

		if (vms !== undefined) {
			updateCache(vms, page.value.digest, false);
		}

		return vms;
	}

	/** Fetches from the first reader that responds, and reads from the platform when none of them does. */
	async function fetchFrom(remaining: readonly Member[]): Promise<Result<readonly Vm[], Failure>> {
		const [reader, ...others] = remaining;
		if (reader === undefined) {
			return readFromPlatform();
		}

		const vms = await fetchPage(reader, cached);
		return vms === undefined ? fetchFrom(others) : ok(vms);
	}

	/** Lists the readers that have announced a list with another digest than the cached one. */
	function listReadersWithOtherDigest(): readonly Member[] {
		const digests = new Map(membership.rumors(TOPIC).map(rumor => [rumor.origin, rumor.value]));
		return listReaders().filter(reader => {
			const digest = digests.get(reader.id);
			return digest !== undefined && digest !== cached?.digest;
		});
	}

	async function list(): Promise<Result<readonly Vm[], Failure>> {
		if (isReader()) {
			return readFromPlatform();
		}

		const readersWithOtherDigest = listReadersWithOtherDigest();
		const isConfirmationDue = cached === undefined || dependencies.monotonic() - cached.confirmedAt >= CONFIRM_AFTER_MS;
		if (cached !== undefined && readersWithOtherDigest.length === 0 && !isConfirmationDue) {
			return ok(cached.vms);
		}

		return fetchFrom(readersWithOtherDigest.length > 0 ? readersWithOtherDigest : listReaders());
	}

	const subscription = membership.onDidReceiveRumor(rumor => {
		if (rumor.topic === TOPIC && rumor.value !== cached?.digest && listReaders().some(reader => reader.id === rumor.origin)) {
			changeAnnounced.fire();
		}
	});

	return {
		list: new (class extends VmList {
			override async list() {
				return list();
			}
		})(),
		serve(digest, acceptsChanges, now) {
			if (cached === undefined || !cached.isReadFromPlatform || now - cached.confirmedAt > MAXIMUM_SERVED_AGE_MS) {
				return undefined;
			}

			const current = cached;
			if (digest === current.digest) {
				return {kind: 'unchanged', digest};
			}

			const earlierList = acceptsChanges ? earlierLists.find(list => list.digest === digest) : undefined;
			return earlierList === undefined
				? {kind: 'whole', digest: current.digest, vms: current.vms}
				: {kind: 'changes', digest: current.digest, ...findVmChanges(earlierList.vms, current.vms)};
		},
		onDidAnnounceChange: changeAnnounced.event,
		dispose: subscription.dispose,
	};
}
