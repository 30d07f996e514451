/**
 * Writes the claims of one shard: many in one conditional write. The chain of conditional writes, not the lease, decides
 * who may grant: a new owner rewrites the open generation before it grants, so that writes of the old one conflict.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, wrapFailure, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, WriteId} from '../../adapters/common/store.js';
import type {ClaimBook, ClaimWrite} from '../common/claim-book.js';
import {generationPrefix, type ClaimRecord} from '../common/claim-record.js';

/** The log of one shard's claims. */
export type ClaimLog = {
	/**
	 * Adds a record; resolves once it is durable. The effect of a failure is that of the write: a claim with effect
	 * `outcomeUnknown` may be in the store, but was not granted. The failure is a `conflict` when the key turned out to be
	 * taken, or the claim to be settled, once the store was read.
	 */
	readonly append: (record: ClaimRecord) => Promise<Result<void, Failure>>;
	/** Makes the log read the store again before its next write. */
	readonly reload: () => void;
	/** Reads the store now if that is due. */
	readonly ready: () => Promise<Result<void, Failure>>;
	/** Removes generations that are past retention. */
	readonly removeExpired: (wallNow: number) => Promise<void>;
};

/** What the log rests on. */
export type ClaimLogParts = {
	readonly shard: number;
	readonly store: Store;
	readonly book: ClaimBook;
	readonly nextWriteId: () => WriteId;
};

type Pending = {
	readonly record: ClaimRecord;
	readonly settle: (result: Result<void, Failure>) => void;
};

const LOAD_ATTEMPTS = 3;
const RETRY_AFTER_MS = 2000;
/** Records in one write. */
const LARGEST_BATCH = 100;
const LONGEST_QUEUE = 2000;

/** Creates a log that reads the store before its first write. */
export function createClaimLog(parts: ClaimLogParts): ClaimLog {
	const {shard, store, book} = parts;
	const origin = {step: 'write claims', peer: `shard ${shard}`};
	const pending: Pending[] = [];
	let loaded = false;
	let busy = false;
	let tail: Promise<unknown> = Promise.resolve();

	async function write(prepared: ClaimWrite): Promise<Result<void, Failure>> {
		const written = await writeSettled(store, {
			kind: 'claims', name: prepared.name, value: JSON.stringify(prepared.value), ifVersion: prepared.ifVersion, writeId: parts.nextWriteId(),
		});
		return written.andThen(object => {
			book.written(prepared, object.version);
			return ok();
		});
	}

	async function load(attemptsLeft: number): Promise<Result<void, Failure>> {
		const listed = await store.list('claims', generationPrefix(shard));
		if (listed.isErr()) {
			return err(listed.error);
		}

		book.load(listed.value);
		// Rewriting the open generation makes writes of an earlier owner conflict from here on.
		const fenced = await write(book.prepare([]));
		if (fenced.isErr()) {
			return fenced.error.code === 'conflict' && attemptsLeft > 1 ? load(attemptsLeft - 1) : err(fenced.error);
		}

		loaded = true;
		return ok();
	}

	/** Runs one action on the store at a time. */
	async function exclusive<T>(action: () => Promise<T>): Promise<T> {
		const result = tail.then(action);
		tail = result;
		return result;
	}

	async function loadIfDue(): Promise<Result<void, Failure>> {
		return loaded ? ok() : load(LOAD_ATTEMPTS);
	}

	/** A claim needs a free key, an outcome the claim that it belongs to. */
	function mayAppend(record: ClaimRecord): boolean {
		const known = book.find(record.key);
		const isClaim = record.outcome === undefined && record.freed === undefined;
		const isFree = known === undefined || known.freed === true;
		return isClaim
			? isFree || (known.claimId === record.claimId && known.outcome === undefined)
			: known?.claimId === record.claimId && known.outcome === undefined;
	}

	/** Splits off what must not be written, and all but the first record of each key. */
	function select(batch: readonly Pending[]): readonly Pending[] {
		return batch.filter((entry, position) => {
			const isFirst = batch.findIndex(other => other.record.key === entry.record.key) === position;
			return isFirst && mayAppend(entry.record);
		});
	}

	async function writeRecords(records: readonly ClaimRecord[]): Promise<Result<void, Failure>> {
		const prepared = book.prepare(records);
		const written = await write(prepared);
		if (written.isErr()) {
			// Whatever the reason, only the store knows now what is in force.
			loaded = false;
			return err(written.error);
		}

		return prepared.added.length > 0 ? ok() : writeRecords(records);
	}

	function finish(batch: readonly Pending[], result: Result<void, Failure>): void {
		batch.forEach(entry => {
			entry.settle(result.mapErr(failure => ({
				...wrapFailure(failure, origin), code: 'unavailable', retryAfterMs: RETRY_AFTER_MS,
			})));
		});
	}

	async function writeBatch(batch: readonly Pending[]): Promise<void> {
		const prepared = await loadIfDue();
		if (prepared.isErr()) {
			finish(batch, err(prepared.error));
			return;
		}

		const selected = select(batch);
		batch.filter(entry => !selected.includes(entry)).forEach(entry => {
			entry.settle(err(createNotRun('conflict', origin, 'the key is taken or the claim is settled')));
		});
		if (selected.length > 0) {
			finish(selected, await writeRecords(selected.map(entry => entry.record)));
		}
	}

	async function pump(): Promise<void> {
		if (busy || pending.length === 0) {
			return;
		}

		busy = true;
		await exclusive(async () => writeBatch(pending.splice(0, LARGEST_BATCH)));
		busy = false;
		await pump();
	}

	return {
		async append(record) {
			if (pending.length >= LONGEST_QUEUE) {
				return err(createNotRun('overloaded', origin, 'too many claims wait for the store', RETRY_AFTER_MS));
			}

			return new Promise(resolve => {
				pending.push({record, settle: resolve});
				void pump();
			});
		},
		reload() {
			loaded = false;
		},
		ready: async () => loaded ? ok() : exclusive(loadIfDue),
		async removeExpired(wallNow) {
			if (!loaded || busy) {
				return;
			}

			const [oldest] = book.expired(wallNow);
			if (oldest === undefined) {
				return;
			}

			await exclusive(async () => {
				const removed = await store.remove({kind: 'claims', name: oldest.name, ifVersion: oldest.version});
				if (removed.isOk()) {
					book.removed(oldest.name);
				}
			});
		},
	};
}
