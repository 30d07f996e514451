/**
 * The VM list shared within an availability zone: a few daemons of each zone read it from the platform and spread a
 * digest when it changes; the others fetch what changed from them. So neither the platform's calls nor a daemon's bytes
 * grow with the number of daemons.
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
	applyVmChanges, findVmChanges, rowOfVm, type VmChanges,
} from './vm-changes.js';

/** A reader's answer: that the caller's list is current, what changed since it, or the whole list. */
export type VmPage = {readonly digest: string} & (
	| {readonly kind: 'unchanged'}
	| ({readonly kind: 'changes'} & VmChanges)
	| {readonly kind: 'whole'; readonly vms: readonly Vm[]}
);

/** Fetches the list from a reader. */
export abstract class VmLink {
	abstract fetch(peer: PeerAddress, digest: string): Promise<Result<VmPage, Failure>>;
}

/** The shared list. Each call of `list` brings it up to date as far as that is due. */
export type VmDirectory = {
	readonly list: VmList;
	/** Answers another daemon of the zone; undefined while this daemon has not read the list itself. */
	readonly serve: (digest: string, acceptsChanges: boolean, now: number) => VmPage | undefined;
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

/** Earlier lists that a reader keeps to find out what changed since. */
const KEPT_LISTS = 4;

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
	return hashToHex(vms.map(vm => rowOfVm(vm)).toSorted().join('\n')).slice(0, 16);
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
	let earlier: readonly Cached[] = [];
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

	/** Replaces the cached list and keeps the earlier one if it differs. */
	function keep(vms: readonly Vm[], digest: string, isDirect: boolean): void {
		if (cached !== undefined && cached.digest !== digest) {
			earlier = [cached, ...earlier.filter(list => list.digest !== digest)].slice(0, KEPT_LISTS);
		}

		cached = {
			vms, digest, at: parts.monotonic(), isDirect,
		};
	}

	async function readDirect(): Promise<Result<readonly Vm[], Failure>> {
		const listed = await direct.list();
		return listed.map(vms => {
			// An adapter gives the same list again when the platform says that nothing changed.
			const digest = vms === cached?.vms ? cached.digest : digestVms(vms);
			keep(vms, digest, true);
			if (isReader()) {
				announce(digest);
			}

			return vms;
		});
	}

	/** The list that a page stands for; undefined when the page does not fit the list that it was asked with. */
	function resolve(page: VmPage, known: Cached | undefined): readonly Vm[] | undefined {
		if (page.kind === 'whole') {
			return page.vms;
		}

		if (known === undefined || page.kind === 'unchanged') {
			return page.digest === known?.digest ? known.vms : undefined;
		}

		const vms = applyVmChanges(known.vms, page);
		return digestVms(vms) === page.digest ? vms : undefined;
	}

	/** Asks one reader; once more for the whole list if its changes do not fit. */
	async function fetchPage(reader: Member, known: Cached | undefined): Promise<readonly Vm[] | undefined> {
		const page = await link.fetch(reader, known?.digest ?? '');
		if (page.isErr()) {
			return undefined;
		}

		const vms = resolve(page.value, known);
		if (vms === undefined && known !== undefined) {
			return fetchPage(reader, undefined);
		}

		if (vms !== undefined) {
			keep(vms, page.value.digest, false);
		}

		return vms;
	}

	/** Asks the readers in turn, and the platform when none of them answers. */
	async function fetchFrom(remaining: readonly Member[]): Promise<Result<readonly Vm[], Failure>> {
		const [reader, ...others] = remaining;
		if (reader === undefined) {
			return readDirect();
		}

		const vms = await fetchPage(reader, cached);
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
		serve(digest, acceptsChanges, now) {
			if (cached === undefined || !cached.isDirect || now - cached.at > SERVED_AGE_MS) {
				return undefined;
			}

			const current = cached;
			if (digest === current.digest) {
				return {kind: 'unchanged', digest};
			}

			const base = acceptsChanges ? earlier.find(list => list.digest === digest) : undefined;
			return base === undefined
				? {kind: 'whole', digest: current.digest, vms: current.vms}
				: {kind: 'changes', digest: current.digest, ...findVmChanges(base.vms, current.vms)};
		},
		onDidHearChange: changes.event,
		dispose: hearing.dispose,
	};
}
