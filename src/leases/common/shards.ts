/**
 * Shards: a fixed number of duties that need a single owner. Plans, trainers, idempotency keys, suspects and pools of
 * engines are mapped to shards by hashing; a lease object per shard in the store makes one daemon its owner.
 */
import type {Event} from '../../base/common/event.js';
import {hashToUint32} from '../../base/common/hash.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** A lease that this daemon holds. */
export type Holding = {
	readonly shard: number;
	/** The version of the lease object at acquisition: higher for every later holder. Goes into every order and write. */
	readonly fencing: number;
	/** Monotonic time from which the holder must not act any more, margin already taken off. */
	readonly validUntil: number;
};

/** The owner of a shard as this daemon knows it; may be out of date. */
export type ShardOwner = {
	readonly shard: number;
	readonly daemonId: string;
	readonly address: string;
	readonly peerPort: number;
};

/** The shards as one daemon sees them. */
export type Shards = {
	readonly count: number;
	/** This daemon's lease on a shard, if it is valid at `now`. Ask again immediately before each effect. */
	readonly holding: (shard: number, now: number) => Holding | undefined;
	/** The believed owner, this daemon included. */
	readonly owner: (shard: number, now: number) => ShardOwner | undefined;
	readonly onDidAcquire: Event<Holding>;
	/** Fires when a lease lapsed, was lost or was given up. */
	readonly onDidLose: Event<number>;
	/** Tells that a peer named as owner has denied it, so that the belief is dropped. */
	readonly reportWrongOwner: (shard: number, daemonId: string) => void;
};

/** The daemon's shards. */
export const shardsKey = createServiceKey<Shards>('shards');

/** The duties that are mapped to shards. The prefix keeps equal names of different duties apart. */
export type Duty = 'plan' | 'trainer' | 'pool' | 'key' | 'suspect';

/** Returns the shard that carries a duty. */
export function shardOf(duty: Duty, name: string, count: number): number {
	return hashToUint32(`${duty}/${name}`) % count;
}
