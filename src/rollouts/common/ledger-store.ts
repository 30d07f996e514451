/**
 * Reads and writes one trainer's ledger for the owner of the trainer. Every write is conditional on the object version that
 * this owner read or wrote last, and contains its fencing number. The first write of a new owner claims the ledger, so that
 * every later write of a previous owner conflicts, however late it arrives.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, wrapFailure, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store} from '../../adapters/common/store.js';
import {
	decodeLedger, emptyLedger, encodeLedger, type Ledger,
} from './ledger.js';

/** Reads and writes a ledger. Calls must not run concurrently. */
export type LedgerStore = {
	/** Claims the ledger for this fencing number and returns it; fails with `fenced` when a later owner has claimed it. */
	readonly open: (fencing: number) => Promise<Result<Ledger, Failure>>;
	/** Writes a changed ledger. After a failure, the ledger must be opened again before the next change. */
	readonly commit: (ledger: Ledger) => Promise<Result<Ledger, Failure>>;
};

/** The function that writes to the store; tests replace it by one that ignores the version condition. */
export type LedgerWriter = typeof writeSettled;

type Cached = {
	readonly ledger: Ledger;
	readonly version: number;
};

const RETRY_AFTER_MS = 1000;

/** Creates the store of one trainer's ledger. `writer` identifies this daemon and its incarnation in write ids. */
export function createLedgerStore(store: Store, trainer: string, writer: string, write: LedgerWriter = writeSettled): LedgerStore {
	const id = {kind: 'ledger', name: trainer} as const;
	const origin = {step: 'write ledger', peer: trainer};
	let cached: Cached | undefined;
	let writes = 0;

	async function writeIfVersion(ledger: Ledger, ifVersion: number): Promise<Result<Ledger, Failure>> {
		writes += 1;
		cached = undefined;
		const written = await write(store, {
			...id, value: encodeLedger(ledger), ifVersion, writeId: {writer, sequence: `ledger-${writes}`},
		});
		return written.map(object => {
			cached = {ledger, version: object.version};
			return ledger;
		}).mapErr(failure => ({...wrapFailure(failure, origin), retryAfterMs: RETRY_AFTER_MS}));
	}

	async function claim(fencing: number): Promise<Result<Ledger, Failure>> {
		const found = await store.read(id);
		if (found.isErr()) {
			return err({...wrapFailure(found.error, {step: 'read ledger', peer: trainer}), retryAfterMs: RETRY_AFTER_MS});
		}

		const ledger = found.value === undefined ? emptyLedger : decodeLedger(found.value.value);
		if (ledger.fencing > fencing) {
			return err(createNotRun('fenced', origin, `the ledger is claimed with the newer fencing number ${ledger.fencing}, own number ${fencing}`));
		}

		// Claims also a ledger that has this fencing number already, because an earlier write of this owner may still arrive.
		return writeIfVersion({...ledger, fencing}, found.value?.version ?? 0);
	}

	return {
		open: async fencing => cached?.ledger.fencing === fencing ? ok(cached.ledger) : claim(fencing),
		async commit(ledger) {
			return cached === undefined
				? err(createNotRun('conflict', origin, 'the ledger must be opened before a write'))
				: writeIfVersion(ledger, cached.version);
		},
	};
}
