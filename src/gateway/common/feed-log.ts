/** Log of changes to server entries. A daemon that polls the store keeps it to send its followers the changes since a given position. */
import {z} from 'zod';
import type {ServerEntry} from './server-view.js';

/** A server entry in the form that daemons send to each other as JSON. */
export type FeedEntry = Omit<ServerEntry, 'versions'> & {
	readonly versions: Readonly<Record<string, number>>;
};

/** Schema of an entry that another daemon has sent. */
export const feedEntrySchema = z.object({
	id: z.string(), pool: z.string(), address: z.string(), port: z.number(), availabilityZone: z.string(), slots: z.number(), isLeaving: z.boolean(), versions: z.record(z.string(), z.number()), sequence: z.number().optional(), startedAt: z.number().optional(), softwareVersion: z.string().optional(),
});

/** Changes since a position in the log. */
export type FeedDelta = {
	/** Position to request changes from next time. */
	readonly place: number;
	/** Whether `entries` is the complete list of entries instead of the changes. */
	readonly isWhole: boolean;
	readonly entries: readonly FeedEntry[];
	readonly removed: readonly string[];
};

/** The changes that one daemon has read from the store. */
export type FeedLog = {
	/** Records the complete list of entries and returns whether anything changed. Writes that change only the sequence number are ignored. */
	readonly update: (entries: readonly ServerEntry[]) => boolean;
	readonly since: (place: number) => FeedDelta;
	readonly position: () => number;
};

/** Removals that are kept. A follower whose position is older than the oldest of them gets the complete list. */
const MAXIMUM_REMOVALS = 500;

/** Converts an entry for sending. */
export function toFeedEntry(entry: ServerEntry): FeedEntry {
	return {...entry, versions: Object.fromEntries(entry.versions)};
}

/** Converts a received entry. */
export function fromFeedEntry(entry: FeedEntry): ServerEntry {
	return {...entry, versions: new Map(Object.entries(entry.versions))};
}

/** Serializes an entry to detect changes, without its sequence number, which rises with every write. */
function toComparisonText(entry: ServerEntry): string {
	return JSON.stringify({...toFeedEntry(entry), sequence: undefined});
}

/** Creates an empty log. */
export function createFeedLog(): FeedLog {
	const entryById = new Map<string, {readonly entry: ServerEntry; readonly text: string; readonly position: number}>();
	let removals: ReadonlyArray<{readonly id: string; readonly position: number}> = [];
	let position = 0;
	let oldestPosition = 0;

	function remove(id: string): void {
		position += 1;
		entryById.delete(id);
		removals = [...removals, {id, position}];
		const dropped = removals.length > MAXIMUM_REMOVALS ? removals[0] : undefined;
		if (dropped !== undefined) {
			oldestPosition = dropped.position;
			removals = removals.slice(1);
		}
	}

	return {
		update(entries) {
			const before = position;
			const ids = new Set(entries.map(entry => entry.id));
			[...entryById.keys()].filter(id => !ids.has(id)).forEach(remove);
			entries.forEach(entry => {
				const text = toComparisonText(entry);
				if (entryById.get(entry.id)?.text !== text) {
					position += 1;
					entryById.set(entry.id, {entry, text, position});
				}
			});
			return position !== before;
		},
		since(fromPosition) {
			const isWhole = fromPosition < oldestPosition || fromPosition > position;
			return {
				place: position,
				isWhole,
				entries: [...entryById.values()].filter(value => isWhole || value.position > fromPosition).map(value => toFeedEntry(value.entry)),
				removed: isWhole ? [] : removals.filter(removal => removal.position > fromPosition && !entryById.has(removal.id)).map(removal => removal.id),
			};
		},
		position: () => position,
	};
}
