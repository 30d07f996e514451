/**
 * The backend servers of a hosted deployment as one daemon knows them, from the entries that the servers keep in the store. A
 * server whose entry disappeared around a store outage is kept for `EXPIRED_ENTRY_GRACE_MS`, because the entry may only have
 * expired while the server could not renew it.
 */
import type {Vm} from '../../adapters/common/vm-list.js';
import {createServerTable, type ServerTable} from '../../routing/common/server-table.js';
import {createEarlierStarts} from './earlier-starts.js';
import {createLeavingNotices, type LeavingNotice} from './leaving-notices.js';

/** A backend server's entry. */
export type ServerEntry = {
	readonly id: string;
	readonly pool: string;
	readonly address: string;
	readonly port: number;
	readonly availabilityZone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Weight versions by model, as the server last wrote them. */
	readonly versions: ReadonlyMap<string, number>;
	/** Increases with each write by one run of the server; undefined when the server does not report it. */
	readonly sequence: number | undefined;
	/** Unix time of the server's start in milliseconds; undefined when the server does not report it. */
	readonly startedAt: number | undefined;
	/** Version of the server's software; undefined in entries from daemons of builds that do not know it. */
	readonly softwareVersion?: string | undefined;
};

/** One daemon's view of the backend servers. */
export type ServerView = {
	readonly table: ServerTable;
	/** Replaces the view with the complete list of entries in the store. */
	readonly update: (entries: readonly ServerEntry[], now: number) => void;
	/** Records whether the store answered. */
	readonly recordConnectivity: (isConnected: boolean, now: number) => void;
	/** Monotonic time since which the entries have been up to date; undefined while the store does not answer. */
	readonly connectedSince: () => number | undefined;
	/** Drops missing servers whose grace period has ended. */
	readonly expire: (now: number) => void;
	readonly find: (serverId: string) => ServerEntry | undefined;
	readonly list: (pool: string) => readonly ServerEntry[];
	readonly all: () => readonly ServerEntry[];
	/** Records a weight version that the server itself reported. */
	readonly recordVersion: (serverId: string, model: string, version: number) => void;
	/** The newest known weight version of a model on a server; undefined when the server does not hold the model. */
	readonly versionOf: (serverId: string, model: string) => number | undefined;
	/** Records that a server announced that it is leaving, to this daemon or to another one. */
	readonly recordLeaving: (notice: LeavingNotice, now: number) => void;
	/** Lists the leaving notices that other daemons may not know. */
	readonly listLeavingNotices: (now: number) => readonly LeavingNotice[];
	/** Calls the listener with each new leaving notice. */
	readonly onDidStartLeaving: (listener: (notice: LeavingNotice) => void) => void;
	/** Calls the listener when servers or versions have changed. */
	readonly onDidChange: (listener: () => void) => void;
};

/** A missing server is kept for this long. Servers rewrite entries that expired during a store outage within this time of its end. */
const EXPIRED_ENTRY_GRACE_MS = 2200;
/** Removed entries are remembered for this long, which is longer than the few seconds by which a write to the store can be delayed. */
const REMOVED_ENTRY_TTL_MS = 60_000;
/** For this long after the store has become reachable again, a missing entry counts as expired during the outage. */
const RECONNECT_WINDOW_MS = 2500;

function toVm(entry: ServerEntry): Vm {
	return {
		id: entry.id,
		address: entry.address,
		port: entry.port,
		availabilityZone: entry.availabilityZone,
		pool: entry.pool,
		state: entry.isLeaving ? 'leaving' : 'live',
		...(entry.startedAt !== undefined && {startedAt: entry.startedAt}),
	};
}

/** Whether an entry is older than the known entry of the same server, so that it comes from a delayed write. */
function isOutdated(entry: ServerEntry, known: ServerEntry | undefined): boolean {
	if (known?.startedAt === undefined || entry.startedAt === undefined) {
		return false;
	}

	if (entry.startedAt !== known.startedAt) {
		return entry.startedAt < known.startedAt;
	}

	return entry.sequence !== undefined && known.sequence !== undefined && entry.sequence < known.sequence;
}

