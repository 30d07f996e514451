/** The shares that this daemon holds, and its reports to their owners. */
import type {HolderReport, GrantedShare} from './share-ledger.js';

/** An owner's response to a renewal. */
export type RenewalResponse = {
	/** Fencing number of the owner's lease on the shard. */
	readonly fencing: number;
	readonly shares: readonly GrantedShare[];
};

/** Demand for one grant. */
export type HolderDemand = {
	readonly grant: string;
	readonly demand: number;
	/** Whether a bucket is in debt, in which case the share must not be lowered yet. */
	readonly inDebt: boolean;
};

/** The shares of a daemon. */
export type ShareHolder = {
	/** The fraction of a grant that may be used at `now`. */
	readonly fraction: (grant: string, now: number) => number;
	/** Returns the reports for the grants of one shard; empty when there is neither demand nor a share. */
	readonly report: (shard: number, demands: readonly HolderDemand[], now: number) => readonly HolderReport[];
	/** Applies the response to a renewal that was sent at `sentAt`. Responses of earlier owners are ignored. */
	readonly accept: (shard: number, answer: RenewalResponse, demands: readonly HolderDemand[], sentAt: number) => void;
	/** Sets all shares to 0, so that the next report returns them to their owners. */
	readonly release: () => void;
};

type HeldShare = {
	readonly shard: number;
	readonly fraction: number;
	/** Monotonic time at which the share expires. */
	readonly expiresAt: number;
};

/** Creates a holder without shares. A share expires `ttlMs` after its last renewal was sent. */
export function createShareHolder(ttlMs: number): ShareHolder {
	const held = new Map<string, HeldShare>();
	const fencing = new Map<number, number>();
	let released = false;

	function usableFraction(grant: string, now: number): number {
		const share = held.get(grant);
		return share !== undefined && now < share.expiresAt ? share.fraction : 0;
	}

	return {
		fraction: usableFraction,
		report(shard, demands, now) {
			const own = [...held].filter(([, share]) => share.shard === shard).map(([grant]) => grant);
			const grants = [...new Set([...own, ...demands.map(demand => demand.grant)])];
			return grants.map(grant => ({
				grant,
				fraction: usableFraction(grant, now),
				demand: released ? 0 : demands.find(demand => demand.grant === grant)?.demand ?? 0,
			}));
		},
		accept(shard, answer, demands, sentAt) {
			if (answer.fencing < (fencing.get(shard) ?? 0) || released) {
				return;
			}

			fencing.set(shard, answer.fencing);
			answer.shares.forEach(share => {
				const present = usableFraction(share.grant, sentAt);
				const keepsPresent = share.fraction < present && demands.some(demand => demand.grant === share.grant && demand.inDebt);
				held.set(share.grant, {shard, fraction: keepsPresent ? present : share.fraction, expiresAt: sentAt + ttlMs});
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
