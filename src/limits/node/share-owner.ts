/** Divides the grants of the plans whose shards this daemon owns. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Holding, Shards} from '../../leases/common/shards.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, WriteId} from '../../adapters/common/store.js';
import type {ShareAnswer} from '../common/share-holder.js';
import {createShareLedger, type Renewal, type ShareLedger} from '../common/share-ledger.js';

/** The owner's side of shares. */
export type ShareOwner = {
	/** `notOwner` while this daemon may not give shares of the shard. */
	readonly renew: (shard: number, renewal: Renewal) => Result<ShareAnswer, Failure>;
	/** Reads what is due, divides anew and writes what changed. Run it often. */
	readonly tick: () => Promise<void>;
	/** Drops what is known of a shard, so that the store is read again. */
	readonly drop: (shard: number) => void;
	/** Holders that have not renewed for a while. */
	readonly silent: () => readonly string[];
	/** Frees what a daemon held that certainly does not run any more. */
	readonly forget: (daemonId: string) => void;
};

/** What the owner rests on. */
export type ShareOwnerParts = {
	readonly shards: Pick<Shards, 'holding'>;
	readonly store: Store;
	readonly clock: Clock;
	/** Time after which a share ends that is not renewed. */
	readonly endMs: number;
	readonly nextWriteId: () => WriteId;
};

type Open = {
	readonly ledger: ShareLedger;
	readonly version: number;
	readonly fencing: number;
};

/** Clocks of holder and owner may run at slightly different rates. */
const CLOCK_RATE_MARGIN = 1.02;

function nameOf(shard: number): string {
	return `shard-${String(shard).padStart(4, '0')}`;
}

/** Creates an owner that has read nothing yet. */
export function createShareOwner(parts: ShareOwnerParts): ShareOwner {
	const {shards, store, clock, nextWriteId} = parts;
	const open = new Map<number, Open>();
	const wanted = new Set<number>();
	let ticking = false;

	async function write(shard: number, value: string, ifVersion: number): Promise<Result<number, Failure>> {
		const written = await writeSettled(store, {
			kind: 'grants', name: nameOf(shard), value, ifVersion, writeId: nextWriteId(),
		});
		return written.map(object => object.version);
	}

	/** Reads the shares and writes them back, so that writes of an earlier owner conflict from here on. */
	async function openShard(holding: Holding): Promise<void> {
		const {shard, fencing} = holding;
		const found = await store.read({kind: 'grants', name: nameOf(shard)});
		if (found.isErr()) {
			return;
		}

		const value = found.value?.value ?? '{"grants":{}}';
		const version = await write(shard, value, found.value?.version ?? 0);
		if (version.isErr()) {
			return;
		}

		const ledger = createShareLedger(parts.endMs * CLOCK_RATE_MARGIN);
		ledger.load(value, clock.monotonic());
		open.set(shard, {ledger, version: version.value, fencing});
	}

	async function divide(shard: number, known: Open): Promise<void> {
		const record = known.ledger.plan(clock.monotonic());
		if (record === undefined) {
			return;
		}

		const version = await write(shard, JSON.stringify(record), known.version);
		if (open.get(shard) !== known) {
			return;
		}

		if (version.isErr()) {
			// Only the store knows now what is reserved.
			open.delete(shard);
			return;
		}

		known.ledger.written(record);
		open.set(shard, {...known, version: version.value});
	}

	async function tickShard(shard: number): Promise<void> {
		const holding = shards.holding(shard, clock.monotonic());
		const known = open.get(shard);
		if (holding === undefined || (known && known.fencing !== holding.fencing)) {
			open.delete(shard);
		}

		if (holding === undefined) {
			wanted.delete(shard);
			return;
		}

		const current = open.get(shard);
		await (current ? divide(shard, current) : openShard(holding));
	}

	return {
		renew(shard, renewal) {
			const now = clock.monotonic();
			const holding = shards.holding(shard, now);
			if (holding) {
				wanted.add(shard);
			}

			const known = open.get(shard);
			if (holding === undefined || known?.fencing !== holding.fencing) {
				const message = holding ? 'the shares are not read yet' : 'this daemon does not own the shard';
				return err(createNotRun(holding ? 'unavailable' : 'notOwner', {step: 'renew shares', peer: nameOf(shard)}, message));
			}

			return ok({fencing: holding.fencing, shares: known.ledger.renew(renewal, now)});
		},
		async tick() {
			if (ticking) {
				return;
			}

			ticking = true;
			await Promise.all([...wanted].map(tickShard));
			ticking = false;
		},
		drop(shard) {
			open.delete(shard);
		},
		silent: () => [...new Set([...open.values()].flatMap(known => known.ledger.silent(clock.monotonic())))],
		forget(daemonId) {
			[...open.values()].forEach(known => {
				known.ledger.forget(daemonId);
			});
		},
	};
}
