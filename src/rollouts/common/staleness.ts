/** The staleness bound: how many versions the oldest token of a sample may lie behind the trainer's own version. */
import type {VersionRange} from '../../adapters/common/engine.js';
import {oldestVersion} from './labels.js';

/** Decides which versions are young enough. */
export type StalenessRule = {
	/** Returns whether a sample with these ranges may be handed to a trainer that is on `weightVersion`. */
	readonly isFresh: (ranges: readonly VersionRange[], weightVersion: number) => boolean;
	/** Returns the oldest version that is still young enough. */
	readonly oldestAllowed: (weightVersion: number) => number;
};

/** Creates the rule for a bound in versions. */
export function createStalenessRule(bound: number): StalenessRule {
	const oldestAllowed = (weightVersion: number) => Math.max(1, weightVersion - bound);
	return {
		oldestAllowed,
		isFresh(ranges, weightVersion) {
			const oldest = oldestVersion(ranges);
			return oldest !== undefined && oldest >= oldestAllowed(weightVersion);
		},
	};
}
