/** Sums what all daemons say about the load of the pools whose size can change. */
import type {DeployedPool, PoolScale} from '../../gateway/common/deployment.js';
import type {ServerEntry} from '../../gateway/common/server-view.js';

/** What one daemon says about the pools. */
export type DaemonLoad = {
	/** Requests of this daemon that are at a server, by server; servers without any are left out. */
	readonly requests: Readonly<Record<string, number>>;
	/** Items that wait in batches of this daemon, by model. */
	readonly waiting: Readonly<Record<string, number>>;
	/** Attempts that servers without a free slot have refused recently, by pool. */
	readonly refused: Readonly<Record<string, number>>;
};

/** The servers of a pool in one availability zone. Servers that leave are not counted. */
export type ZoneReading = {
	readonly zone: string;
	readonly servers: number;
	readonly slots: number;
	/** Requests that are at these servers, including those that wait there. */
	readonly requests: number;
};

/** The load of one pool. */
export type PoolReading = {
	readonly pool: string;
	readonly scale: PoolScale;
	readonly zones: readonly ZoneReading[];
	/** Work that waits for a slot of the pool, at servers and in batches, and attempts that were refused. */
	readonly waiting: number;
	/** Whether all daemons have answered; otherwise the load is at least what is stated. */
	readonly isComplete: boolean;
};

function sumOf<T>(list: readonly T[], read: (element: T) => number): number {
	return list.reduce((sum, element) => sum + read(element), 0);
}

/** Reads the pools whose size can change. An item that several pools can serve counts in equal parts at each. */
export function readPools(pools: readonly DeployedPool[], servers: readonly ServerEntry[], loads: readonly DaemonLoad[], isComplete: boolean): readonly PoolReading[] {
	const requestsAt = (id: string): number => sumOf(loads, ({requests}) => requests[id] ?? 0);
	return pools.flatMap(({name, scale, models}) => {
		if (scale === undefined) {
			return [];
		}

		const own = servers.filter(({pool, isLeaving}) => pool === name && !isLeaving);
		const zones = [...new Set(own.map(({availabilityZone}) => availabilityZone))].toSorted().map(zone => {
			const inZone = own.filter(({availabilityZone}) => availabilityZone === zone);
			return {
				zone, servers: inZone.length, slots: sumOf(inZone, ({slots}) => slots), requests: sumOf(inZone, ({id}) => requestsAt(id)),
			};
		});
		const queued = sumOf(own, ({id, slots}) => Math.max(0, requestsAt(id) - slots));
		const items = sumOf(models, model => sumOf(loads, ({waiting}) => waiting[model] ?? 0) / pools.filter(pool => pool.models.includes(model)).length);
		return [{
			pool: name, scale, zones, waiting: queued + Math.ceil(items) + sumOf(loads, ({refused}) => refused[name] ?? 0), isComplete,
		}];
	});
}
