/** Plug-in: keeps the engines of each pool on the newest published weights, and tells other features what they serve. */
import {ok} from 'neverthrow';
import {createEmitter} from '../../base/common/event.js';
import {joinDisposables} from '../../base/common/disposable.js';
import {formatFailure} from '../../base/common/failure.js';
import {auditKey} from '../../audit/common/audit.js';
import type {Context} from '../../kernel/common/contribution.js';
import {registerContribution} from '../../kernel/common/registry.js';
import {shardOf, shardsKey, type Holding} from '../../leases/common/shards.js';
import {membershipKey} from '../../membership/common/membership.js';
import {peersKey} from '../../peers/common/peers.js';
import {storeKey} from '../../adapters/common/store.js';
import {routerKey} from '../../routing/common/router.js';
import {settingsKey, type EnginePool, type Settings} from '../../settings/common/settings.js';
import {engineVersionsKey, type EngineNeed, type ModelVersions} from '../common/engine-versions.js';
import {createPoolFollower, type PoolFollower} from '../common/pool-follower.js';
import {createPoolOwner, type PoolOwner} from '../common/pool-owner.js';
import {createTargetKeeper, type Target} from '../common/target-keeper.js';
import type {VersionBook} from '../common/version-book.js';
import {createWeightsClient, serveWeights} from './weights-rpc.js';

type OwnedPool = {
	readonly fencing: number;
	readonly owner: PoolOwner;
};

type PoolSide = {
	readonly pool: EnginePool;
	readonly shard: number;
	readonly follower: PoolFollower;
	owned: OwnedPool | undefined;
	/** Runs until now, for the reads of the targets that come once in several runs. */
	runs: number;
};

/** Versions that a needed engine may lie behind where idle time is the measure. */
const TOLERATED_LAG = 1;

/** An owner reads the targets from the store once in so many runs; announcements come in between. */
const RUNS_PER_TARGET_READ = 10;

function listEnginePools(settings: Settings): readonly EnginePool[] {
	return settings.pools.filter(pool => pool.kind === 'engine');
}

