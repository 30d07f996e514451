/** What the router tells admission of the capacity of pools. */
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {ServerLoad} from './concurrency.js';

/** The capacity of pools as one daemon sees it. */
export type Capacity = {
	/** Takes the loads of all servers of a pool that accept new work. */
	readonly report: (pool: string, loads: readonly ServerLoad[]) => void;
	readonly loads: (pool: string) => readonly ServerLoad[];
};

/** The daemon's view of capacity. */
export const capacityKey = createServiceKey<Capacity>('capacity');

/** Creates a view without any server. */
export function createCapacity(): Capacity {
	const pools = new Map<string, readonly ServerLoad[]>();
	return {
		report(pool, loads) {
			pools.set(pool, loads);
		},
		loads: pool => pools.get(pool) ?? [],
	};
}
