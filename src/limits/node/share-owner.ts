/** Divides the grants of the plans whose shards this daemon owns among the daemons. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Holding, Shards} from '../../leases/common/shards.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, WriteId} from '../../adapters/common/store.js';
import type {RenewalResponse} from '../common/share-holder.js';
import {createShareLedger, type Renewal, type ShareLedger} from '../common/share-ledger.js';

/** The shares of the shards that this daemon owns. */
export type ShareOwner = {
	/** Applies a renewal. Code `notOwner` without the shard's lease, `unavailable` until its shares are read from the store. */
	readonly renew: (shard: number, renewal: Renewal) => Result<RenewalResponse, Failure>;
	/** Opens shards for which renewals arrived, divides the grants of open shards again and writes changes. Must be called often. */
	readonly tick: () => Promise<void>;
	/** Drops the state of a shard, so that it is read from the store again. */
	readonly invalidate: (shard: number) => void;
	/** Holders that have not renewed for longer than `SILENT_AFTER_MS` of the share ledger. */
	readonly silent: () => readonly string[];
	/** Releases the shares of a daemon; only for a daemon that certainly no longer runs. */
	readonly removeHolder: (daemonId: string) => void;
};

/** Dependencies of the owner. */
export type ShareOwnerDependencies = {
	readonly shards: Pick<Shards, 'holding'>;
	readonly store: Store;
	readonly clock: Clock;
	/** Time after which a share expires that is not renewed. */
	readonly ttlMs: number;
	readonly nextWriteId: () => WriteId;
};

type OpenShard = {
	readonly ledger: ShareLedger;
	readonly version: number;
	readonly fencing: number;
};

/** Margin on the expiry of shares, because the clocks of holder and owner may run at slightly different rates. */
const CLOCK_RATE_MARGIN_FACTOR = 1.02;

function objectNameOf(shard: number): string {
	return `shard-${String(shard).padStart(4, '0')}`;
}

/** Creates an owner that has not read any shard yet. */
export function createShareOwner(dependencies: ShareOwnerDependencies): ShareOwner {
	const {shards, store, clock, nextWriteId} = dependencies;
	const openShards = new Map<number, OpenShard>();
	const requestedShards = new Set<number>();
	let isTicking = false;

	async function write(shard: number, value: string, ifVersion: number): Promise<Result<number, Failure>> {
		const written = await writeSettled(store, {
			kind: 'grants', name: objectNameOf(shard), value, ifVersion, writeId: nextWriteId(),
		});
		return written.map(object => object.version);
	}

	/** Reads the shares and writes them back, so that later writes of an earlier owner fail with a conflict. */
	async function openShard(holding: Holding): Promise<void> {
		const {shard, fencing} = holding;
		const found = await store.read({kind: 'grants', name: objectNameOf(shard)});
		if (found.isErr()) {
			return;
		}

		const value = found.value?.value ?? '{"grants":{}}';
		const version = await write(shard, value, found.value?.version ?? 0);
		if (version.isErr()) {
			return;
		}

		const ledger = createShareLedger(dependencies.ttlMs * CLOCK_RATE_MARGIN_FACTOR);
		ledger.load(value, clock.monotonic());
		openShards.set(shard, {ledger, version: version.value, fencing});
	}

	async function divide(shard: number, known: OpenShard): Promise<void> {
		const record = known.ledger.plan(clock.monotonic());
		if (record === undefined) {
			return;
		}

		const version = await write(shard, JSON.stringify(record), known.version);
		if (openShards.get(shard) !== known) {
			return;
		}

		if (version.isErr()) {
			// After a failed write only the store knows what is reserved, so the shard is read again.
			openShards.delete(shard);
			return;
		}

		known.ledger.written(record);
		openShards.set(shard, {...known, version: version.value});
	}

	async function tickShard(shard: number): Promise<void> {
		const holding = shards.holding(shard, clock.monotonic());
		const known = openShards.get(shard);
		if (holding === undefined || (known && known.fencing !== holding.fencing)) {
			openShards.delete(shard);
		}

		if (holding === undefined) {
			requestedShards.delete(shard);
			return;
		}

		const current = openShards.get(shard);
		await (current ? divide(shard, current) : openShard(holding));
	}

	return {
		renew(shard, renewal) {
			const now = clock.monotonic();
			const holding = shards.holding(shard, now);
			if (holding) {
				requestedShards.add(shard);
			}

			const known = openShards.get(shard);
			if (holding === undefined || known?.fencing !== holding.fencing) {
				const message = holding ? 'the owner has not read the shares from the store yet' : 'this daemon does not own the shard';
				return err(createNotRun(holding ? 'unavailable' : 'notOwner', {step: 'renew shares', peer: objectNameOf(shard)}, message));
			}

			return ok({fencing: holding.fencing, shares: known.ledger.renew(renewal, now)});
		},
		async tick() {
			if (isTicking) {
				return;
			}

			isTicking = true;
			await Promise.all([...requestedShards].map(tickShard));
			isTicking = false;
		},
		invalidate(shard) {
			openShards.delete(shard);
		},
		silent: () => [...new Set([...openShards.values()].flatMap(known => known.ledger.silent(clock.monotonic())))],
		removeHolder(daemonId) {
			[...openShards.values()].forEach(known => {
				known.ledger.removeHolder(daemonId);
			});
		},
	};
}
