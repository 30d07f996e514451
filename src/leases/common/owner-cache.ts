/** Cache of the owner of each shard, from rumors and store reads. An entry is dropped when the daemon denies that it is the owner. */
import {z} from 'zod';
import type {Rumor} from '../../membership/common/membership.js';
import {leaseNameOf, shardOfLeaseName, type LeaseSnapshot} from './lease-record.js';
import type {ShardOwner} from './shards.js';

const ownerValueSchema = z.looseObject({daemonId: z.string(), address: z.string(), peerPort: z.number()});

/** The identity and address of the owner of a shard. */
export type OwnerAddress = Omit<ShardOwner, 'shard'>;

/** Topic of rumors about owners. */
export const OWNER_TOPIC = 'shard-owner';

/** Cached owners. Entries have the version of the lease object, and a higher version replaces a lower one. */
export type OwnerCache = {
	readonly find: (shard: number) => ShardOwner | undefined;
	/** Applies a rumor; other topics are ignored. */
	readonly applyRumor: (rumor: Rumor) => void;
	/** Applies a lease that was read from the store. */
	readonly applyLease: (shard: number, lease: LeaseSnapshot) => void;
	/** Drops the cached owner after the named daemon has denied it; false when another owner or none was cached. */
	readonly invalidate: (shard: number, daemonId: string) => boolean;
};

type CachedOwner = {
	readonly version: number;
	readonly owner: ShardOwner | undefined;
};

/** Creates the rumor of an acquisition, or of a release when `owner` is undefined. */
export function createOwnerRumor(shard: number, version: number, owner: OwnerAddress | undefined): Rumor {
	const value = owner ? JSON.stringify({daemonId: owner.daemonId, address: owner.address, peerPort: owner.peerPort}) : '';
	return {
		topic: OWNER_TOPIC, origin: leaseNameOf(shard), version, value,
	};
}

function parseOwner(shard: number, value: string): ShardOwner | undefined {
	if (value === '') {
		return undefined;
	}

	try {
		const {daemonId, address, peerPort} = ownerValueSchema.parse(JSON.parse(value));
		return {
			shard, daemonId, address, peerPort,
		};
	} catch {
		return undefined;
	}
}

/** Creates an empty cache. */
export function createOwnerCache(): OwnerCache {
	const ownerByShard = new Map<number, CachedOwner>();

	function update(shard: number, entry: CachedOwner): void {
		if (entry.version > (ownerByShard.get(shard)?.version ?? 0)) {
			ownerByShard.set(shard, entry);
		}
	}

	return {
		find: shard => ownerByShard.get(shard)?.owner,
		applyRumor(rumor) {
			const shard = rumor.topic === OWNER_TOPIC ? shardOfLeaseName(rumor.origin) : undefined;
			if (shard !== undefined) {
				update(shard, {version: rumor.version, owner: parseOwner(shard, rumor.value)});
			}
		},
		applyLease(shard, {version, record}) {
			if (record === undefined || record.released) {
				update(shard, {version, owner: undefined});
				return;
			}

			const {daemonId, address, peerPort} = record;
			const owner: ShardOwner = {
				shard, daemonId, address, peerPort,
			};
			update(shard, {version: record.fencing ?? version, owner});
		},
		invalidate(shard, daemonId) {
			const cached = ownerByShard.get(shard);
			if (cached?.owner?.daemonId !== daemonId) {
				return false;
			}

			// The entry keeps its version, so that the same denied report is not applied again.
			ownerByShard.set(shard, {version: cached.version, owner: undefined});
			return true;
		},
	};
}
