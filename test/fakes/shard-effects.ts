/** Daemons that act on the shards they hold, the receiver of their orders, and checkers over what the receiver saw. */
import type {createDaemonFleet, FleetDaemon} from './daemon-fleet.js';

/** An order as its receiver saw it. */
export type Effect = {
	/** True time. */
	readonly at: number;
	readonly shard: number;
	readonly daemonId: string;
	readonly fencing: number;
	readonly accepted: boolean;
};

/** Time between two orders of one daemon for one shard, and from the look at the lease to the order's arrival. */
const ORDER_MS = 200;
const TRAVEL_MS = 2;

/** Creates a receiver that refuses numbers lower than one it has accepted, or accepts all. */
export function createShardEffects(fleet: ReturnType<typeof createDaemonFleet>, checksFencing: boolean) {
	const record: Effect[] = [];
	const highest = new Map<number, number>();
	const frozenAfterLook = new Set<string>();
	const underWay = new Map<string, number>();

	function countUnderWay(daemonId: string, change: number): void {
		underWay.set(daemonId, (underWay.get(daemonId) ?? 0) + change);
	}

	function receive(daemonId: string, shard: number, fencing: number): void {
		const accepted = !checksFencing || fencing >= (highest.get(shard) ?? 0);
		highest.set(shard, Math.max(fencing, highest.get(shard) ?? 0));
		record.push({
			at: fleet.time.clock.monotonic(), shard, daemonId, fencing, accepted,
		});
	}

	function act(daemon: FleetDaemon, shard: number): void {
		const holding = daemon.shards.holding(shard, daemon.process.clock.monotonic());
		if (holding === undefined) {
			return;
		}

		countUnderWay(daemon.id, 1);
		daemon.process.loop.after(TRAVEL_MS, () => {
			countUnderWay(daemon.id, -1);
			receive(daemon.id, shard, holding.fencing);
		});
		if (frozenAfterLook.delete(daemon.id)) {
			daemon.process.freeze();
		}
	}

	return {
		record,
		/** Lets a daemon act on what it holds. */
		follow(daemon: FleetDaemon) {
			daemon.process.loop.every({
				name: 'act',
				periodMs: ORDER_MS,
				jitterShare: 0.2,
				run() {
					Array.from({length: daemon.shards.count}).forEach((_, shard) => {
						act(daemon, shard);
					});
				},
			});
		},
		/** Freezes a daemon right after its next look at a lease, with the order not yet sent. */
		freezeAfterLook(daemonId: string) {
			frozenAfterLook.add(daemonId);
		},
		/** Whether a daemon has looked at a lease and not yet sent the order. */
		isUnderWay: (daemonId: string) => (underWay.get(daemonId) ?? 0) > 0,
		/** Withdraws the freezes that have not happened yet. */
		cancelFreezes() {
			frozenAfterLook.clear();
		},
	};
}

/** Finds accepted orders of a holder after a later holder's order had been accepted. */
export function findOvertakenEffects(record: readonly Effect[]): readonly Effect[] {
	const highest = new Map<number, number>();
	return record.filter(effect => effect.accepted).filter(effect => {
		const before = highest.get(effect.shard) ?? 0;
		highest.set(effect.shard, Math.max(before, effect.fencing));
		return effect.fencing < before;
	});
}

/** Finds fencing numbers that two daemons have used for one shard. */
export function findSharedNumbers(record: readonly Effect[]): readonly Effect[] {
	const users = new Map<string, string>();
	return record.filter(effect => {
		const key = `${effect.shard} ${effect.fencing}`;
		const user = users.get(key) ?? effect.daemonId;
		users.set(key, user);
		return user !== effect.daemonId;
	});
}

/** Returns the longest time, in milliseconds, in which a shard had no accepted order. */
export function longestGap(record: readonly Effect[], shard: number, from: number, to: number): number {
	const times = record.filter(effect => effect.accepted && effect.shard === shard && effect.at >= from && effect.at <= to).map(effect => effect.at);
	const bounds = [from, ...times, to];
	return Math.max(...bounds.slice(1).map((at, index) => at - (bounds[index] ?? at)));
}
