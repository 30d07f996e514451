/** Registers the duties that one daemon has: usage reports and orders of servers. The holder of the lease on orders performs them; every daemon says what it knows. */
import {objectApiKey} from '../adapters/common/object-api.js';
import {joinDisposables, type Disposable} from '../base/common/disposable.js';
import {startPrioritiesKey} from '../batches/common/start-priorities.js';
import {gatewayKey, type Gateway} from '../gateway/gateway.contribution.js';
import {untracked, type RunTracker} from '../gateway/common/run-tracker.js';
import type {Activation, Context} from '../kernel/common/contribution.js';
import {registerContribution} from '../kernel/common/registry.js';
import {orderLeaseKey} from '../orders/orders.contribution.js';
import {peerMeshKey} from '../peers/common/peer-mesh.js';
import {hostKey} from '../settings/common/host.js';
import {dutiesKey, type Duties} from './common/duties-api.js';
import {computeQuietMs, createDutyTerm} from './common/duty-term.js';
import {createFleetTime, TIME_SAMPLE_MS} from './common/fleet-time.js';
import {createRecentCounts, type RecentCounts} from './common/recent-counts.js';
import {createUsageCounter, type UsageCounter} from './common/usage-counter.js';
import {MAXIMUM_WINDOWS} from './common/usage-record.js';
import {createDutyCalls, type DutyCalls} from './node/duty-calls.js';
import {createLoadCollection} from './node/load-collection.js';
import {createScaleDuty} from './node/scale-duty.js';
import {createUsageCollection} from './node/usage-collection.js';
import {createUsageDuty} from './node/usage-duty.js';
import {createUsageStore} from './node/usage-store.js';

/** Time between checks for windows that have ended, and for stored windows to send. */
const CHECK_PERIOD_MS = 250;
/** Time between readings of the loads. */
const SCALE_PERIOD_MS = 1000;
/** Time for which an attempt that a full server refused counts as waiting work. */
const REFUSAL_MS = 2000;
/** Items that must start within this time count as waiting work: the time for which servers boot, with a margin for the start of the work. */
const URGENT_MS = 15_000;

/** Creates the tracker of the attempts of one daemon. */
function createTracker({clock}: Context, {loads, view}: Gateway, counter: UsageCounter | undefined, refusals: RecentCounts): RunTracker {
	return {
		track(request, serverId) {
			const now = clock.monotonic();
			const {requests, slots} = loads.read(serverId, now);
			const server = {pool: view.find(serverId)?.pool ?? '', hasFreeSlot: requests <= slots};
			const run = counter?.track(request, server, now);
			return run === undefined && server.hasFreeSlot
				? untracked
				: {
					begin() {
						run?.begin(clock.monotonic());
					},
					end(mayHaveRun) {
						const endedAt = clock.monotonic();
						run?.end(mayHaveRun, endedAt);
						if (!mayHaveRun && !server.hasFreeSlot) {
							refusals.add(server.pool, endedAt);
						}
					},
				};
		},
	};
}

/** Reports the usage of all daemons while this daemon holds the lease. */
function startUsage(context: Context, {api, settings}: Duties, calls: DutyCalls, counter: UsageCounter): Activation {
	const {clock, loop, log} = context;
	const time = createFleetTime(clock);
	const windowAt = (now: number): number => Math.floor(time.read(now) / settings.windowMs);
	const collection = createUsageCollection({
		...context, mesh: context.use(peerMeshKey), counter, time,
	});
	const duty = createUsageDuty({
		api, lease: context.use(orderLeaseKey), calls, collection, store: createUsageStore(context.use(objectApiKey), log), time, times: settings, clock, log,
	});
	return {
		...joinDisposables([
			loop.every({name: 'usage collection', periodMs: CHECK_PERIOD_MS, run: duty.collect}),
			loop.every({name: 'usage reports', periodMs: CHECK_PERIOD_MS, run: duty.send}),
			loop.every({
				name: 'usage clock',
				periodMs: TIME_SAMPLE_MS,
				run(now) {
					time.sample();
					counter.forget(now, windowAt(now));
				},
			}),
		]),
		async drain() {
			const current = windowAt(clock.monotonic());
			await collection.handOver(Array.from({length: MAXIMUM_WINDOWS}, (_, index) => current - index));
		},
	};
}

/** Orders servers while this daemon holds the lease. */
function startScaling(context: Context, {api}: Duties, calls: DutyCalls, refusals: RecentCounts): Disposable {
	const {clock, loop, log} = context;
	const {deployment, view, loads} = context.use(gatewayKey);
	const mesh = context.use(peerMeshKey);
	const priorities = context.use(startPrioritiesKey);
	const collection = createLoadCollection({
		mesh,
		log,
		readOwn(pools) {
			const now = clock.monotonic();
			const requests = pools.flatMap(pool => view.list(pool)).map(({id}) => [id, loads.inFlight(id)] as const).filter(([, count]) => count > 0);
			return {requests: Object.fromEntries(requests), waiting: Object.fromEntries(priorities.countWaiting(mesh.self.name, URGENT_MS, now)), refused: refusals.read(now)};
		},
	});
	const duty = createScaleDuty({
		api, lease: context.use(orderLeaseKey), calls, collection, deployment, view, clock,
	});
	return loop.every({name: 'scaling', periodMs: SCALE_PERIOD_MS, run: duty.run});
}

registerContribution({
	id: 'duties',
	requires: ['hosted-platform', 'objects', 'gateway', 'batches', 'orders'],
	start(context) {
		const duties = context.use(dutiesKey);
		const host = context.use(hostKey);
		if (duties === undefined || host.callers === undefined) {
			return {dispose: () => undefined};
		}

		const {reportsUsage, scalesPools, callsPerSecond, windowMs} = duties.settings;
		const gateway = context.use(gatewayKey);
		const counter = reportsUsage ? createUsageCounter(windowMs) : undefined;
		const refusals = createRecentCounts(REFUSAL_MS);
		if (reportsUsage || scalesPools) {
			gateway.runs.set(createTracker(context, gateway, counter, refusals));
		}

		const calls = createDutyCalls({
			...context, holder: host.name, lease: context.use(orderLeaseKey), term: createDutyTerm(computeQuietMs(host.bounds.leaseMs, host.serversCheckFencing)), callsPerSecond,
		});
		const usage = counter === undefined ? undefined : startUsage(context, duties, calls, counter);
		const scaling = scalesPools ? startScaling(context, duties, calls, refusals) : {dispose: () => undefined};
		return {
			...joinDisposables([...(usage === undefined ? [] : [usage]), scaling]),
			...(usage?.drain !== undefined && {drain: usage.drain}),
		};
	},
});