function start(context: Context) {
	const settings = context.use(settingsKey);
	const shards = context.use(shardsKey);
	const router = context.use(routerKey);
	const audit = context.use(auditKey);
	const peers = context.use(peersKey);
	const {self} = context.use(membershipKey);
	const writer = `${self().id}-${self().incarnation}`;
	const targets = createTargetKeeper(context.use(storeKey), writer);
	const client = createWeightsClient(peers);
	const changes = createEmitter<ModelVersions>();
	const pools = listEnginePools(settings);
	let isNeeded: EngineNeed = () => false;

	/** A version that the staleness bound of one of the model's trainers excludes is never good enough. */
	function toleratedLag(model: string): number {
		const bounds = settings.trainers.filter(trainer => trainer.model === model).map(trainer => trainer.stalenessBound);
		return settings.rollouts.measure === 'idle' && bounds.length > 0 ? Math.min(TOLERATED_LAG, ...bounds) : 0;
	}

	const readChanges = (shard: number): Parameters<typeof createPoolFollower>[1] => async (pool, position) => {
		const owner = shards.owner(shard, context.clock.monotonic());
		if (owner === undefined || owner.daemonId === self().id) {
			return ok(undefined);
		}

		const answer = await client.readChanges(owner, pool, position);
		if (answer.isOk() && answer.value === undefined) {
			shards.reportWrongOwner(shard, owner.daemonId);
		}

		return answer;
	};

	const sides: readonly PoolSide[] = pools.map(pool => {
		const shard = shardOf('pool', pool.name, shards.count);
		return {
			pool, shard, follower: createPoolFollower(pool.name, readChanges(shard)), owned: undefined, runs: 0,
		};
	});

	function createOwner({pool, shard}: PoolSide, held: Holding, now: number): PoolOwner {
		return createPoolOwner({
			pool: pool.name,
			daemonId: self().id,
			models: pool.models,
			limits: {
				...settings.weights,
				concurrentLoads: Math.max(1, Math.floor(settings.weights.concurrentLoads / pools.length)),
				toleratedLag,
			},
			fencing: pool.fencing,
			leaseMs: settings.leases.durationMs,
			monotonic: context.clock.monotonic,
			holding: at => shards.holding(shard, at),
			engines: () => router.servers(pool.name).filter(server => server.state === 'live').map(server => ({id: server.id, engine: router.engine(server)})),
			isNeeded: (serverId, at) => isNeeded(pool.name, serverId, at),
			record: audit.record,
			onFailure(failure) {
				context.log.warn('engine order or reading failed', {pool: pool.name, failure: formatFailure(failure)});
			},
		}, held, now);
	}

	/** Keeps an owner exactly as long as one holding lasts. */
	function ownerAt(side: PoolSide, now: number): PoolOwner | undefined {
		const held = shards.holding(side.shard, now);
		if (held === undefined) {
			side.owned = undefined;
			return undefined;
		}

		if (side.owned?.fencing !== held.fencing) {
			side.owned = {fencing: held.fencing, owner: createOwner(side, held, now)};
			side.runs = 0;
		}

		return side.owned.owner;
	}

	function bookOf(side: PoolSide, now: number): VersionBook {
		return ownerAt(side, now)?.book ?? side.follower.book;
	}

	function find(poolName: string, model: string): ModelVersions {
		const side = sides.find(candidate => candidate.pool.name === poolName);
		const now = context.clock.monotonic();
		const book = side && bookOf(side, now);
		const known = side !== undefined && (side.owned !== undefined || side.follower.isFresh(now));
		return {
			pool: poolName, model, target: book?.target(model) ?? 0, engines: known ? book?.engines(model) ?? [] : [],
		};
	}

	async function readTargets(side: PoolSide, owner: PoolOwner): Promise<void> {
		side.runs += 1;
		if (side.runs % RUNS_PER_TARGET_READ !== 1) {
			return;
		}

		const found = await targets.read(side.pool.name);
		found.match(value => {
			owner.setTargets(value);
		}, failure => {
			// Without a reading the next run tries again, and the targets known so far stay in force.
			side.runs = 0;
			context.log.warn('targets not read', {failure: formatFailure(failure)});
		});
	}

	async function runPool(side: PoolSide, now: number): Promise<void> {
		const owner = ownerAt(side, now);
		if (owner !== undefined) {
			await readTargets(side, owner);
		}

		const changed = owner === undefined ? await side.follower.run(now) : owner.run(context.clock.monotonic());
		changed.forEach(model => {
			changes.fire(find(side.pool.name, model));
		});
	}

	function noteTarget(poolName: string, target: Target): void {
		const side = sides.find(candidate => candidate.pool.name === poolName);
		if (side !== undefined) {
			ownerAt(side, context.clock.monotonic())?.setTargets([target]);
		}
	}

	async function announce(poolName: string, target: Target): Promise<void> {
		noteTarget(poolName, target);
		const owner = shards.owner(shardOf('pool', poolName, shards.count), context.clock.monotonic());
		if (owner !== undefined && owner.daemonId !== self().id) {
			// A lost announcement only costs the wait until the owner's next read of the targets.
			await client.announce(owner, poolName, target);
		}
	}

	serveWeights(peers, {
		changes(poolName, position) {
			const side = sides.find(candidate => candidate.pool.name === poolName);
			return side && ownerAt(side, context.clock.monotonic())?.book.changesSince(position.book, position.revision);
		},
		announced: noteTarget,
	});

	context.provide(engineVersionsKey, {
		find,
		async publish(poolName, model, version) {
			const raised = await targets.raise(poolName, {model, version});
			if (raised.isOk()) {
				void announce(poolName, {model, version: raised.value});
			}

			return raised;
		},
		onDidChange: changes.event,
		setNeed(need) {
			isNeeded = need;
		},
	});

	return joinDisposables(sides.map(side => context.loop.every({
		name: `engine versions of ${side.pool.name}`,
		periodMs: settings.weights.pollMs,
		jitterShare: 0.1,
		run: async now => runPool(side, now),
	})));
}

registerContribution({id: 'weights', requires: ['membership', 'leases', 'audit', 'routing'], start});
