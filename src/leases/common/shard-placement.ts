/** The order in which daemons are preferred as owners of each shard, kept up with membership. */
import {hashToUint32} from '../../base/common/hash.js';
import type {Member} from '../../membership/common/membership.js';

/** Preference of live members for shards. */
export type ShardPlacement = {
	/** Takes in the members; a suspect keeps its place until it is declared dead. */
	readonly update: (members: readonly Member[], now: number) => void;
	/** The place of a member in a shard's order; undefined for one that must not take duties. */
	readonly rank: (shard: number, daemonId: string) => number | undefined;
	/** The preferred member of a shard, once it has been so for `stableMs`. */
	readonly stablePreferred: (shard: number, now: number, stableMs: number) => Member | undefined;
};

type Order = {
	readonly ids: readonly string[];
	readonly preferredSince: number;
};

function mayOwn(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

/** Creates the placement of `count` shards over no members. */
export function createShardPlacement(count: number): ShardPlacement {
	const weights = new Map<string, Uint32Array>();
	let eligible: ReadonlyMap<string, Member> = new Map();
	let orders: readonly Order[] = [];

	/** Hashing is the costly part, so the weights of a member are kept while it is in the fleet. */
	function weightsOf(id: string): Uint32Array {
		const known = weights.get(id);
		if (known) {
			return known;
		}

		const computed = Uint32Array.from({length: count}, (_, shard) => hashToUint32(`shard-${shard}/${id}`));
		weights.set(id, computed);
		return computed;
	}

	function computeOrder(shard: number, now: number): Order {
		const ids = [...eligible.keys()].toSorted((a, b) => (weightsOf(b)[shard] ?? 0) - (weightsOf(a)[shard] ?? 0) || (a < b ? -1 : 1));
		const previous = orders[shard];
		return {ids, preferredSince: previous && previous.ids[0] === ids[0] ? previous.preferredSince : now};
	}

	return {
		update(members, now) {
			const next = new Map(members.filter(mayOwn).map(member => [member.id, member]));
			const isSameSet = next.size === eligible.size && [...next.keys()].every(id => eligible.has(id));
			eligible = next;
			if (isSameSet) {
				return;
			}

			[...weights.keys()].filter(id => !next.has(id)).forEach(id => {
				weights.delete(id);
			});
			orders = Array.from({length: count}, (_, shard) => computeOrder(shard, now));
		},
		rank(shard, daemonId) {
			const place = orders[shard]?.ids.indexOf(daemonId) ?? -1;
			return place === -1 ? undefined : place;
		},
		stablePreferred(shard, now, stableMs) {
			const order = orders[shard];
			const preferred = eligible.get(order?.ids[0] ?? '');
			const isStable = order !== undefined && now - order.preferredSince >= stableMs;
			return isStable && preferred?.state === 'alive' ? preferred : undefined;
		},
	};
}
