/** Divides the time that trainers wait by what the engines did meanwhile. */
import type {EngineCondition} from './engine-model.js';

/** Waiting time in milliseconds, divided in proportion to the engines' token rate. */
export type IdleShares = {
	/** Samples of the waiting trainer. */
	readonly own: number;
	/** Samples of other trainers. */
	readonly others: number;
	/** Engines that loaded weights. */
	readonly loads: number;
	/** Engines that were slow, stalled or down. */
	readonly faults: number;
	/** Engines with too few streams for their full rate. */
	readonly unused: number;
};

/** No waiting yet. */
export const noIdleShares: IdleShares = {
	own: 0, others: 0, loads: 0, faults: 0, unused: 0,
};

function shareOf(condition: EngineCondition, trainer: string): IdleShares {
	if (condition.speed < 1) {
		return {...noIdleShares, faults: 1};
	}

	if (condition.isLoading) {
		return {...noIdleShares, loads: 1};
	}

	const used = [...condition.used.values()].reduce((sum, share) => sum + share, 0);
	const own = condition.used.get(trainer) ?? 0;
	return {
		...noIdleShares, own, others: used - own, unused: 1 - used,
	};
}

/** Adds a moment in which a trainer waited. */
export function addIdleShares(sum: IdleShares, trainer: string, conditions: readonly EngineCondition[], elapsedMs: number): IdleShares {
	const weight = elapsedMs / conditions.length;
	return conditions.map(condition => shareOf(condition, trainer)).reduce((total, share) => ({
		own: total.own + (share.own * weight),
		others: total.others + (share.others * weight),
		loads: total.loads + (share.loads * weight),
		faults: total.faults + (share.faults * weight),
		unused: total.unused + (share.unused * weight),
	}), sum);
}
