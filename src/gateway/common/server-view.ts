/**
 * The backend servers of a hosted deployment as one daemon knows them, from the entries that they keep in the store. A
 * server whose entry vanished while the store was out of reach is kept for a moment, for it may only have lapsed there.
 */
import type {Vm} from '../../adapters/common/vm-list.js';
import {createServerTable, type ServerTable} from '../../routing/common/server-table.js';
import {createLeavingMarks, type LeavingMark} from './leaving-marks.js';

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
	/** Rises with each write of one run of the server; undefined when it does not say. */
	readonly sequence: number | undefined;
	/** Unix time of the server's start in milliseconds; undefined when it does not say. */
	readonly startedAt: number | undefined;
};

/** The view of one daemon. */
export type ServerView = {
	readonly table: ServerTable;
	/** Takes all entries of the store. */
	readonly update: (entries: readonly ServerEntry[], now: number) => void;
	/** Notes whether the store answered. */
	readonly noteReach: (isReached: boolean, now: number) => void;
	/** Drops servers whose time of grace has passed. */
	readonly expire: (now: number) => void;
	readonly find: (serverId: string) => ServerEntry | undefined;
	readonly list: (pool: string) => readonly ServerEntry[];
	readonly all: () => readonly ServerEntry[];
	/** Notes a weight version that the server itself stated. */
	readonly stateVersion: (serverId: string, model: string, version: number) => void;
	/** The newest weight version known of a server; undefined when the server does not hold the model. */
	readonly versionOf: (serverId: string, model: string) => number | undefined;
	/** Notes that a server said itself that it is leaving, or that another daemon heard it say so. */
	readonly noteLeaving: (mark: LeavingMark, now: number) => void;
	/** Marks of leaving servers that other daemons may lack. */
	readonly listLeaving: (now: number) => readonly LeavingMark[];
	/** Fires the listener with each server that newly said that it is leaving. */
	readonly onDidLeave: (listener: (mark: LeavingMark) => void) => void;
	/** Fires the listener when servers or versions have changed. */
	readonly onDidChange: (listener: () => void) => void;
};

/** After the store has come back, entries that lapsed meanwhile are written again within this time. */
const LAPSE_GRACE_MS = 2200;
/** Writes to the store take effect seconds late at most; entries that vanished are remembered for longer than that. */
const DEPARTED_MEMORY_MS = 60_000;
/** The store counts as just back for this long after its first answer. */
const RETURN_MS = 2500;

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

/** Whether an entry was written before what is known of the same server: a late write of an earlier state. */
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
	let entries: ReadonlyMap<string, ServerEntry> = new Map();
	const missingSince = new Map<string, number>();
	const stated = new Map<string, {readonly startedAt: number | undefined; readonly versions: Map<string, number>}>();
	let isReached = true;
	let returnedAt = Number.NEGATIVE_INFINITY;
	const listeners: Array<() => void> = [];
	const leaving = createLeavingMarks();
	const departed = new Map<string, {readonly entry: ServerEntry; readonly at: number}>();
	const leaveListeners: Array<(mark: LeavingMark) => void> = [];

	function markLeaving(entry: ServerEntry): ServerEntry {
		return !entry.isLeaving && leaving.isLeaving(entry.id, entry.startedAt) ? {...entry, isLeaving: true} : entry;
	}

	/** Remembers entries that vanished, so that a late write of an earlier state does not bring them back. */
	function rememberDeparted(next: ReadonlyMap<string, ServerEntry>, now: number): void {
		[...entries.values()].filter(entry => !next.has(entry.id)).forEach(entry => {
			departed.set(entry.id, {entry, at: now});
		});
		[...departed].filter(([, {at}]) => now - at > DEPARTED_MEMORY_MS).forEach(([id]) => {
			departed.delete(id);
		});
	}

	function publish(next: ReadonlyMap<string, ServerEntry>, now: number): void {
		rememberDeparted(next, now);
		entries = next;
		[...stated.keys()].filter(id => !next.has(id)).forEach(id => {
			stated.delete(id);
		});
		table.update([...next.values()].map(toVm), now);
		listeners.forEach(listener => {
			listener();
		});
	}

	function isKept(entry: ServerEntry, now: number): boolean {
		const since = missingSince.get(entry.id) ?? now;
		missingSince.set(entry.id, since);
		return (!isReached || since - returnedAt < RETURN_MS) && now - since < LAPSE_GRACE_MS;
	}

	function merge(offered: readonly ServerEntry[], now: number): ReadonlyMap<string, ServerEntry> {
		const fresh = offered.flatMap(entry => {
			const known = entries.get(entry.id);
			if (known !== undefined) {
				return isOutdated(entry, known) ? known : entry;
			}

			return isOutdated(entry, departed.get(entry.id)?.entry) ? [] : entry;
		});
		const freshIds = new Set(fresh.map(entry => entry.id));
		freshIds.forEach(id => {
			missingSince.delete(id);
		});
		const taken = new Set(fresh.map(entry => `${entry.address}:${entry.port}`));
		const kept = [...entries.values()]
			.filter(entry => !freshIds.has(entry.id) && !taken.has(`${entry.address}:${entry.port}`))
			.filter(entry => isKept(entry, now));
		return new Map([...fresh, ...kept].map(entry => [entry.id, markLeaving(entry)]));
	}

	let offeredLast: readonly ServerEntry[] = [];
	return {
		table,
		update(offered, now) {
			offeredLast = offered;
			publish(merge(offered, now), now);
		},
		noteReach(reached, now) {
			if (reached && !isReached) {
				returnedAt = now;
			}

			isReached = reached;
		},
		expire(now) {
			if (missingSince.size > 0) {
				publish(merge(offeredLast, now), now);
			}
		},
		find: serverId => entries.get(serverId),
		list: pool => [...entries.values()].filter(entry => entry.pool === pool),
		all: () => [...entries.values()],
		stateVersion(serverId, model, version) {
			const entry = entries.get(serverId);
			const known = stated.get(serverId);
			const versions = known !== undefined && known.startedAt === entry?.startedAt ? known.versions : new Map<string, number>();
			const isNews = (versions.get(model) ?? 0) < version;
			versions.set(model, Math.max(version, versions.get(model) ?? 0));
			stated.set(serverId, {startedAt: entry?.startedAt, versions});
			if (isNews) {
				listeners.forEach(listener => {
					listener();
				});
			}
		},
		versionOf(serverId, model) {
			const entry = entries.get(serverId);
			const listed = entry?.versions.get(model);
			const known = stated.get(serverId);
			const own = known !== undefined && known.startedAt === entry?.startedAt ? known.versions.get(model) : undefined;
			return listed === undefined && own === undefined ? undefined : Math.max(listed ?? 0, own ?? 0);
		},
		noteLeaving(mark, now) {
			if (!leaving.note(mark, now)) {
				return;
			}

			publish(new Map([...entries].map(([id, entry]) => [id, markLeaving(entry)])), now);
			leaveListeners.forEach(listener => {
				listener(mark);
			});
		},
		listLeaving: now => leaving.list(serverId => entries.has(serverId), now),
		onDidLeave(listener) {
			leaveListeners.push(listener);
		},
		onDidChange(listener) {
			listeners.push(listener);
		},
	};
}
