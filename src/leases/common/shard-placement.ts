/** The order of preference of daemons as owners of each shard, updated from membership. */
import {hashToUint32} from '../../base/common/hash.js';
import type {Member} from '../../membership/common/membership.js';

/** Order of preference of live members as owners of shards. */
export type ShardPlacement = {
	/** Applies the members; a suspect keeps its rank until it is declared dead. Members in `partitioned` rank after all others. */
	readonly update: (members: readonly Member[], partitioned: ReadonlySet<string>, now: number) => void;
	/** The rank of a member in a shard's order, 0 for the preferred one; undefined for a member that must not own shards. */
	readonly rank: (shard: number, daemonId: string) => number | undefined;
	/** The preferred member of a shard, once it has been preferred for `stableMs`. */
	readonly stablePreferred: (shard: number, now: number, stableMs: number) => Member | undefined;
};

type Order = {
	/** The first `RANKS` members in the order of preference. */
	readonly ids: readonly string[];
	readonly preferredSince: number;
};

type Candidate = {
	readonly id: string;
	readonly weights: Uint32Array;
	readonly isPartitioned: boolean;
};

/** Number of ranks that are distinguished; all later members have rank `RANKS`. */
const RANKS = 4;

function canOwn(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

/** Creates the placement of `count` shards over no members. */
export function createShardPlacement(count: number): ShardPlacement {
	const weights = new Map<string, Uint32Array>();
	let eligible: ReadonlyMap<string, Member> = new Map();
	let candidates: readonly Candidate[] = [];
	let orders: readonly Order[] = [];

	/** Returns the weights of a member. They are cached while it is in the fleet, because hashing is expensive. */
	function weightsOf(id: string): Uint32Array {
		const known = weights.get(id);
		if (known) {
			return known;
		}

		const computed = Uint32Array.from({length: count}, (_, shard) => hashToUint32(`shard-${shard}/${id}`));
		weights.set(id, computed);
		return computed;
	}

	function isBefore(shard: number, a: Candidate, b: Candidate): boolean {
		if (a.isPartitioned !== b.isPartitioned) {
			return b.isPartitioned;
		}

		const difference = (a.weights[shard] ?? 0) - (b.weights[shard] ?? 0);
		return difference > 0 || (difference === 0 && a.id < b.id);
	}

	/** Inserts a candidate, and keeps the first `RANKS` only, because sorting the complete fleet for each shard is too expensive. */
	function insert(shard: number, first: readonly Candidate[], candidate: Candidate): readonly Candidate[] {
		const last = first[RANKS - 1];
		if (last && isBefore(shard, last, candidate)) {
			return first;
		}

		const position = first.findIndex(known => isBefore(shard, candidate, known));
		const index = position === -1 ? first.length : position;
		return [...first.slice(0, index), candidate, ...first.slice(index)].slice(0, RANKS);
	}

	function computeOrder(shard: number, now: number): Order {
		const first = candidates.reduce<readonly Candidate[]>((known, candidate) => insert(shard, known, candidate), []);
		const ids = first.map(candidate => candidate.id);
		const previous = orders[shard];
		return {ids, preferredSince: previous && previous.ids[0] === ids[0] ? previous.preferredSince : now};
	}

	return {
		update(members, partitioned, now) {
			eligible = new Map(members.filter(canOwn).map(member => [member.id, member]));
			const isSame = eligible.size === candidates.length && candidates.every(({id, isPartitioned}) => eligible.has(id) && partitioned.has(id) === isPartitioned);
			if (isSame) {
				return;
			}

			[...weights.keys()].filter(id => !eligible.has(id)).forEach(id => {
				weights.delete(id);
			});
			candidates = [...eligible.keys()].map(id => ({id, weights: weightsOf(id), isPartitioned: partitioned.has(id)}));
			orders = Array.from({length: count}, (_, shard) => computeOrder(shard, now));
		},
		rank(shard, daemonId) {
			const position = orders[shard]?.ids.indexOf(daemonId) ?? -1;
			const later = eligible.has(daemonId) ? RANKS : undefined;
			return position === -1 ? later : position;
		},
		stablePreferred(shard, now, stableMs) {
			const order = orders[shard];
			const preferred = eligible.get(order?.ids[0] ?? '');
			const isStable = order !== undefined && now - order.preferredSince >= stableMs;
			return isStable && preferred?.state === 'alive' ? preferred : undefined;
		},
	};
}
