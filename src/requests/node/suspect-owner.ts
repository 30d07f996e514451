/** Stores the crashes of the shards that this daemon owns, and reads those that other owners have stored. */
import type {Clock} from '../../base/common/clock.js';
import {shardOf} from '../../leases/common/shards.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, StoredObject, WriteId} from '../../adapters/common/store.js';
import {suspectRecord} from '../common/suspect-record.js';
import type {Crash, SuspectTable} from '../common/suspect-table.js';

/** The owner's interface for suspects. */
export type SuspectOwner = {
	/** Queues crashes of one shard and writes them; resolves when they are durable or the write has failed. */
	readonly persist: (shard: number, crashes: readonly Crash[]) => Promise<void>;
	/** Writes the crashes that earlier writes failed to store. */
	readonly flush: () => Promise<void>;
	/** Reads the crashes that all owners have stored. */
	readonly readAll: () => Promise<void>;
};

/** Dependencies of a suspect owner. */
export type SuspectOwnerDependencies = {
	readonly shardCount: number;
	readonly store: Store;
	readonly table: SuspectTable;
	readonly clock: Clock;
	readonly nextWriteId: () => WriteId;
};

/** Maximum number of crashes in one object; the oldest are dropped first. */
const MAXIMUM_CRASHES_PER_OBJECT = 4000;

function parseRecord(object: StoredObject | undefined): readonly Crash[] {
	return object === undefined ? [] : suspectRecord.parse(JSON.parse(object.value)).crashes;
}

/** Merges crashes by id; the later entry replaces the earlier one, but `acquitted` never changes back to false. */
function merge(stored: readonly Crash[], added: readonly Crash[]): readonly Crash[] {
	const merged = new Map(stored.map(crash => [crash.crashId, crash]));
	added.forEach(crash => {
		merged.set(crash.crashId, {...crash, acquitted: crash.acquitted || (merged.get(crash.crashId)?.acquitted ?? false)});
	});
	return [...merged.values()].slice(-MAXIMUM_CRASHES_PER_OBJECT);
}

/** Creates an owner with nothing to write. */
export function createSuspectOwner(dependencies: SuspectOwnerDependencies): SuspectOwner {
	const {store, table, clock, nextWriteId} = dependencies;
	const pending = new Map<number, readonly Crash[]>();
	const writing = new Set<number>();

	async function write(shard: number): Promise<void> {
		const crashes = pending.get(shard) ?? [];
		if (crashes.length === 0 || writing.has(shard)) {
			return;
		}

		writing.add(shard);
		const id = {kind: 'suspects', name: `shard-${String(shard).padStart(4, '0')}`} as const;
		const found = await store.read(id);
		const written = found.isErr()
			? found
			: await writeSettled(store, {
				...id, value: JSON.stringify({crashes: merge(parseRecord(found.value), crashes)}), ifVersion: found.value?.version ?? 0, writeId: nextWriteId(),
			});
		writing.delete(shard);
		if (written.isOk()) {
			pending.set(shard, (pending.get(shard) ?? []).filter(crash => !crashes.includes(crash)));
			// Crashes queued during this write did not start a write of their own.
			await write(shard);
		}
	}

	return {
		async persist(shard, crashes) {
			pending.set(shard, [...pending.get(shard) ?? [], ...crashes]);
			await write(shard);
		},
		async flush() {
			await Promise.all([...pending.keys()].map(write));
		},
		async readAll() {
			const listed = await store.list('suspects', '');
			listed.unwrapOr([]).forEach(object => {
				table.add(parseRecord(object), clock.monotonic());
			});
		},
	};
}

/** Groups crashes by the shard that stores them. */
export function groupByShard(crashes: readonly Crash[], shardCount: number): ReadonlyArray<{readonly shard: number; readonly crashes: readonly Crash[]}> {
	const shards = [...new Set(crashes.map(crash => shardOf('suspect', crash.fingerprint, shardCount)))];
	return shards.map(shard => ({shard, crashes: crashes.filter(crash => shardOf('suspect', crash.fingerprint, shardCount) === shard)}));
}
