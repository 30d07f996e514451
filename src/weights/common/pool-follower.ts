/** Replicates the versions of a pool that another daemon owns; reads only the changes since the last read. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createVersionTable, type VersionChanges, type VersionTable} from './version-table.js';

/**
 * Reads the changes of a pool's versions from the owner of the pool. `book` is the id of the owner's table. Undefined when the
 * owner is unknown, or when the called daemon does not own the pool.
 */
export type VersionChangesReader = (pool: string, position: {readonly book: string; readonly revision: number}) => Promise<Result<VersionChanges | undefined, Failure>>;

/** The local copy of one pool's versions. */
export type PoolFollower = {
	readonly versionTable: VersionTable;
	/** Reads the changes once and returns the models that changed; returns none when the read fails. */
	readonly run: (now: number) => Promise<readonly string[]>;
	/** Whether the copy was read recently enough to choose engines by it. */
	readonly isFresh: (now: number) => boolean;
};

/** A copy older than this is not used, because engines may have loaded another version in the meantime. */
const FRESHNESS_MS = 30_000;

/** Creates a follower. */
export function createPoolFollower(pool: string, readChanges: VersionChangesReader): PoolFollower {
	const versionTable = createVersionTable('');
	let readAt = Number.NEGATIVE_INFINITY;
	return {
		versionTable,
		async run(now) {
			const changes = await readChanges(pool, versionTable.position());
			if (changes.isErr() || changes.value === undefined) {
				return [];
			}

			readAt = now;
			return versionTable.apply(changes.value);
		},
		isFresh: now => now - readAt <= FRESHNESS_MS,
	};
}
