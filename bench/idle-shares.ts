/** Attributes the time that trainers wait for samples to what the engines do in that time. */
import type {EngineCondition} from './engine-model.js';

/** Waiting time in milliseconds by cause, in proportion to the engines' token rate. */
export type IdleShares = {
	/** Generating samples for the waiting trainer. */
	readonly own: number;
	/** Generating samples for other trainers. */
	readonly others: number;
	/** Loading weights. */
	readonly loads: number;
	/** Slow, stalled or down. */
	readonly faults: number;
	/** Too few streams to use the full rate. */
	readonly unused: number;
};

/** The sum before any waiting time is added. */
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

/** Adds `elapsedMs` in which the trainer waited while the engines were in the given conditions. */
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
