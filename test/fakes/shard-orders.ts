/** Makes daemons send orders for the shards that they hold, records what the receiver of these orders gets, and checks these records. */
import type {createDaemonFleet, FleetDaemon} from './daemon-fleet.js';

/** An order as it arrived at its receiver. */
export type ReceivedOrder = {
	/** Virtual time, not the daemon's own clock, in milliseconds. */
	readonly at: number;
	readonly shard: number;
	readonly daemonId: string;
	readonly fencing: number;
	readonly accepted: boolean;
};

/** Time between two orders of one daemon for one shard. */
const ORDER_INTERVAL_MS = 200;
/** Time from the check of the lease to the arrival of the order. */
const ORDER_LATENCY_MS = 2;

/** Creates a receiver that accepts all orders or, with `checksFencing`, refuses a fencing number that is lower than one that it has accepted before. */
export function createOrderRecorder(fleet: ReturnType<typeof createDaemonFleet>, checksFencing: boolean) {
	const record: ReceivedOrder[] = [];
	const highest = new Map<number, number>();
	const freezeRequests = new Set<string>();
	const inFlight = new Map<string, number>();

	function countInFlight(daemonId: string, change: number): void {
		inFlight.set(daemonId, (inFlight.get(daemonId) ?? 0) + change);
	}

	function receive(daemonId: string, shard: number, fencing: number): void {
		const accepted = !checksFencing || fencing >= (highest.get(shard) ?? 0);
		highest.set(shard, Math.max(fencing, highest.get(shard) ?? 0));
		record.push({
			at: fleet.time.clock.monotonic(), shard, daemonId, fencing, accepted,
		});
	}

	function sendOrder(daemon: FleetDaemon, shard: number): void {
		const holding = daemon.shards.holding(shard, daemon.process.clock.monotonic());
		if (holding === undefined) {
			return;
		}

		countInFlight(daemon.id, 1);
		daemon.process.loop.after(ORDER_LATENCY_MS, () => {
			countInFlight(daemon.id, -1);
			receive(daemon.id, shard, holding.fencing);
		});
		if (freezeRequests.delete(daemon.id)) {
			daemon.process.freeze();
		}
	}

	return {
		record,
		/** Makes a daemon send orders for the shards that it holds. */
		follow(daemon: FleetDaemon) {
			daemon.process.loop.every({
				name: 'act',
				periodMs: ORDER_INTERVAL_MS,
				jitterShare: 0.2,
				run() {
					Array.from({length: daemon.shards.count}).forEach((_, shard) => {
						sendOrder(daemon, shard);
					});
				},
			});
		},
		/** Freezes a daemon right after its next check of a lease, before the order is sent. */
		freezeAfterLeaseCheck(daemonId: string) {
			freezeRequests.add(daemonId);
		},
		/** Whether a daemon has checked a lease but not yet sent the order. */
		isInFlight: (daemonId: string) => (inFlight.get(daemonId) ?? 0) > 0,
		/** Cancels the freezes that have not happened yet. */
		cancelFreezes() {
			freezeRequests.clear();
		},
	};
}

/** Finds orders that were accepted after an order of a later holder had been accepted. */
export function findOvertakenOrders(record: readonly ReceivedOrder[]): readonly ReceivedOrder[] {
	const highest = new Map<number, number>();
	return record.filter(order => order.accepted).filter(order => {
		const before = highest.get(order.shard) ?? 0;
		highest.set(order.shard, Math.max(before, order.fencing));
		return order.fencing < before;
	});
}

/** Finds orders whose fencing number another daemon has used before for the same shard. */
export function findSharedFencingNumbers(record: readonly ReceivedOrder[]): readonly ReceivedOrder[] {
	const users = new Map<string, string>();
	return record.filter(order => {
		const key = `${order.shard} ${order.fencing}`;
		const user = users.get(key) ?? order.daemonId;
		users.set(key, user);
		return user !== order.daemonId;
	});
}

/** Returns the longest time, in milliseconds, without an accepted order for a shard. */
export function longestTimeWithoutOrder(record: readonly ReceivedOrder[], shard: number, from: number, to: number): number {
	const times = record.filter(order => order.accepted && order.shard === shard && order.at >= from && order.at <= to).map(order => order.at);
	const bounds = [from, ...times, to];
	return Math.max(...bounds.slice(1).map((at, index) => at - (bounds[index] ?? at)));
}
