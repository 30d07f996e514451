/** Which weight version of a model the engines of a pool are ordered to serve, and which they truly serve. */
import type {Result} from 'neverthrow';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The version of one model on one engine, as the engine itself last reported it. */
export type EngineVersion = {
	readonly serverId: string;
	readonly version: number;
	/** False while the engine loads, after a failed load, and on a version that nobody ordered. */
	readonly usable: boolean;
};

/** The versions of one model in one pool as this daemon knows them. */
export type ModelVersions = {
	readonly pool: string;
	readonly model: string;
	/** The newest version that trainers have published. */
	readonly target: number;
	/** Versions as the engines themselves last reported them. */
	readonly engines: readonly EngineVersion[];
};

/** The weight versions of one daemon. */
export type EngineVersions = {
	readonly find: (pool: string, model: string) => ModelVersions;
	/**
	 * Records that a trainer has published a version, and returns the target in force, which never goes down. Publishing
	 * a version again is harmless. `unavailable` while the store is down.
	 */
	readonly publish: (pool: string, model: string, version: number) => Promise<Result<number, Failure>>;
	readonly onDidChange: Event<ModelVersions>;
	/** Sets the test for engines that are needed now: their loads are put off for a while where the pool's limits allow it. */
	readonly setNeed: (isNeeded: EngineNeed) => void;
};

/** Whether a trainer waits for what an engine does now. */
export type EngineNeed = (pool: string, serverId: string, now: number) => boolean;

/** The daemon's weight versions. */
export const engineVersionsKey = createServiceKey<EngineVersions>('engine-versions');
