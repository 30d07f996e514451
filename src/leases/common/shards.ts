/**
 * Shards: a fixed number of partitions that each need a single owner. Plans, trainers, idempotency keys, suspects and pools
 * of engines are mapped to shards by hashing. The lease object of a shard in the store makes one daemon its owner.
 */
import type {Event} from '../../base/common/event.js';
import {hashToUint32} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** A lease that this daemon holds. */
export type Holding = {
	readonly shard: number;
	/** The version of the lease object at acquisition, which is higher for every later holder. Sent with every order and write. */
	readonly fencing: number;
	/** Monotonic time from which the holder must no longer act, with the margin already subtracted. */
	readonly validUntil: number;
};

/** The owner of a shard as known to this daemon; may be outdated. */
export type ShardOwner = {
	readonly shard: number;
	readonly daemonId: string;
	readonly address: string;
	readonly peerPort: number;
};

/** The shards as known to one daemon. */
export type Shards = {
	readonly count: number;
	/** This daemon's lease on a shard, if it is valid at `now`. Must be checked again immediately before each effect. */
	readonly holding: (shard: number, now: number) => Holding | undefined;
	/** The last known owner, which may be this daemon. */
	readonly owner: (shard: number, now: number) => ShardOwner | undefined;
	readonly onDidAcquire: Event<Holding>;
	/** Fires when a lease has expired, was lost or was released. */
	readonly onDidLose: Event<number>;
	/** Reports that the peer known as owner has denied it, so that the cached owner is dropped. */
	readonly reportWrongOwner: (shard: number, daemonId: string) => void;
};

/** Service key of the daemon's shards. */
export const shardsKey = createServiceKey<Shards>('shards');

/** Kinds of names that are mapped to shards. The kind is hashed with the name, so that equal names of different kinds get independent shards. */
export type ShardedKind = 'plan' | 'trainer' | 'pool' | 'key' | 'suspect';

/** Returns the shard that a name is mapped to. */
export function shardOf(kind: ShardedKind, name: string, count: number): number {
	return hashToUint32(`${kind}/${name}`) % count;
}
