/**
 * The VM list shared within an availability zone: a few daemons of each zone read it from the platform and spread a
 * digest when it changes; the others fetch the list from them. So neither the platform's calls nor a daemon's bytes grow
 * with the number of daemons.
 */
import {ok, type Result} from 'neverthrow';
import {createEmitter, type Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {hashToHex, rankByRendezvous} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {VmList, type Vm} from '../../platform/common/vm-list.js';
import type {Member, Membership} from './membership.js';

/** A reader's answer; `vms` is undefined when the caller's digest is current. */
export type VmPage = {
	readonly digest: string;
	readonly vms: readonly Vm[] | undefined;
};

/** Fetches the list from a reader. */
export abstract class VmLink {
	abstract fetch(peer: PeerAddress, digest: string): Promise<Result<VmPage, Failure>>;
}

/** The shared list. Each call of `list` brings it up to date as far as that is due. */
export type VmDirectory = {
	readonly list: VmList;
	/** Answers another daemon of the zone; undefined while this daemon has not read the list itself. */
	readonly serve: (digest: string, now: number) => VmPage | undefined;
	/** Fires when a reader of the zone has announced another list: read it now. */
	readonly onDidHearChange: Event<void>;
	readonly dispose: () => void;
};

/** What the directory rests on. */
export type VmDirectoryParts = {
	readonly membership: Pick<Membership, 'self' | 'members' | 'rumors' | 'onDidHear' | 'spread'>;
	readonly direct: VmList;
	readonly link: VmLink;
	readonly monotonic: () => number;
	/** Wall time, from which the versions of announcements are taken. */
	readonly wall: () => number;
};

/** The daemon's shared VM list. */
export const vmDirectoryKey = createServiceKey<VmDirectory>('vm-directory');

/** Daemons of a zone that read the list from the platform. */
const READERS_PER_ZONE = 2;

/** Age at which a list is confirmed with a reader though no change was announced. */
const CONFIRM_AFTER_MS = 10_000;

/** Age up to which a daemon passes on a list that it has read itself. */
const SERVED_AGE_MS = 10_000;

const TOPIC = 'vm-list';

type Cached = {
	readonly vms: readonly Vm[];
	readonly digest: string;
	/** Monotonic time at which the list was read or confirmed. */
	readonly at: number;
	/** Whether this daemon read it from the platform itself. */
	readonly isDirect: boolean;
};

/** Digests a list; the order of the VMs does not matter. */
export function digestVms(vms: readonly Vm[]): string {
	const rows = vms.map(vm => JSON.stringify([vm.id, vm.address, vm.port, vm.availabilityZone, vm.state, vm.pool]));
	return hashToHex(rows.toSorted().join('\n')).slice(0, 16);
}

/** Ranks the daemons of a zone that read the list for it. */
export function chooseReaders(members: readonly Member[], availabilityZone: string): readonly Member[] {
	const candidates = members.filter(member => member.availabilityZone === availabilityZone && member.state === 'alive');
	return rankByRendezvous(`${TOPIC}/${availabilityZone}`, candidates, member => member.id).slice(0, READERS_PER_ZONE);
}

/** Creates a directory that has read nothing yet. */
export function createVmDirectory(parts: VmDirectoryParts): VmDirectory {
	const {membership, direct, link} = parts;
	const changes = createEmitter<void>();
	let cached: Cached | undefined;
	let announced = '';
	let version = 0;

	function readers(): readonly Member[] {
		return chooseReaders(membership.members(), membership.self().availabilityZone);
	}

	function isReader(): boolean {
		return readers().some(reader => reader.id === membership.self().id);
	}

	function announce(digest: string): void {
		if (digest === announced) {
			return;
		}

		announced = digest;
		version = Math.max(version + 1, Math.floor(parts.wall()));
		membership.spread({
			topic: TOPIC, origin: membership.self().id, version, value: digest,
		});
	}

	async function readDirect(): Promise<Result<readonly Vm[], Failure>> {
		const listed = await direct.list();
		return listed.map(vms => {
			const digest = digestVms(vms);
			cached = {
				vms, digest, at: parts.monotonic(), isDirect: true,
			};
			if (isReader()) {
				announce(digest);
			}

			return vms;
		});
	}

	function accept(page: VmPage): readonly Vm[] | undefined {
		const vms = page.vms ?? (page.digest === cached?.digest ? cached.vms : undefined);
		if (vms !== undefined) {
			cached = {
				vms, digest: page.digest, at: parts.monotonic(), isDirect: false,
			};
		}

		return vms;
	}

	/** Asks the readers in turn, and the platform when none of them answers. */
	async function fetchFrom(remaining: readonly Member[]): Promise<Result<readonly Vm[], Failure>> {
		const [reader, ...others] = remaining;
		if (reader === undefined) {
			return readDirect();
		}

		const page = await link.fetch(reader, cached?.digest ?? '');
		const vms = page.isOk() ? accept(page.value) : undefined;
		return vms === undefined ? fetchFrom(others) : ok(vms);
	}

	/** Readers that have announced another list than the cached one, first. */
	function announcers(): readonly Member[] {
		const digests = new Map(membership.rumors(TOPIC).map(rumor => [rumor.origin, rumor.value]));
		return readers().filter(reader => {
			const digest = digests.get(reader.id);
			return digest !== undefined && digest !== cached?.digest;
		});
	}

	async function list(): Promise<Result<readonly Vm[], Failure>> {
		if (isReader()) {
			return readDirect();
		}

		const ahead = announcers();
		const isOld = cached === undefined || parts.monotonic() - cached.at >= CONFIRM_AFTER_MS;
		if (cached !== undefined && ahead.length === 0 && !isOld) {
			return ok(cached.vms);
		}

		return fetchFrom(ahead.length > 0 ? ahead : readers());
	}

	const hearing = membership.onDidHear(rumor => {
		if (rumor.topic === TOPIC && rumor.value !== cached?.digest && readers().some(reader => reader.id === rumor.origin)) {
			changes.fire();
		}
	});

	return {
		list: new (class extends VmList {
			override async list() {
				return list();
			}
		})(),
		serve(digest, now) {
			if (cached === undefined || !cached.isDirect || now - cached.at > SERVED_AGE_MS) {
				return undefined;
			}

			return {digest: cached.digest, vms: digest === cached.digest ? undefined : cached.vms};
		},
		onDidHearChange: changes.event,
		dispose: hearing.dispose,
	};
}
