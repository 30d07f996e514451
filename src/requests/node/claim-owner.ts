/** Grants and settles claims for the keys of the shards that this daemon owns. */
import {err, ok, type Result} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {Shards} from '../../leases/common/shards.js';
import type {Store, WriteId} from '../../adapters/common/store.js';
import {createClaimTable, type ClaimTable, type ClaimBounds} from '../common/claim-table.js';
import type {ClaimRecord} from '../common/claim-record.js';
import type {ClaimRequest, Outcome} from '../common/claims.js';
import {createClaimLog, type ClaimLog} from './claim-log.js';

/** The owner's result of a claim. */
export type OwnerVerdict
	= | {readonly kind: 'granted'; readonly windowMs: number}
		| {readonly kind: 'settled'; readonly outcome: Outcome}
		| {readonly kind: 'running'}
		| {readonly kind: 'mismatch'};

/** The owner's interface for claims. */
export type ClaimOwner = {
	/**
	 * Fails with `notOwner` when this daemon does not own the shard. A failure with effect `outcomeUnknown` means that the
	 * claim was not granted but may be in the store.
	 */
	readonly claim: (shard: number, request: ClaimRequest) => Promise<Result<OwnerVerdict, Failure>>;
	readonly settle: (shard: number, key: string, claimId: string, outcome: Outcome | undefined) => Promise<Result<void, Failure>>;
	/** Makes the owner read the store again before the next write to the shard; called when the lease was acquired. */
	readonly reloadShard: (shard: number) => void;
	readonly removeExpired: () => Promise<void>;
};

/** Dependencies of a claim owner. */
export type ClaimOwnerDependencies = {
	readonly shards: Pick<Shards, 'holding'>;
	readonly store: Store;
	readonly clock: Clock;
	readonly bounds: ClaimBounds;
	readonly nextWriteId: () => WriteId;
};

type ShardClaims = {
	readonly table: ClaimTable;
	readonly log: ClaimLog;
};

/** Creates an owner that has loaded no claims. */
export function createClaimOwner(dependencies: ClaimOwnerDependencies): ClaimOwner {
	const {shards, store, clock, bounds, nextWriteId} = dependencies;
	const claimsByShard = new Map<number, ShardClaims>();

	function claimsOf(shard: number): ShardClaims {
		const existing = claimsByShard.get(shard);
		if (existing) {
			return existing;
		}

		const table = createClaimTable(shard, bounds);
		const created = {
			table, log: createClaimLog({
				shard, store, table, nextWriteId,
			}),
		};
		claimsByShard.set(shard, created);
		return created;
	}

	function createNotOwner(shard: number): Failure {
		return createNotRun('notOwner', {step: 'claim key', peer: `shard ${shard}`}, 'this daemon does not own the shard');
	}

	function ownsShard(shard: number): boolean {
		return shards.holding(shard, clock.monotonic()) !== undefined;
	}

	/** Returns the verdict that the loaded records give. Settled outcomes never change, so they may be returned without holding the shard. */
	function findVerdict(shardClaims: ShardClaims, request: ClaimRequest): OwnerVerdict | undefined {
		const state = shardClaims.table.state(request, clock.wall());
		if (state.kind === 'free') {
			return undefined;
		}

		return state.kind === 'own' ? {kind: 'granted', windowMs: bounds.windowMs} : state;
	}

	async function grant(shardClaims: ShardClaims, request: ClaimRequest): Promise<Result<OwnerVerdict, Failure>> {
		const record: ClaimRecord = {
			key: request.key, bodyDigest: request.bodyDigest, claimId: request.claimId, claimedAt: clock.wall(), runForMs: request.runForMs,
		};
		const appended = await shardClaims.log.append(record);
		if (appended.isOk()) {
			return ok({kind: 'granted', windowMs: bounds.windowMs});
		}

		const other = appended.error.code === 'conflict' ? findVerdict(shardClaims, request) : undefined;
		return other ? ok(other) : err(appended.error);
	}

	return {
		async claim(shard, request) {
			if (!ownsShard(shard)) {
				const loaded = claimsByShard.get(shard);
				const verdict = loaded && findVerdict(loaded, request);
				return verdict && verdict.kind !== 'granted' ? ok(verdict) : err(createNotOwner(shard));
			}

			const shardClaims = claimsOf(shard);
			const ready = await shardClaims.log.ready();
			if (ready.isErr()) {
				return err(createNotRun('unavailable', {step: 'read claims', peer: `shard ${shard}`}, ready.error.message, ready.error.retryAfterMs));
			}

			const verdict = findVerdict(shardClaims, request);
			return verdict ? ok(verdict) : grant(shardClaims, request);
		},
		async settle(shard, key, claimId, outcome) {
			if (!ownsShard(shard)) {
				return err(createNotOwner(shard));
			}

			const {table, log} = claimsOf(shard);
			const ready = await log.ready();
			const record = table.find(key);
			if (ready.isErr()) {
				return err(ready.error);
			}

			if (record?.claimId !== claimId) {
				return ok();
			}

			const appended = await log.append({...record, ...(outcome ? {outcome} : {freed: true as const})});
			return appended.isErr() && appended.error.code !== 'conflict' ? err(appended.error) : ok();
		},
		reloadShard(shard) {
			claimsByShard.get(shard)?.log.reload();
		},
		async removeExpired() {
			await Promise.all([...claimsByShard]
				.filter(([shard]) => ownsShard(shard))
				.map(async ([, shardClaims]) => shardClaims.log.removeExpired(clock.wall())));
		},
	};
}
