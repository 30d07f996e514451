/** Who is believed to own each shard: heard by rumor or read from the store, dropped when the named daemon denies it. */
import {z} from 'zod';
import type {Rumor} from '../../membership/common/membership.js';
import {leaseNameOf, shardOfLeaseName, type LeaseSnapshot} from './lease-record.js';
import type {ShardOwner} from './shards.js';

const ownerValue = z.looseObject({daemonId: z.string(), address: z.string(), peerPort: z.number()});

/** A daemon as the owner of a shard. */
export type OwnerAddress = Omit<ShardOwner, 'shard'>;

/** The topic of rumors about owners. */
export const OWNER_TOPIC = 'shard-owner';

/** Beliefs about owners. Versions are those of lease objects, so a newer belief always wins. */
export type OwnerBeliefs = {
	readonly find: (shard: number) => ShardOwner | undefined;
	/** Takes in a rumor; other topics are ignored. */
	readonly hear: (rumor: Rumor) => void;
	/** Takes in a lease as read from the store. */
	readonly learn: (shard: number, lease: LeaseSnapshot) => void;
	/** Drops a belief that the named daemon has denied; false when it was not held. */
	readonly deny: (shard: number, daemonId: string) => boolean;
};

type Belief = {
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
		const {daemonId, address, peerPort} = ownerValue.parse(JSON.parse(value));
		return {
			shard, daemonId, address, peerPort,
		};
	} catch {
		return undefined;
	}
}

/** Creates empty beliefs. */
export function createOwnerBeliefs(): OwnerBeliefs {
	const beliefs = new Map<number, Belief>();

	function take(shard: number, belief: Belief): void {
		if (belief.version > (beliefs.get(shard)?.version ?? 0)) {
			beliefs.set(shard, belief);
		}
	}

	return {
		find: shard => beliefs.get(shard)?.owner,
		hear(rumor) {
			const shard = rumor.topic === OWNER_TOPIC ? shardOfLeaseName(rumor.origin) : undefined;
			if (shard !== undefined) {
				take(shard, {version: rumor.version, owner: parseOwner(shard, rumor.value)});
			}
		},
		learn(shard, {version, record}) {
			if (record === undefined || record.released) {
				take(shard, {version, owner: undefined});
				return;
			}

			const {daemonId, address, peerPort} = record;
			const owner: ShardOwner = {
				shard, daemonId, address, peerPort,
			};
			take(shard, {version: record.fencing ?? version, owner});
		},
		deny(shard, daemonId) {
			const belief = beliefs.get(shard);
			if (belief?.owner?.daemonId !== daemonId) {
				return false;
			}

			// The version stays, so that the denied report is not believed again.
			beliefs.set(shard, {version: belief.version, owner: undefined});
			return true;
		},
	};
}
