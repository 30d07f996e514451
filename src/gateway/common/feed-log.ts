/** What a daemon that follows the store tells daemons that follow it: changes of server entries since a place, in sequence. */
import type {ServerEntry} from './server-view.js';

/** A server entry as daemons send it. */
export type FeedEntry = Omit<ServerEntry, 'versions'> & {
	readonly versions: Readonly<Record<string, number>>;
};

/** Changes since a place. */
export type FeedDelta = {
	/** Place to ask from next time. */
	readonly place: number;
	/** Everything that is there follows, in place of changes. */
	readonly isWhole: boolean;
	readonly entries: readonly FeedEntry[];
	readonly removed: readonly string[];
};

/** The changes that one daemon has seen. */
export type FeedLog = {
	/** Takes all entries; writes that change nothing of use are left out. Returns whether anything changed. */
	readonly update: (entries: readonly ServerEntry[]) => boolean;
	readonly since: (place: number) => FeedDelta;
	readonly place: () => number;
};

/** Removals that are remembered; who asks from before them gets everything. */
const LARGEST_MEMORY = 500;

/** Converts an entry for sending. */
export function toFeedEntry(entry: ServerEntry): FeedEntry {
	return {...entry, versions: Object.fromEntries(entry.versions)};
}

/** Converts a received entry. */
export function fromFeedEntry(entry: FeedEntry): ServerEntry {
	return {...entry, versions: new Map(Object.entries(entry.versions))};
}

/** The parts of an entry that matter to others: its count of writes is not among them. */
function describe(entry: ServerEntry): string {
	return JSON.stringify({...toFeedEntry(entry), sequence: undefined});
}

/** Creates an empty log. */
export function createFeedLog(): FeedLog {
	const known = new Map<string, {readonly entry: ServerEntry; readonly text: string; readonly place: number}>();
	let removals: ReadonlyArray<{readonly id: string; readonly place: number}> = [];
	let place = 0;
	let oldest = 0;

	function remove(id: string): void {
		place += 1;
		known.delete(id);
		removals = [...removals, {id, place}];
		const dropped = removals.length > LARGEST_MEMORY ? removals[0] : undefined;
		if (dropped !== undefined) {
			oldest = dropped.place;
			removals = removals.slice(1);
		}
	}

	return {
		update(entries) {
			const before = place;
			const ids = new Set(entries.map(entry => entry.id));
			[...known.keys()].filter(id => !ids.has(id)).forEach(remove);
			entries.forEach(entry => {
				const text = describe(entry);
				if (known.get(entry.id)?.text !== text) {
					place += 1;
					known.set(entry.id, {entry, text, place});
				}
			});
			return place !== before;
		},
		since(from) {
			const isWhole = from < oldest || from > place;
			return {
				place,
				isWhole,
				entries: [...known.values()].filter(value => isWhole || value.place > from).map(value => toFeedEntry(value.entry)),
				removed: isWhole ? [] : removals.filter(removal => removal.place > from && !known.has(removal.id)).map(removal => removal.id),
			};
		},
		place: () => place,
	};
}
