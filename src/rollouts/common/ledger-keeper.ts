/**
 * Reads and writes one trainer's ledger for the owner of the trainer. Every write is conditional on the version that
 * this owner saw last and carries its fencing number. The first write of a new owner claims the ledger, so that from then
 * on every write of a former owner conflicts, however late it arrives.
 */
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, wrapFailure, type Failure} from '../../base/common/failure.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store} from '../../adapters/common/store.js';
import {
	decodeLedger, emptyLedger, encodeLedger, type Ledger,
} from './ledger.js';

/** Reads and writes a ledger. Calls must not overlap. */
export type LedgerKeeper = {
	/** Returns the ledger, claimed for this fencing number; `fenced` when a later owner has claimed it. */
	readonly open: (fencing: number) => Promise<Result<Ledger, Failure>>;
	/** Writes a changed ledger; after any failure the ledger must be opened again before the next change. */
	readonly commit: (ledger: Ledger) => Promise<Result<Ledger, Failure>>;
};

/** How a keeper writes; tests pass a writer without the condition. */
export type LedgerWriter = typeof writeSettled;

type Cached = {
	readonly ledger: Ledger;
	readonly version: number;
};

const RETRY_AFTER_MS = 1000;

/** Creates the keeper of one trainer's ledger. `writer` names this daemon and its incarnation in write ids. */
export function createLedgerKeeper(store: Store, trainer: string, writer: string, write: LedgerWriter = writeSettled): LedgerKeeper {
	const id = {kind: 'ledger', name: trainer} as const;
	const origin = {step: 'write ledger', peer: trainer};
	let cached: Cached | undefined;
	let writes = 0;

	async function writeAt(ledger: Ledger, ifVersion: number): Promise<Result<Ledger, Failure>> {
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
			return err(createNotRun('fenced', origin, `owner ${ledger.fencing} has claimed the ledger after ${fencing}`));
		}

		// A claim by the same number is renewed as well: the last write of this owner may still be on its way.
		return writeAt({...ledger, fencing}, found.value?.version ?? 0);
	}

	return {
		open: async fencing => cached?.ledger.fencing === fencing ? ok(cached.ledger) : claim(fencing),
		async commit(ledger) {
			return cached === undefined
				? err(createNotRun('conflict', origin, 'the ledger was not opened'))
				: writeAt(ledger, cached.version);
		},
	};
}
