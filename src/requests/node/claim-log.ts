/**
 * Writes the claims of one shard, many in one conditional write. The sequence of conditional writes, not the lease, decides
 * which daemon may grant: a new owner rewrites the open generation before it grants, so that writes of the old owner conflict.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, wrapFailure, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, WriteId} from '../../adapters/common/store.js';
import type {ClaimTable, ClaimWrite} from '../common/claim-table.js';
import {generationPrefix, type ClaimRecord} from '../common/claim-record.js';

/** The log of one shard's claims. */
export type ClaimLog = {
	/**
	 * Appends a record; resolves once it is durable. A failure has the effect of the write: a claim that fails with effect
	 * `outcomeUnknown` may be in the store, but was not granted. Fails with `conflict` when the records read from the store
	 * show that the key is already claimed or the claim already settled.
	 */
	readonly append: (record: ClaimRecord) => Promise<Result<void, Failure>>;
	/** Makes the log read the store again before its next write. */
	readonly reload: () => void;
	/** Reads the store if it has not been read since the start or the last `reload`. */
	readonly ready: () => Promise<Result<void, Failure>>;
	/** Removes the oldest generation whose claims are all older than the retention time. */
	readonly removeExpired: (wallNow: number) => Promise<void>;
};

/** Dependencies of a claim log. */
export type ClaimLogDependencies = {
	readonly shard: number;
	readonly store: Store;
	readonly table: ClaimTable;
	readonly nextWriteId: () => WriteId;
};

type Pending = {
	readonly record: ClaimRecord;
	readonly settle: (result: Result<void, Failure>) => void;
};

const LOAD_ATTEMPTS = 3;
const RETRY_AFTER_MS = 2000;
/** Maximum number of records in one write. */
const MAXIMUM_BATCH_RECORDS = 100;
const MAXIMUM_PENDING_RECORDS = 2000;

/** Creates a log that reads the store before its first write. */
export function createClaimLog(dependencies: ClaimLogDependencies): ClaimLog {
	const {shard, store, table} = dependencies;
	const origin = {step: 'write claims', peer: `shard ${shard}`};
	const pending: Pending[] = [];
	let isLoaded = false;
	let isWriting = false;
	let lastAction: Promise<unknown> = Promise.resolve();

	async function write(prepared: ClaimWrite): Promise<Result<void, Failure>> {
		const written = await writeSettled(store, {
			kind: 'claims', name: prepared.name, value: JSON.stringify(prepared.value), ifVersion: prepared.ifVersion, writeId: dependencies.nextWriteId(),
		});
		return written.andThen(object => {
			table.written(prepared, object.version);
			return ok();
		});
	}

	async function load(attemptsLeft: number): Promise<Result<void, Failure>> {
		const listed = await store.list('claims', generationPrefix(shard));
		if (listed.isErr()) {
			return err(listed.error);
		}

		table.load(listed.value);
		// Rewriting the open generation makes later writes of an earlier owner conflict.
		const fenced = await write(table.prepare([]));
		if (fenced.isErr()) {
			return fenced.error.code === 'conflict' && attemptsLeft > 1 ? load(attemptsLeft - 1) : err(fenced.error);
		}

		isLoaded = true;
		return ok();
	}

	/** Runs an action after all earlier ones, so that only one at a time uses the store. */
	async function exclusive<T>(action: () => Promise<T>): Promise<T> {
		const result = lastAction.then(action);
		lastAction = result;
		return result;
	}

	async function loadIfNeeded(): Promise<Result<void, Failure>> {
		return isLoaded ? ok() : load(LOAD_ATTEMPTS);
	}

	/** A claim may be appended when its key is free, an outcome when its own claim is recorded and not settled. */
	function mayAppend(record: ClaimRecord): boolean {
		const known = table.find(record.key);
		const isClaim = record.outcome === undefined && record.freed === undefined;
		const isFree = known === undefined || known.freed === true;
		return isClaim
			? isFree || (known.claimId === record.claimId && known.outcome === undefined)
			: known?.claimId === record.claimId && known.outcome === undefined;
	}

	/** Selects the first record of each key, without records that must not be written. */
	function selectWritable(batch: readonly Pending[]): readonly Pending[] {
		return batch.filter((entry, position) => {
			const isFirst = batch.findIndex(other => other.record.key === entry.record.key) === position;
			return isFirst && mayAppend(entry.record);
		});
	}

	async function writeRecords(records: readonly ClaimRecord[]): Promise<Result<void, Failure>> {
		const prepared = table.prepare(records);
		const written = await write(prepared);
		if (written.isErr()) {
			// Whatever the failure, the table may no longer match the store, so the store is read again.
			isLoaded = false;
			return err(written.error);
		}

		return prepared.added.length > 0 ? ok() : writeRecords(records);
	}

	function settleAll(batch: readonly Pending[], result: Result<void, Failure>): void {
		batch.forEach(entry => {
			entry.settle(result.mapErr(failure => ({
				...wrapFailure(failure, origin), code: 'unavailable', retryAfterMs: RETRY_AFTER_MS,
			})));
		});
	}

	async function writeBatch(batch: readonly Pending[]): Promise<void> {
		const prepared = await loadIfNeeded();
		if (prepared.isErr()) {
			settleAll(batch, err(prepared.error));
			return;
		}

		const selected = selectWritable(batch);
		batch.filter(entry => !selected.includes(entry)).forEach(entry => {
			entry.settle(err(createNotRun('conflict', origin, 'the key is already claimed or the claim is already settled')));
		});
		if (selected.length > 0) {
			settleAll(selected, await writeRecords(selected.map(entry => entry.record)));
		}
	}

	async function writePending(): Promise<void> {
		if (isWriting || pending.length === 0) {
			return;
		}

		isWriting = true;
		await exclusive(async () => writeBatch(pending.splice(0, MAXIMUM_BATCH_RECORDS)));
		isWriting = false;
		await writePending();
	}

	return {
		async append(record) {
			if (pending.length >= MAXIMUM_PENDING_RECORDS) {
				return err(createNotRun('overloaded', origin, 'too many claims wait for the store', RETRY_AFTER_MS));
			}

			return new Promise(resolve => {
				pending.push({record, settle: resolve});
				void writePending();
			});
		},
		reload() {
			isLoaded = false;
		},
		ready: async () => isLoaded ? ok() : exclusive(loadIfNeeded),
		async removeExpired(wallNow) {
			if (!isLoaded || isWriting) {
				return;
			}

			const [oldest] = table.expired(wallNow);
			if (oldest === undefined) {
				return;
			}

			await exclusive(async () => {
				const removed = await store.remove({kind: 'claims', name: oldest.name, ifVersion: oldest.version});
				if (removed.isOk()) {
					table.removed(oldest.name);
				}
			});
		},
	};
}
