/** Renews this daemon's shares at the owners of the plans' shards. */
import type {Clock} from '../../base/common/clock.js';
import {shardOf, type Shards} from '../../leases/common/shards.js';
import type {GrantDemand} from '../common/admission-controller.js';
import {createShareHolder, type HolderDemand} from '../common/share-holder.js';
import type {HolderReport} from '../common/share-ledger.js';
import type {ShareTransport} from '../common/share-transport.js';

/** The shares that this daemon holds, with their renewal and release at the owners. */
export type ShareClient = {
	readonly fractionOf: (plan: string, pool: string, now: number) => number;
	/** Renews once at all owners; skips shards whose previous renewal is still pending. */
	readonly renew: (demands: readonly GrantDemand[]) => Promise<void>;
	/** Renews only the shards in which demand exceeds a share by `UNMET_DEMAND_FACTOR`. */
	readonly renewUnmet: (demands: readonly GrantDemand[]) => Promise<void>;
	/** Returns all shares to their owners. */
	readonly release: () => Promise<void>;
};

/** Dependencies of the client. */
export type ShareClientDependencies = {
	readonly daemonId: string;
	/** Increases with every start of the daemon. */
	readonly run: number;
	readonly shards: Pick<Shards, 'count' | 'owner' | 'reportWrongOwner'>;
	readonly transport: ShareTransport;
	readonly clock: Clock;
	/** Time after which a share expires that is not renewed. */
	readonly ttlMs: number;
};

/** Demand above this multiple of the share causes a renewal before the next regular one. */
const UNMET_DEMAND_FACTOR = 1.2;
const IDLE_DEMAND_FRACTION = 0.001;
const IDLE_SHARE_FRACTION = 0.05;
const IDLE_RENEW_INTERVAL_MS = 3000;

function grantNameOf(plan: string, pool: string): string {
	return `${plan}/${pool}`;
}

/** Creates a client without shares. */
export function createShareClient(dependencies: ShareClientDependencies): ShareClient {
	const {
		daemonId, run, shards, transport, clock,
	} = dependencies;
	const holder = createShareHolder(dependencies.ttlMs);
	const renewingShards = new Set<number>();
	const knownShards = new Set<number>();
	const renewedAtByShard = new Map<number, number>();
	let sequence = 0;

	/** Whether callers wait for a first share, however small their demand is compared to the grant. */
	function isAwaitingFirstShare(report: HolderReport): boolean {
		return report.demand > 0 && report.fraction === 0;
	}

	/** A daemon with almost no share of a shard's grants and almost no demand renews only every `IDLE_RENEW_INTERVAL_MS`. */
	function isDue(shard: number, reports: readonly HolderReport[], now: number): boolean {
		const isIdle = reports.every(report => report.demand < IDLE_DEMAND_FRACTION && report.fraction < IDLE_SHARE_FRACTION && !isAwaitingFirstShare(report));
		return !isIdle || now - (renewedAtByShard.get(shard) ?? Number.NEGATIVE_INFINITY) >= IDLE_RENEW_INTERVAL_MS;
	}

	async function renewShard(shard: number, demands: readonly HolderDemand[]): Promise<void> {
		const sentAt = clock.monotonic();
		const owner = shards.owner(shard, sentAt);
		const reports = holder.report(shard, demands, sentAt);
		if (owner === undefined || reports.length === 0 || renewingShards.has(shard) || !isDue(shard, reports, sentAt)) {
			return;
		}

		renewingShards.add(shard);
		sequence += 1;
		const response = await transport.renew(owner, {
			daemonId, run, sequence, reports,
		});
		renewingShards.delete(shard);
		if (response.isOk()) {
			renewedAtByShard.set(shard, sentAt);
			holder.accept(shard, response.value, demands, sentAt);
			return;
		}

		if (response.error.code === 'notOwner') {
			shards.reportWrongOwner(shard, owner.daemonId);
		}
	}

	async function renewAll(demands: readonly GrantDemand[], shardsToRenew: readonly number[]): Promise<void> {
		await Promise.all(shardsToRenew.map(async shard => renewShard(shard, demands
			.filter(demand => shardOf('plan', demand.plan, shards.count) === shard)
			.map(demand => ({grant: grantNameOf(demand.plan, demand.pool), demand: demand.fraction, inDebt: demand.inDebt})))));
	}

	function listShards(demands: readonly GrantDemand[]): readonly number[] {
		demands.forEach(demand => {
			knownShards.add(shardOf('plan', demand.plan, shards.count));
		});
		return [...knownShards];
	}

	return {
		fractionOf: (plan, pool, now) => holder.fraction(grantNameOf(plan, pool), now),
		async renew(demands) {
			await renewAll(demands, listShards(demands));
		},
		async renewUnmet(demands) {
			const unmet = demands.filter(demand => demand.fraction > UNMET_DEMAND_FACTOR * holder.fraction(grantNameOf(demand.plan, demand.pool), clock.monotonic())
				&& holder.fraction(grantNameOf(demand.plan, demand.pool), clock.monotonic()) < 1 / UNMET_DEMAND_FACTOR);
			await renewAll(demands, [...new Set(unmet.map(demand => shardOf('plan', demand.plan, shards.count)))]);
		},
		async release() {
			holder.release();
			renewedAtByShard.clear();
			await renewAll([], [...knownShards]);
		},
	};
}
