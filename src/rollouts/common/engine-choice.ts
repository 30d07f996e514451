/** Chooses the engines that may generate for a step, by the versions that they serve. */
import type {ModelVersions} from '../../weights/common/engine-versions.js';

/** Returns the ids of usable engines whose version is not older than `oldestAllowed`. */
export function chooseEngines(versions: ModelVersions, oldestAllowed: number): readonly string[] {
	return versions.engines
		.filter(engine => engine.usable && engine.version >= oldestAllowed)
		.map(engine => engine.serverId);
}
