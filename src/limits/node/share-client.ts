/** Renews this daemon's shares at the owners of the plans' shards. */
import type {Clock} from '../../base/common/clock.js';
import {shardOf, type Shards} from '../../leases/common/shards.js';
import type {GrantDemand} from '../common/gate.js';
import {createShareHolder, type HolderDemand} from '../common/share-holder.js';
import type {HolderReport} from '../common/share-ledger.js';
import type {ShareLink} from '../common/share-link.js';

/** The holder's side of shares. */
export type ShareClient = {
	readonly fractionOf: (plan: string, pool: string, now: number) => number;
	/** Renews at all owners once; a renewal still under way is not repeated. */
	readonly renew: (demands: readonly GrantDemand[]) => Promise<void>;
	/** Renews only where demand is far above the share. */
	readonly renewUnmet: (demands: readonly GrantDemand[]) => Promise<void>;
	/** Returns all shares to their owners. */
	readonly release: () => Promise<void>;
};

/** What the client rests on. */
export type ShareClientParts = {
	readonly daemonId: string;
	/** Rises with every start of the daemon. */
	readonly run: number;
	readonly shards: Pick<Shards, 'count' | 'owner' | 'reportWrongOwner'>;
	readonly link: ShareLink;
	readonly clock: Clock;
	/** Time after which a share ends that is not renewed. */
	readonly endMs: number;
};

/** Demand at this multiple of the share asks for a renewal out of turn. */
const UNMET_FACTOR = 1.2;
const IDLE_DEMAND = 0.001;
const IDLE_FRACTION = 0.05;
const IDLE_RENEW_MS = 3000;

function nameOf(plan: string, pool: string): string {
	return `${plan}/${pool}`;
}

/** Creates a client without shares. */
export function createShareClient(parts: ShareClientParts): ShareClient {
	const {
		daemonId, run, shards, link, clock,
	} = parts;
	const holder = createShareHolder(parts.endMs);
	const renewing = new Set<number>();
	const known = new Set<number>();
	const renewedAt = new Map<number, number>();
	let sequence = 0;

	/** Callers are waiting for a first share, however small their demand is beside the grant. */
	function isStarving(report: HolderReport): boolean {
		return report.demand > 0 && report.fraction === 0;
	}

	/** A daemon with next to nothing of a shard's grants, and next to no demand, renews seldom. */
	function isDue(shard: number, reports: readonly HolderReport[], now: number): boolean {
		const isIdle = reports.every(report => report.demand < IDLE_DEMAND && report.fraction < IDLE_FRACTION && !isStarving(report));
		return !isIdle || now - (renewedAt.get(shard) ?? Number.NEGATIVE_INFINITY) >= IDLE_RENEW_MS;
	}

	async function renewShard(shard: number, demands: readonly HolderDemand[]): Promise<void> {
		const sentAt = clock.monotonic();
		const owner = shards.owner(shard, sentAt);
		const reports = holder.report(shard, demands, sentAt);
		if (owner === undefined || reports.length === 0 || renewing.has(shard) || !isDue(shard, reports, sentAt)) {
			return;
		}

		renewing.add(shard);
		sequence += 1;
		const answer = await link.renew(owner, {
			daemonId, run, sequence, reports,
		});
		renewing.delete(shard);
		if (answer.isOk()) {
			renewedAt.set(shard, sentAt);
			holder.accept(shard, answer.value, demands, sentAt);
			return;
		}

		if (answer.error.code === 'notOwner') {
			shards.reportWrongOwner(shard, owner.daemonId);
		}
	}

	async function renewAll(demands: readonly GrantDemand[], shardsToRenew: readonly number[]): Promise<void> {
		await Promise.all(shardsToRenew.map(async shard => renewShard(shard, demands
			.filter(demand => shardOf('plan', demand.plan, shards.count) === shard)
			.map(demand => ({grant: nameOf(demand.plan, demand.pool), demand: demand.fraction, inDebt: demand.inDebt})))));
	}

	function listShards(demands: readonly GrantDemand[]): readonly number[] {
		demands.forEach(demand => {
			known.add(shardOf('plan', demand.plan, shards.count));
		});
		return [...known];
	}

	return {
		fractionOf: (plan, pool, now) => holder.fraction(nameOf(plan, pool), now),
		async renew(demands) {
			await renewAll(demands, listShards(demands));
		},
		async renewUnmet(demands) {
			const unmet = demands.filter(demand => demand.fraction > UNMET_FACTOR * holder.fraction(nameOf(demand.plan, demand.pool), clock.monotonic())
				&& holder.fraction(nameOf(demand.plan, demand.pool), clock.monotonic()) < 1 / UNMET_FACTOR);
			await renewAll(demands, [...new Set(unmet.map(demand => shardOf('plan', demand.plan, shards.count)))]);
		},
		async release() {
			holder.release();
			renewedAt.clear();
			await renewAll([], [...known]);
		},
	};
}
