/** Groups audit entries into batches. Each batch is one stored object, whose name starts with the hour of its entries. */
import type {AuditEntry} from './audit.js';

/** The entries of one stored object. Its name is unique, so writing a batch again is harmless. */
export type AuditBatch = {
	readonly name: string;
	readonly entries: readonly AuditEntry[];
};

/** Entries waiting to be written. */
export type AuditQueue = {
	readonly add: (entries: readonly AuditEntry[]) => void;
	/** Batches to write now. Each is returned again until it is marked as written. */
	readonly batches: () => readonly AuditBatch[];
	readonly markWritten: (name: string) => void;
	readonly waiting: () => readonly AuditEntry[];
	/** Entries dropped so far because too many were waiting. */
	readonly dropped: () => number;
};

/** Maximum entries in one object, which keeps its value far below the store's limit. */
const ENTRIES_PER_BATCH = 500;

/** Maximum entries waiting to be written, for example while the store is unavailable. */
const MAXIMUM_WAITING_ENTRIES = 20_000;

const HOUR_MS = 3_600_000;

/** Returns the name prefix of the batches whose entries were recorded in the hour of a wall time. */
export function hourPrefixOf(wallMs: number): string {
	return new Date(wallMs).toISOString().slice(0, 'YYYY-MM-DDTHH'.length);
}

/** Lists the name prefixes of the hours from one wall time to another, both included. */
export function listHours(fromMs: number, toMs: number): readonly string[] {
	const first = Math.floor(fromMs / HOUR_MS);
	const count = Math.max(0, Math.floor(toMs / HOUR_MS) - first + 1);
	return Array.from({length: count}, (_, index) => hourPrefixOf((first + index) * HOUR_MS));
}

function groupByHour(entries: readonly AuditEntry[]): ReadonlyMap<string, readonly AuditEntry[]> {
	const groups = new Map<string, readonly AuditEntry[]>();
	entries.forEach(entry => {
		const hour = hourPrefixOf(entry.at);
		groups.set(hour, [...(groups.get(hour) ?? []), entry]);
	});
	return groups;
}

function splitIntoChunks(entries: readonly AuditEntry[]): ReadonlyArray<readonly AuditEntry[]> {
	const count = Math.ceil(entries.length / ENTRIES_PER_BATCH);
	return Array.from({length: count}, (_, index) => entries.slice(index * ENTRIES_PER_BATCH, (index + 1) * ENTRIES_PER_BATCH));
}

/** Creates an empty queue. `writer` makes the names of its batches unique over the fleet. */
export function createAuditQueue(writer: string): AuditQueue {
	let unbatched: readonly AuditEntry[] = [];
	let batches: readonly AuditBatch[] = [];
	let lastBatchNumber = 0;
	let dropped = 0;

	function createBatch(hour: string, entries: readonly AuditEntry[]): AuditBatch {
		lastBatchNumber += 1;
		return {name: `${hour}.${writer}.${lastBatchNumber}`, entries};
	}

	function countWaiting(): number {
		return batches.reduce((sum, batch) => sum + batch.entries.length, unbatched.length);
	}

	function dropOldest(): void {
		const [oldest, ...others] = batches;
		if (oldest && countWaiting() > MAXIMUM_WAITING_ENTRIES) {
			batches = others;
			dropped += oldest.entries.length;
			dropOldest();
		}
	}

	return {
		add(entries) {
			unbatched = [...unbatched, ...entries];
			if (unbatched.length >= ENTRIES_PER_BATCH) {
				this.batches();
			}
		},
		batches() {
			const created = [...groupByHour(unbatched)].flatMap(([hour, entries]) => splitIntoChunks(entries).map(chunk => createBatch(hour, chunk)));
			unbatched = [];
			batches = [...batches, ...created];
			dropOldest();
			return batches;
		},
		markWritten(name) {
			batches = batches.filter(batch => batch.name !== name);
		},
		waiting: () => [...batches.flatMap(batch => batch.entries), ...unbatched],
		dropped: () => dropped,
	};
}
