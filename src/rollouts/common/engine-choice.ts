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

/** Chooses engines for one trainer. */
export type EngineChoice = {
	/** Returns the ids of the engines that may be used now. */
	readonly choose: (versions: ModelVersions, demand: VersionDemand, now: number) => readonly string[];
};

/** How long samples wait for an engine on the trainer's own version before older ones that the bound allows are used. */
const NEWEST_WAIT_MS = 15_000;

/**
 * Creates the choice for one trainer. To lower idle time, all engines that the bound allows generate while a new version
 * spreads. To lower staleness, only those on the trainer's version do, unless none reaches it for a while.
 */
export function createEngineChoice(measure: Measure): EngineChoice {
	let awaited = 0;
	let since = 0;

	function leastVersion(allowed: ModelVersions['engines'], demand: VersionDemand, now: number): number {
		if (demand.weightVersion > awaited) {
			awaited = demand.weightVersion;
			since = now;
		}

		const isThere = allowed.some(engine => engine.version >= demand.weightVersion);
		return isThere || now - since < NEWEST_WAIT_MS ? demand.weightVersion : demand.oldestAllowed;
	}

	return {
		choose(versions, demand, now) {
			const allowed = versions.engines.filter(engine => engine.usable && engine.version >= demand.oldestAllowed);
			const least = measure === 'idle' ? demand.oldestAllowed : leastVersion(allowed, demand, now);
			return allowed.filter(engine => engine.version >= least).map(engine => engine.serverId);
		},
	};
}
