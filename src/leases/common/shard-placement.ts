/** The order in which daemons are preferred as owners of each shard, kept up with membership. */
import {hashToUint32} from '../../base/common/hash.js';
import type {Member} from '../../membership/common/membership.js';

/** Preference of live members for shards. */
export type ShardPlacement = {
	/** Takes in the members; a suspect keeps its place until it is declared dead. Those in `cut` come after all others. */
	readonly update: (members: readonly Member[], cut: ReadonlySet<string>, now: number) => void;
	/** The place of a member in a shard's order; undefined for one that must not take duties. */
	readonly rank: (shard: number, daemonId: string) => number | undefined;
	/** The preferred member of a shard, once it has been so for `stableMs`. */
	readonly stablePreferred: (shard: number, now: number, stableMs: number) => Member | undefined;
};

type Order = {
	/** The first members in the order of preference. */
	readonly ids: readonly string[];
	readonly preferredSince: number;
};

type Candidate = {
	readonly id: string;
	readonly weights: Uint32Array;
	readonly isCut: boolean;
};

/** Places that are told apart; every later place counts as the next one. */
const PLACES = 4;

function mayOwn(member: Member): boolean {
	return member.state === 'alive' || member.state === 'suspect';
}

/** Creates the placement of `count` shards over no members. */
export function createShardPlacement(count: number): ShardPlacement {
	const weights = new Map<string, Uint32Array>();
	let eligible: ReadonlyMap<string, Member> = new Map();
	let candidates: readonly Candidate[] = [];
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

	function isBefore(shard: number, a: Candidate, b: Candidate): boolean {
		if (a.isCut !== b.isCut) {
			return b.isCut;
		}

		const difference = (a.weights[shard] ?? 0) - (b.weights[shard] ?? 0);
		return difference > 0 || (difference === 0 && a.id < b.id);
	}

	/** Keeps the first places only, because sorting the whole fleet for each shard costs too much. */
	function insert(shard: number, first: readonly Candidate[], candidate: Candidate): readonly Candidate[] {
		const last = first[PLACES - 1];
		if (last && isBefore(shard, last, candidate)) {
			return first;
		}

		const place = first.findIndex(known => isBefore(shard, candidate, known));
		const index = place === -1 ? first.length : place;
		return [...first.slice(0, index), candidate, ...first.slice(index)].slice(0, PLACES);
	}

	function computeOrder(shard: number, now: number): Order {
		const first = candidates.reduce<readonly Candidate[]>((known, candidate) => insert(shard, known, candidate), []);
		const ids = first.map(candidate => candidate.id);
		const previous = orders[shard];
		return {ids, preferredSince: previous && previous.ids[0] === ids[0] ? previous.preferredSince : now};
	}

	return {
		update(members, cut, now) {
			eligible = new Map(members.filter(mayOwn).map(member => [member.id, member]));
			const isSame = eligible.size === candidates.length && candidates.every(({id, isCut}) => eligible.has(id) && cut.has(id) === isCut);
			if (isSame) {
				return;
			}

			[...weights.keys()].filter(id => !eligible.has(id)).forEach(id => {
				weights.delete(id);
			});
			candidates = [...eligible.keys()].map(id => ({id, weights: weightsOf(id), isCut: cut.has(id)}));
			orders = Array.from({length: count}, (_, shard) => computeOrder(shard, now));
		},
		rank(shard, daemonId) {
			const place = orders[shard]?.ids.indexOf(daemonId) ?? -1;
			const later = eligible.has(daemonId) ? PLACES : undefined;
			return place === -1 ? later : place;
		},
		stablePreferred(shard, now, stableMs) {
			const order = orders[shard];
			const preferred = eligible.get(order?.ids[0] ?? '');
			const isStable = order !== undefined && now - order.preferredSince >= stableMs;
			return isStable && preferred?.state === 'alive' ? preferred : undefined;
		},
	};
}
