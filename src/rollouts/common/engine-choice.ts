/** Chooses the engines that may generate samples for a step, by their weight versions and the metric to minimise. */
import type {ModelVersions} from '../../weights/common/engine-versions.js';

/** The metric that the choice of engines minimises: idle time, or staleness of samples. */
export type Measure = 'idle' | 'staleness';

/** The weight versions that a step accepts. */
export type VersionRequirement = {
	/** The oldest version that the staleness bound allows. */
	readonly oldestAllowed: number;
	/** The trainer's current version. */
	readonly weightVersion: number;
};

/** Chooses engines for one trainer. */
export type EngineChoice = {
	/** Returns the ids of the engines that may be used now. */
	readonly choose: (versions: ModelVersions, requirement: VersionRequirement, now: number) => readonly string[];
};

/** How long samples wait for an engine on the trainer's version before engines on older allowed versions are used. */
const NEWEST_VERSION_WAIT_MS = 15_000;

/**
 * Creates the choice for one trainer. With `idle`, every engine that the staleness bound allows is used while a new version
 * is being loaded. With `staleness`, only engines on the trainer's version are used, unless no engine serves that version
 * within `NEWEST_VERSION_WAIT_MS`.
 */
export function createEngineChoice(measure: Measure): EngineChoice {
	let awaitedVersion = 0;
	let awaitedSince = 0;

	function minimumVersion(allowed: ModelVersions['engines'], requirement: VersionRequirement, now: number): number {
		if (requirement.weightVersion > awaitedVersion) {
			awaitedVersion = requirement.weightVersion;
			awaitedSince = now;
		}

		const isServed = allowed.some(engine => engine.version >= requirement.weightVersion);
		return isServed || now - awaitedSince < NEWEST_VERSION_WAIT_MS ? requirement.weightVersion : requirement.oldestAllowed;
	}

	return {
		choose(versions, requirement, now) {
			const allowed = versions.engines.filter(engine => engine.usable && engine.version >= requirement.oldestAllowed);
			const minimum = measure === 'idle' ? requirement.oldestAllowed : minimumVersion(allowed, requirement, now);
			return allowed.filter(engine => engine.version >= minimum).map(engine => engine.serverId);
		},
	};
}
