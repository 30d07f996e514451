/** The process-wide list of contributions, filled when `*.contribution` modules are imported. */
import type {Contribution} from './contribution.js';

const contributions = new Map<string, Contribution>();

/** Registers a contribution. Throws when another one has the same id, which is an error of the build. */
export function registerContribution(contribution: Contribution): void {
	if (contributions.has(contribution.id)) {
		throw new Error(`contribution ${contribution.id} is registered twice`);
	}

	contributions.set(contribution.id, contribution);
}

/** Lists the registered contributions in order of registration. */
export function listContributions(): readonly Contribution[] {
	return [...contributions.values()];
}
