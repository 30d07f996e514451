/** Chooses the engines that may generate for a step, by the versions that they serve and the deployment's measure. */
import type {ModelVersions} from '../../weights/common/engine-versions.js';

/** The measure that a choice lowers. */
export type Measure = 'idle' | 'staleness';

/** What a step asks of the versions. */
export type VersionDemand = {
	/** The oldest version that the staleness bound allows. */
	readonly oldestAllowed: number;
	/** The version that the trainer is on. */
	readonly weightVersion: number;
};

/**
 * Returns the ids of usable engines whose version is allowed. To lower idle time all of them generate while a new version
 * spreads; to lower staleness only those on the trainer's version do, as soon as there are any.
 */
export function chooseEngines(versions: ModelVersions, demand: VersionDemand, measure: Measure): readonly string[] {
	const allowed = versions.engines.filter(engine => engine.usable && engine.version >= demand.oldestAllowed);
	const newest = Math.max(0, ...allowed.map(engine => engine.version));
	const least = measure === 'staleness' ? Math.min(demand.weightVersion, newest) : 0;
	return allowed.filter(engine => engine.version >= least).map(engine => engine.serverId);
}
