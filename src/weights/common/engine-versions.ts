/** Which weight version of a model the engines of a pool are ordered to serve, and which they truly serve. */
import type {Event} from '../../base/common/event.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The versions of one model in one pool as this daemon knows them. */
export type ModelVersions = {
	readonly pool: string;
	readonly model: string;
	/** The newest version that trainers have published. */
	readonly target: number;
	/** Versions as the engines themselves last reported them. */
	readonly engines: ReadonlyArray<{readonly serverId: string; readonly version: number; readonly usable: boolean}>;
};

/** The weight versions of one daemon. */
export type EngineVersions = {
	readonly find: (pool: string, model: string) => ModelVersions;
	/** Tells that a trainer has published a version. */
	readonly publish: (pool: string, model: string, version: number, now: number) => void;
	readonly onDidChange: Event<ModelVersions>;
};

/** The daemon's weight versions. */
export const engineVersionsKey = createServiceKey<EngineVersions>('engine-versions');
