/** Follows the versions of a pool that another daemon owns, reading only what has changed. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createVersionBook, type BookChanges, type VersionBook} from './version-book.js';

/** Reads the changes of a pool's book from its owner; undefined when the owner is unknown or denies it. */
export type BookSource = (pool: string, position: {readonly book: string; readonly revision: number}) => Promise<Result<BookChanges | undefined, Failure>>;

/** A follower of one pool. */
export type PoolFollower = {
	readonly book: VersionBook;
	/** Reads the changes once; returns the models that changed. */
	readonly run: (now: number) => Promise<readonly string[]>;
	/** Whether the book was read recently enough to choose engines by it. */
	readonly isFresh: (now: number) => boolean;
};

/** A book that could not be read for this long may name engines that have since gone to another version. */
const FRESH_MS = 30_000;

/** Creates a follower. */
export function createPoolFollower(pool: string, readChanges: BookSource): PoolFollower {
	const book = createVersionBook('');
	let readAt = Number.NEGATIVE_INFINITY;
	return {
		book,
		async run(now) {
			const changes = await readChanges(pool, book.position());
			if (changes.isErr() || changes.value === undefined) {
				return [];
			}

			readAt = now;
			return book.apply(changes.value);
		},
		isFresh: now => now - readAt <= FRESH_MS,
	};
}
