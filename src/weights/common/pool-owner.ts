/**
 * Updates the engines of one pool while this daemon holds the pool's shard: reads the status of engines, sends the orders that
 * the wave decider returns, and maintains the table of versions that other daemons replicate.
 *
 * A paused owner may act after its lease has lapsed. Therefore each order contains the fencing number, the holding is checked
 * before each order, and its effect is verified by reading the engine's status. Engines that ignore fencing numbers cannot
 * refuse a late order, so a new owner first waits until every order of the previous owner must have ended.
 */
import type {Failure} from '../../base/common/failure.js';
import type {Audit} from '../../audit/common/audit.js';
import type {Holding} from '../../leases/common/shards.js';
import type {Engine} from '../../adapters/common/engine.js';
import type {Target} from './target-store.js';
import {createVersionTable, type VersionTable} from './version-table.js';
import {createWaveDecider, type LoadOrder, type WaveLimits} from './wave-decider.js';

/** An engine of the pool. */
export type PoolEngine = {
	readonly id: string;
	readonly engine: Engine;
};

/** Dependencies and settings of an owner. */
export type PoolOwnerOptions = {
	readonly pool: string;
	readonly daemonId: string;
	readonly models: readonly string[];
	readonly limits: WaveLimits;
	readonly fencing: 'checked' | 'ignored';
	/** Maximum time for which a previous owner may wrongly assume that it still holds the shard. */
	readonly leaseMs: number;
	readonly monotonic: () => number;
	/** Returns the holding of the pool's shard; checked again immediately before each order. */
	readonly holding: (now: number) => Holding | undefined;
	/** Returns the live engines of the pool. */
	readonly engines: () => readonly PoolEngine[];
	/** Returns whether a trainer waits for the current requests of an engine, so that its loads should be deferred. */
	readonly isNeeded: (serverId: string, now: number) => boolean;
	readonly record: Audit['record'];
	readonly onFailure: (failure: Failure) => void;
};

/** The owner of one pool. */
export type PoolOwner = {
	readonly setTargets: (targets: readonly Target[]) => void;
	/** Starts the due status reads and orders, and returns the models whose versions have changed since the last run. */
	readonly run: (now: number) => readonly string[];
	/** The versions of the pool. */
	readonly versionTable: VersionTable;
};

/** Creates the owner for one holding; `now` is the time at which the holding was acquired. */
export function createPoolOwner(options: PoolOwnerOptions, acquired: Holding, now: number): PoolOwner {
	const decider = createWaveDecider(options.limits);
	const versionTable = createVersionTable(`${options.daemonId}-${acquired.fencing}`);
	const firstOrderAt = options.fencing === 'ignored' ? now + options.leaseMs + options.limits.loadTimeoutMs : now;
	let orderCount = 0;

	function findEngine(serverId: string): Engine | undefined {
		return options.engines().find(candidate => candidate.id === serverId)?.engine;
	}

	async function readStatus(serverId: string): Promise<void> {
		const status = await findEngine(serverId)?.status();
		if (status?.isOk()) {
			decider.recordStatus(serverId, status.value, options.monotonic());
			return;
		}

		decider.recordUnreadable(serverId, options.monotonic());
		if (status?.isErr()) {
			options.onFailure(status.error);
		}
	}

	function recordOrder(order: LoadOrder, detail: string): void {
		options.record({
			actor: options.daemonId, action: 'order-engine', subject: `${order.serverId}/${order.model}`, fromVersion: order.fromVersion, toVersion: order.version, fencing: acquired.fencing, detail,
		});
	}

	async function sendOrder(order: LoadOrder): Promise<void> {
		const engine = findEngine(order.serverId);
		const held = options.holding(options.monotonic());
		if (engine === undefined || held?.fencing !== acquired.fencing) {
			decider.recordRefused(order, options.monotonic());
			return;
		}

		orderCount += 1;
		const response = await engine.order({
			orderId: `${versionTable.position().book}-${orderCount}`, fencing: acquired.fencing, kind: 'load-version', model: order.model, version: order.version,
		});
		recordOrder(order, response.isOk() ? 'accepted' : `${response.error.code}, ${response.error.effect}`);
		if (response.isOk()) {
			decider.recordAccepted(order, options.monotonic());
			return;
		}

		options.onFailure(response.error);
		// With an unknown outcome, the load counts as running until a status read or the load timeout shows how it ended.
		if (response.error.effect === 'notRun') {
			decider.recordRefused(order, options.monotonic());
		}
	}

	return {
		versionTable,
		setTargets(targets) {
			decider.setTargets(targets);
		},
		run(at) {
			decider.setEngines(options.engines().map(engine => engine.id));
			const actions = decider.decide(at, at >= firstOrderAt, serverId => options.isNeeded(serverId, at));
			// Not awaited, so that one engine that does not respond does not delay the others.
			actions.reads.forEach(serverId => {
				void readStatus(serverId);
			});
			actions.orders.forEach(order => {
				void sendOrder(order);
			});
			return options.models.filter(model => versionTable.replace({model, version: decider.target(model)}, decider.versions(model)));
		},
	};
}
