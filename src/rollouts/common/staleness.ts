/** The staleness bound: how many versions the oldest token of a sample may be behind the trainer's version. */
import type {VersionRange} from '../../adapters/common/engine.js';
import {oldestVersion} from './labels.js';

/** Decides which weight versions satisfy the staleness bound. */
export type StalenessRule = {
	/** Returns whether a sample with these ranges may be delivered to a trainer on version `weightVersion`. */
	readonly isFresh: (ranges: readonly VersionRange[], weightVersion: number) => boolean;
	/** Returns the oldest version that the bound allows. */
	readonly oldestAllowed: (weightVersion: number) => number;
};

/** Creates the rule; `bound` is in versions. */
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
