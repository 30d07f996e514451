/** The shares that this daemon holds, and what it tells their owners. */
import type {HolderReport, ToldShare} from './share-ledger.js';

/** An owner's answer to a renewal. */
export type ShareAnswer = {
	/** Fencing number of the owner. */
	readonly fencing: number;
	readonly shares: readonly ToldShare[];
};

/** Demand for one grant. */
export type HolderDemand = {
	readonly grant: string;
	readonly demand: number;
	/** Whether a share must not be lowered yet. */
	readonly inDebt: boolean;
};

/** The shares of a daemon. */
export type ShareHolder = {
	/** The fraction of a grant that may be used at `now`. */
	readonly fraction: (grant: string, now: number) => number;
	/** What to report for the grants of one shard; empty when there is neither demand nor a share. */
	readonly report: (shard: number, demands: readonly HolderDemand[], now: number) => readonly HolderReport[];
	/** Takes an answer to a renewal that was sent at `sentAt`. Answers of earlier owners are ignored. */
	readonly accept: (shard: number, answer: ShareAnswer, demands: readonly HolderDemand[], sentAt: number) => void;
	/** Gives up everything, so that the next report returns it. */
	readonly release: () => void;
};

type Held = {
	readonly shard: number;
	readonly fraction: number;
	/** Monotonic time at which the share ends. */
	readonly endsAt: number;
};

/** Creates a holder without shares. A share ends `endMs` after its last renewal was sent. */
export function createShareHolder(endMs: number): ShareHolder {
	const held = new Map<string, Held>();
	const fencing = new Map<number, number>();
	let released = false;

	function readFraction(grant: string, now: number): number {
		const share = held.get(grant);
		return share !== undefined && now < share.endsAt ? share.fraction : 0;
	}

	return {
		fraction: readFraction,
		report(shard, demands, now) {
			const own = [...held].filter(([, share]) => share.shard === shard).map(([grant]) => grant);
			const grants = [...new Set([...own, ...demands.map(demand => demand.grant)])];
			return grants.map(grant => ({
				grant,
				fraction: readFraction(grant, now),
				demand: released ? 0 : demands.find(demand => demand.grant === grant)?.demand ?? 0,
			}));
		},
		accept(shard, answer, demands, sentAt) {
			if (answer.fencing < (fencing.get(shard) ?? 0) || released) {
				return;
			}

			fencing.set(shard, answer.fencing);
			answer.shares.forEach(share => {
				const present = readFraction(share.grant, sentAt);
				const keeps = share.fraction < present && demands.some(demand => demand.grant === share.grant && demand.inDebt);
				held.set(share.grant, {shard, fraction: keeps ? present : share.fraction, endsAt: sentAt + endMs});
			});
		},
		release() {
			released = true;
			[...held].forEach(([grant, share]) => {
				held.set(grant, {...share, fraction: 0});
			});
		},
	};
}
