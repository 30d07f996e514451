/** Plug-in: keeps the engines of each pool on the newest published weights, and provides their versions to other features. */
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
import {engineVersionsKey, type EngineNeedCheck, type ModelVersions} from '../common/engine-versions.js';
import {createPoolFollower, type PoolFollower} from '../common/pool-follower.js';
import {createPoolOwner, type PoolOwner} from '../common/pool-owner.js';
import {createTargetStore, type Target} from '../common/target-store.js';
import type {VersionTable} from '../common/version-table.js';
import {createWeightsClient, serveWeights} from './weights-rpc.js';

type OwnedPool = {
	readonly fencing: number;
	readonly owner: PoolOwner;
};

type PoolState = {
	readonly pool: EnginePool;
	readonly shard: number;
	readonly follower: PoolFollower;
	owned: OwnedPool | undefined;
	/** Number of runs so far; targets are read once in `RUNS_PER_TARGET_READ` runs. */
	runs: number;
};

/** Number of versions that a needed engine may be behind when idle time is to be minimised. */
const TOLERATED_LAG_VERSIONS = 1;

/** Runs between two reads of the targets from the store; between these reads, the owner gets targets by announcements. */
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
	const targets = createTargetStore(context.use(storeKey), writer);
	const client = createWeightsClient(peers);
	const changes = createEmitter<ModelVersions>();
	const pools = listEnginePools(settings);
	let isNeeded: EngineNeedCheck = () => false;

	/** Returns the tolerated lag; it never exceeds the staleness bound of any trainer of the model. */
	function toleratedLag(model: string): number {
		const bounds = settings.trainers.filter(trainer => trainer.model === model).map(trainer => trainer.stalenessBound);
		return settings.rollouts.measure === 'idle' && bounds.length > 0 ? Math.min(TOLERATED_LAG_VERSIONS, ...bounds) : 0;
	}

	const readChanges = (shard: number): Parameters<typeof createPoolFollower>[1] => async (pool, position) => {
		const owner = shards.owner(shard, context.clock.monotonic());
		if (owner === undefined || owner.daemonId === self().id) {
			return ok(undefined);
		}

		const response = await client.readChanges(owner, pool, position);
		if (response.isOk() && response.value === undefined) {
			shards.reportWrongOwner(shard, owner.daemonId);
		}

		return response;
	};

	const poolStates: readonly PoolState[] = pools.map(pool => {
		const shard = shardOf('pool', pool.name, shards.count);
		return {
			pool, shard, follower: createPoolFollower(pool.name, readChanges(shard)), owned: undefined, runs: 0,
		};
	});

	function createOwner({pool, shard}: PoolState, held: Holding, now: number): PoolOwner {
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
				context.log.warn('engine order or status read failed', {pool: pool.name, failure: formatFailure(failure)});
			},
		}, held, now);
	}

	/** Returns the owner of a pool while this daemon holds its shard; each holding gets a new owner. */
	function ownerAt(poolState: PoolState, now: number): PoolOwner | undefined {
		const held = shards.holding(poolState.shard, now);
		if (held === undefined) {
			poolState.owned = undefined;
			return undefined;
		}

		if (poolState.owned?.fencing !== held.fencing) {
			poolState.owned = {fencing: held.fencing, owner: createOwner(poolState, held, now)};
			poolState.runs = 0;
		}

		return poolState.owned.owner;
	}

	function versionTableOf(poolState: PoolState, now: number): VersionTable {
		return ownerAt(poolState, now)?.versionTable ?? poolState.follower.versionTable;
	}

	function find(poolName: string, model: string): ModelVersions {
		const poolState = poolStates.find(candidate => candidate.pool.name === poolName);
		const now = context.clock.monotonic();
		const versionTable = poolState && versionTableOf(poolState, now);
		const isKnown = poolState !== undefined && (poolState.owned !== undefined || poolState.follower.isFresh(now));
		return {
			pool: poolName, model, target: versionTable?.target(model) ?? 0, engines: isKnown ? versionTable?.engines(model) ?? [] : [],
		};
	}

	async function readTargets(poolState: PoolState, owner: PoolOwner): Promise<void> {
		poolState.runs += 1;
		if (poolState.runs % RUNS_PER_TARGET_READ !== 1) {
			return;
		}

		const found = await targets.read(poolState.pool.name);
		found.match(value => {
			owner.setTargets(value);
		}, failure => {
			// The next run tries again; until then the last known targets stay in force.
			poolState.runs = 0;
			context.log.warn('targets not read from the store', {failure: formatFailure(failure)});
		});
	}

	async function runPool(poolState: PoolState, now: number): Promise<void> {
		const owner = ownerAt(poolState, now);
		if (owner !== undefined) {
			await readTargets(poolState, owner);
		}

		const changed = owner === undefined ? await poolState.follower.run(now) : owner.run(context.clock.monotonic());
		changed.forEach(model => {
			changes.fire(find(poolState.pool.name, model));
		});
	}

	function applyTarget(poolName: string, target: Target): void {
		const poolState = poolStates.find(candidate => candidate.pool.name === poolName);
		if (poolState !== undefined) {
			ownerAt(poolState, context.clock.monotonic())?.setTargets([target]);
		}
	}

	async function announce(poolName: string, target: Target): Promise<void> {
		applyTarget(poolName, target);
		const owner = shards.owner(shardOf('pool', poolName, shards.count), context.clock.monotonic());
		if (owner !== undefined && owner.daemonId !== self().id) {
			// A lost announcement only delays the new target until the owner's next read of the targets.
			await client.announce(owner, poolName, target);
		}
	}

	serveWeights(peers, {
		changes(poolName, position) {
			const poolState = poolStates.find(candidate => candidate.pool.name === poolName);
			return poolState && ownerAt(poolState, context.clock.monotonic())?.versionTable.changesSince(position.book, position.revision);
		},
		onTargetAnnounced: applyTarget,
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
		setNeedCheck(need) {
			isNeeded = need;
		},
	});

	return joinDisposables(poolStates.map(poolState => context.loop.every({
		name: `engine versions of ${poolState.pool.name}`,
		periodMs: settings.weights.pollMs,
		jitterShare: 0.1,
		run: async now => runPool(poolState, now),
	})));
}

registerContribution({id: 'weights', requires: ['membership', 'leases', 'audit', 'routing'], start});