/** Creates an empty view. */
export function createServerView(regionOf: (zone: string) => string | undefined): ServerView {
	const table = createServerTable(regionOf);
	let entryById: ReadonlyMap<string, ServerEntry> = new Map();
	const missingSinceById = new Map<string, number>();
	const reportedVersionsById = new Map<string, {readonly startedAt: number | undefined; readonly versions: Map<string, number>}>();
	let isConnected = true;
	let reconnectedAt = Number.NEGATIVE_INFINITY;
	const changeListeners: Array<() => void> = [];
	const leavingNotices = createLeavingNotices();
	const removedById = new Map<string, {readonly entry: ServerEntry; readonly at: number}>();
	const earlierStarts = createEarlierStarts();
	const leavingListeners: Array<(notice: LeavingNotice) => void> = [];

	function applyLeavingNotice(entry: ServerEntry): ServerEntry {
		return !entry.isLeaving && leavingNotices.isLeaving(entry.id, entry.startedAt) ? {...entry, isLeaving: true} : entry;
	}

	/** Remembers removed entries, so that a delayed write of an earlier state does not restore them. */
	function recordRemoved(next: ReadonlyMap<string, ServerEntry>, now: number): void {
		[...entryById.values()].filter(entry => !next.has(entry.id)).forEach(entry => {
			removedById.set(entry.id, {entry, at: now});
		});
		[...removedById].filter(([, {at}]) => now - at > REMOVED_ENTRY_TTL_MS).forEach(([id]) => {
			removedById.delete(id);
		});
	}

	/** Whether a listed entry is to be ignored because of a known one of the same server. */
	function isDelayedWrite(entry: ServerEntry, known: ServerEntry | undefined, now: number): boolean {
		if (!isOutdated(entry, known)) {
			earlierStarts.forget(entry.id);
			return false;
		}

		if (entry.startedAt === known?.startedAt || !isConnected || !earlierStarts.isLive(entry, now)) {
			return true;
		}

		leavingNotices.end(entry.id, entry.startedAt);
		return false;
	}

	function publish(next: ReadonlyMap<string, ServerEntry>, now: number): void {
		recordRemoved(next, now);
		entryById = next;
		[...reportedVersionsById.keys()].filter(id => !next.has(id)).forEach(id => {
			reportedVersionsById.delete(id);
		});
		table.update([...next.values()].map(toVm), now);
		changeListeners.forEach(listener => {
			listener();
		});
	}

	function isWithinGrace(entry: ServerEntry, now: number): boolean {
		const since = missingSinceById.get(entry.id) ?? now;
		missingSinceById.set(entry.id, since);
		return (!isConnected || since - reconnectedAt < RECONNECT_WINDOW_MS) && now - since < EXPIRED_ENTRY_GRACE_MS;
	}

	function merge(listed: readonly ServerEntry[], now: number): ReadonlyMap<string, ServerEntry> {
		const accepted = listed.flatMap(entry => {
			const known = entryById.get(entry.id);
			if (known !== undefined) {
				return isDelayedWrite(entry, known, now) ? known : entry;
			}

			return isDelayedWrite(entry, removedById.get(entry.id)?.entry, now) ? [] : entry;
		});
		const acceptedIds = new Set(accepted.map(entry => entry.id));
		acceptedIds.forEach(id => {
			missingSinceById.delete(id);
		});
		const usedAddresses = new Set(accepted.map(entry => `${entry.address}:${entry.port}`));
		const kept = [...entryById.values()]
			.filter(entry => !acceptedIds.has(entry.id) && !usedAddresses.has(`${entry.address}:${entry.port}`))
			.filter(entry => isWithinGrace(entry, now));
		return new Map([...accepted, ...kept].map(entry => [entry.id, applyLeavingNotice(entry)]));
	}

	let lastListed: readonly ServerEntry[] = [];
	return {
		table,
		update(listed, now) {
			lastListed = listed;
			publish(merge(listed, now), now);
		},
		recordConnectivity(hasAnswered, now) {
			if (hasAnswered && !isConnected) {
				reconnectedAt = now;
			}

			isConnected = hasAnswered;
		},
		connectedSince: () => (isConnected ? reconnectedAt : undefined),
		expire(now) {
			if (missingSinceById.size > 0) {
				publish(merge(lastListed, now), now);
			}
		},
		find: serverId => entryById.get(serverId),
		list: pool => [...entryById.values()].filter(entry => entry.pool === pool),
		all: () => [...entryById.values()],
		recordVersion(serverId, model, version) {
			const entry = entryById.get(serverId);
			const known = reportedVersionsById.get(serverId);
			const versions = known !== undefined && known.startedAt === entry?.startedAt ? known.versions : new Map<string, number>();
			const isNewer = (versions.get(model) ?? 0) < version;
			versions.set(model, Math.max(version, versions.get(model) ?? 0));
			reportedVersionsById.set(serverId, {startedAt: entry?.startedAt, versions});
			if (isNewer) {
				changeListeners.forEach(listener => {
					listener();
				});
			}
		},
		versionOf(serverId, model) {
			const entry = entryById.get(serverId);
			const listed = entry?.versions.get(model);
			const known = reportedVersionsById.get(serverId);
			const reported = known !== undefined && known.startedAt === entry?.startedAt ? known.versions.get(model) : undefined;
			return listed === undefined && reported === undefined ? undefined : Math.max(listed ?? 0, reported ?? 0);
		},
		recordLeaving(notice, now) {
			if (!leavingNotices.record(notice, now)) {
				return;
			}

			publish(new Map([...entryById].map(([id, entry]) => [id, applyLeavingNotice(entry)])), now);
			leavingListeners.forEach(listener => {
				listener(notice);
			});
		},
		listLeavingNotices: now => leavingNotices.list(serverId => entryById.has(serverId), now),
		onDidStartLeaving(listener) {
			leavingListeners.push(listener);
		},
		onDidChange(listener) {
			changeListeners.push(listener);
		},
	};
}
