/** The weight version of a model that the engines of a pool should serve, and the version that each engine reports. */
import type {Result} from 'neverthrow';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The version of one model on one engine, as last reported by the engine. */
export type EngineVersion = {
	readonly serverId: string;
	readonly version: number;
	/** False while the engine loads, after a failed load, and when the engine serves a version that was not ordered. */
	readonly usable: boolean;
};

/** The versions of one model in one pool, as known to this daemon. */
export type ModelVersions = {
	readonly pool: string;
	readonly model: string;
	/** The newest version that trainers have published. */
	readonly target: number;
	/** The version of each engine; empty while this daemon has no recent information about the pool. */
	readonly engines: readonly EngineVersion[];
};

/** Reads and publishes weight versions. */
export type EngineVersions = {
	readonly find: (pool: string, model: string) => ModelVersions;
	/**
	 * Records that a trainer has published a version, and returns the current target, which never decreases. Publishing
	 * is idempotent. Fails with `unavailable` while the store is unreachable.
	 */
	readonly publish: (pool: string, model: string, version: number) => Promise<Result<number, Failure>>;
	readonly onDidChange: Event<ModelVersions>;
	/** Sets the check for engines that are needed now. Their loads are deferred as far as the pool's limits allow. */
	readonly setNeedCheck: (check: EngineNeedCheck) => void;
};

/** Returns whether a trainer waits for the current requests of an engine. */
export type EngineNeedCheck = (pool: string, serverId: string, now: number) => boolean;

/** The service key of the weight versions. */
export const engineVersionsKey = createServiceKey<EngineVersions>('engine-versions');
