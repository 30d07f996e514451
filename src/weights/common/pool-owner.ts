/**
 * Carries out the waves of one pool while this daemon holds the pool's shard: reads engines, gives the orders that the
 * wave decider asks for, and keeps the book of versions that other daemons follow.
 *
 * A paused holder may act after its lease has lapsed. Each order therefore carries the fencing number, is preceded by a
 * look at the holding, and is verified by reading back. Engines that ignore fencing numbers cannot refuse a late order,
 * so a new holder first waits until every order of the old one has ended.
 */
import type {Failure} from '../../base/common/failure.js';
import type {Audit} from '../../audit/common/audit.js';
import type {Holding} from '../../leases/common/shards.js';
import type {Engine} from '../../adapters/common/engine.js';
import type {Target} from './target-keeper.js';
import {createVersionBook, type VersionBook} from './version-book.js';
import {createWaveDecider, type LoadOrder, type WaveLimits} from './wave-decider.js';

/** An engine of the pool. */
export type PoolEngine = {
	readonly id: string;
	readonly engine: Engine;
};

/** What an owner needs. */
export type PoolOwnerOptions = {
	readonly pool: string;
	readonly daemonId: string;
	readonly models: readonly string[];
	readonly limits: WaveLimits;
	readonly fencing: 'checked' | 'ignored';
	/** Longest time for which a lapsed holder may believe that it still holds the shard. */
	readonly leaseMs: number;
	readonly monotonic: () => number;
	/** The holding of the pool's shard at a time. Asked again immediately before each order. */
	readonly holding: (now: number) => Holding | undefined;
	/** Live engines of the pool. */
	readonly engines: () => readonly PoolEngine[];
	/** Whether a trainer waits for what an engine does now, so that its loads are better put off. */
	readonly isNeeded: (serverId: string, now: number) => boolean;
	readonly record: Audit['record'];
	readonly onFailure: (failure: Failure) => void;
};

/** The owner of one pool. */
export type PoolOwner = {
	readonly setTargets: (targets: readonly Target[]) => void;
	/** Starts the reads and orders that are due, and returns the models whose versions have changed since the last run. */
	readonly run: (now: number) => readonly string[];
	readonly book: VersionBook;
};

/** Creates the owner for one holding, at the time at which it was acquired. */
export function createPoolOwner(options: PoolOwnerOptions, acquired: Holding, now: number): PoolOwner {
	const decider = createWaveDecider(options.limits);
	const book = createVersionBook(`${options.daemonId}-${acquired.fencing}`);
	const ordersFrom = options.fencing === 'ignored' ? now + options.leaseMs + options.limits.loadTimeoutMs : now;
	let orders = 0;

	function find(serverId: string): Engine | undefined {
		return options.engines().find(candidate => candidate.id === serverId)?.engine;
	}

	async function read(serverId: string): Promise<void> {
		const status = await find(serverId)?.status();
		if (status?.isOk()) {
			decider.noteStatus(serverId, status.value, options.monotonic());
			return;
		}

		decider.noteUnreadable(serverId, options.monotonic());
		if (status?.isErr()) {
			options.onFailure(status.error);
		}
	}

	function recordOrder(order: LoadOrder, detail: string): void {
		options.record({
			actor: options.daemonId, action: 'order-engine', subject: `${order.serverId}/${order.model}`, fromVersion: order.fromVersion, toVersion: order.version, fencing: acquired.fencing, detail,
		});
	}

	async function give(order: LoadOrder): Promise<void> {
		const engine = find(order.serverId);
		const held = options.holding(options.monotonic());
		if (engine === undefined || held?.fencing !== acquired.fencing) {
			decider.noteRefused(order, options.monotonic());
			return;
		}

		orders += 1;
		const answer = await engine.order({
			orderId: `${book.position().book}-${orders}`, fencing: acquired.fencing, kind: 'load-version', model: order.model, version: order.version,
		});
		recordOrder(order, answer.isOk() ? 'accepted' : `${answer.error.code}, ${answer.error.effect}`);
		if (answer.isOk()) {
			decider.noteAccepted(order, options.monotonic());
			return;
		}

		options.onFailure(answer.error);
		// With an unknown outcome the load stays counted until a reading or the load timeout settles it.
		if (answer.error.effect === 'notRun') {
			decider.noteRefused(order, options.monotonic());
		}
	}

	return {
		book,
		setTargets(targets) {
			decider.setTargets(targets);
		},
		run(at) {
			decider.setEngines(options.engines().map(engine => engine.id));
			const actions = decider.decide(at, at >= ordersFrom, serverId => options.isNeeded(serverId, at));
			// Not awaited: one engine that does not answer must not hold up the others.
			actions.reads.forEach(serverId => {
				void read(serverId);
			});
			actions.orders.forEach(order => {
				void give(order);
			});
			return options.models.filter(model => book.replace({model, version: decider.target(model)}, decider.versions(model)));
		},
	};
}
