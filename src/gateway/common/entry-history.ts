/** Remembers the last entry of each backend server for a while after it was removed. */
import type {ServerEntry} from './server-view.js';

/** The last entries of servers. */
export type EntryHistory = {
	/** Applies the complete list of current entries. */
	readonly update: (entries: readonly ServerEntry[], now: number) => void;
	/** The last entry of a server, which may have been removed since. */
	readonly find: (serverId: string) => ServerEntry | undefined;
	/** The current entries at an address. */
	readonly listAt: (address: string, port: number) => readonly ServerEntry[];
	/** Whether the server has an entry now. */
	readonly isListed: (serverId: string) => boolean;
};

/** Time for which the entry of a removed server is remembered; longer than any request waits for a response. */
const REMOVED_ENTRY_TTL_MS = 60_000;

/** Creates an empty history. */
export function createEntryHistory(): EntryHistory {
	let current: ReadonlyMap<string, ServerEntry> = new Map();
	let currentByAddress: ReadonlyMap<string, readonly ServerEntry[]> = new Map();
	const removed = new Map<string, {readonly entry: ServerEntry; readonly at: number}>();
	return {
		update(entries, now) {
			const next = new Map(entries.map(entry => [entry.id, entry]));
			[...current.values()].filter(entry => !next.has(entry.id)).forEach(entry => {
				removed.set(entry.id, {entry, at: now});
			});
			[...removed].filter(([id, {at}]) => next.has(id) || now - at > REMOVED_ENTRY_TTL_MS).forEach(([id]) => {
				removed.delete(id);
			});
			current = next;
			const byAddress = new Map<string, ServerEntry[]>();
			entries.forEach(entry => {
				const key = `${entry.address}:${entry.port}`;
				const others = byAddress.get(key);
				if (others === undefined) {
					byAddress.set(key, [entry]);
				} else {
					others.push(entry);
				}
			});
			currentByAddress = byAddress;
		},
		listAt: (address, port) => currentByAddress.get(`${address}:${port}`) ?? [],
		isListed: serverId => current.has(serverId),
		find: serverId => current.get(serverId) ?? removed.get(serverId)?.entry,
	};
}
