/** Orders servers for the pools whose size can change, while this daemon holds the lease on orders. */
import type {Clock} from '../../base/common/clock.js';
import type {DeploymentHolder} from '../../gateway/common/deployment.js';
import type {ServerView} from '../../gateway/common/server-view.js';
import type {DutiesApi, ScaleOrder} from '../common/duties-api.js';
import {readPools, type PoolReading} from '../common/pool-reading.js';
import {createScalePlan, type OrderEnd} from '../common/scale-plan.js';
import type {DutyCallEnd, DutyCalls} from './duty-calls.js';
import type {LoadCollection} from './load-collection.js';

/** The duty of one daemon. */
export type ScaleDuty = {
	/** Reads the loads and gives the orders that are due; called periodically, never twice at a time. */
	readonly run: () => Promise<void>;
};

/** Dependencies of the duty. */
export type ScaleDutyDependencies = {
	readonly api: DutiesApi;
	readonly lease: {readonly fencing: (now: number) => number | undefined};
	readonly calls: DutyCalls;
	readonly collection: LoadCollection;
	readonly deployment: Pick<DeploymentHolder, 'current' | 'mayBeOutdated'>;
	readonly view: Pick<ServerView, 'all' | 'connectedSince'>;
	readonly clock: Clock;
};

/** Time for which the store must have answered before the servers' entries are relied on; servers rewrite lapsed entries within it. */
const MINIMUM_CONNECTED_MS = 5000;
/** Time between two readings of a large fleet, whose daemons are asked in groups. */
const GROUPED_PERIOD_MS = 1900;
const END_BY_OUTCOME: Readonly<Record<DutyCallEnd, OrderEnd>> = {
	notMade: 'notMade', limited: 'notMade', fenced: 'notMade', noAnswer: 'unknown', accepted: 'answered', refused: 'answered',
};

/** Creates the duty. */
export function createScaleDuty({
	api, lease, calls, collection, deployment, view, clock,
}: ScaleDutyDependencies): ScaleDuty {
	const plan = createScalePlan();
	let term: number | undefined;
	let readAt = Number.NEGATIVE_INFINITY;

	function isReliable(now: number): boolean {
		const since = view.connectedSince();
		return !deployment.mayBeOutdated(now) && since !== undefined && now - since >= MINIMUM_CONNECTED_MS;
	}

	async function give(order: ScaleOrder, reading: PoolReading): Promise<void> {
		const {zones, waiting, isComplete} = reading;
		const end = await calls.make({
			duty: 'scale',
			subject: `${order.pool}/${order.zone}`,
			details: {
				...order, zones, waiting, isComplete,
			},
			send: async caller => api.orderServers(caller, order),
		});
		plan.recordEnd(order, END_BY_OUTCOME[end], clock.monotonic());
	}

	return {
		async run() {
			const fencing = lease.fencing(clock.monotonic());
			const heldForMs = calls.heldForMs();
			// The same number after a time without one means that no other daemon has given orders meanwhile.
			if (fencing !== undefined && fencing !== term) {
				plan.reset();
				term = fencing;
			}

			const pools = deployment.current()?.pools ?? [];
			const scaled = pools.filter(({scale}) => scale !== undefined).map(({name}) => name);
			if (fencing === undefined || scaled.length === 0 || !isReliable(clock.monotonic())) {
				plan.interrupt();
				return;
			}

			if (collection.isGrouped() && clock.monotonic() - readAt < GROUPED_PERIOD_MS) {
				return;
			}

			readAt = clock.monotonic();
			const {loads, isComplete} = await collection.collect(scaled);
			const now = clock.monotonic();
			if (!isReliable(now) || lease.fencing(now) !== fencing) {
				plan.interrupt();
				return;
			}

			const readings = readPools(pools, view.all(), loads, isComplete);
			const orders = plan.plan(readings, {heldForMs}, now);
			await orders.reduce<Promise<void>>(async (previous, order) => {
				await previous;
				await give(order, readings.find(({pool}) => pool === order.pool)!);
			}, Promise.resolve());
		},
	};
}
