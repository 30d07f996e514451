/** Capacity of the pools, as the router reports it to admission. */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {ServerLoad} from './concurrency.js';

/** The capacity of pools as known to one daemon. */
export type Capacity = {
	/** Replaces the loads of a pool; `loads` contains all of its servers that accept new work. */
	readonly report: (pool: string, loads: readonly ServerLoad[]) => void;
	readonly loads: (pool: string) => readonly ServerLoad[];
};

/** Service key of the daemon's view of capacity. */
export const capacityKey = createServiceKey<Capacity>('capacity');

/** Creates a view that contains no servers. */
export function createCapacity(): Capacity {
	const pools = new Map<string, readonly ServerLoad[]>();
	return {
		report(pool, loads) {
			pools.set(pool, loads);
		},
		loads: pool => pools.get(pool) ?? [],
	};
}
