/** Describes the servers of a pool: which of them can take more work now, as far as this daemon knows. */
import type {ServerPermits} from '../../limits/common/server-permits.js';
import type {LoadEstimate} from '../../routing/common/load-estimate.js';
import type {FailureRates} from './failure-rates.js';
import type {HedgeServer} from './hedge-policy.js';
import type {ServerView} from './server-view.js';

/** Dependencies of the description. */
export type PoolServerDependencies = {
	readonly view: Pick<ServerView, 'list' | 'table'>;
	readonly loads: LoadEstimate;
	readonly permits: Pick<ServerPermits, 'isLimited'>;
	readonly failureRates: FailureRates;
};

/** Lists the servers of a pool. */
export type PoolServers = (pool: string, now: number) => readonly HedgeServer[];

/** Creates the list. */
export function createPoolServers({
	view, loads, permits, failureRates,
}: PoolServerDependencies): PoolServers {
	return (pool, now) => {
		const ids = view.list(pool).map(({id}) => id);
		const failing = new Set(failureRates.listFailing(ids, now));
		return ids.map(id => {
			const load = loads.read(id, now);
			return {
				id, isUsable: view.table.isUsable(id, now), isLimited: permits.isLimited(id), isFull: load.likelyRequests >= load.slots, isFailing: failing.has(id),
			};
		});
	};
}
