/**
 * Divides the slots of a pool's engines between the trainers that share them. Every owner of a trainer computes the same
 * division from the same demands, so no coordinator is needed. While owners know different demands, the only effect is that
 * some streams wait in an engine's queue.
 */

/** The remaining work of a trainer's steps. */
export type TrainerDemand = {
	readonly trainer: string;
	/** Samples without a text. More streams than this are useless. */
	readonly samples: number;
	/** Tokens that these samples are still expected to need. */
	readonly tokens: number;
	/** Whether the trainer is idle until it receives samples. */
	readonly isWaiting: boolean;
};

/** Whether a trainer is idle because it waits for samples that are not generated yet. */
export function isWaitingForSamples(demand: TrainerDemand): boolean {
	return demand.isWaiting && demand.samples > 0;
}

/** Slots by trainer name. */
export type SlotShares = ReadonlyMap<string, number>;

/** The slots that one trainer may use. */
export type SlotBudget = {
	readonly slots: number;
	/** Slots that no trainer needs. */
	readonly spare: number;
};

/** A strategy for the division of slots. */
export abstract class SlotDivision {
	/** Divides `slots` slots; no trainer receives more slots than it has samples. */
	abstract divide(slots: number, demands: readonly TrainerDemand[]): SlotShares;
}

function orderByName(demands: readonly TrainerDemand[]): readonly TrainerDemand[] {
	return demands.filter(demand => demand.samples > 0).toSorted((a, b) => (a.trainer < b.trainer ? -1 : 1));
}

/** Divides slots in proportion to weights, as integers. Slots that one trainer cannot use go to the others. */
export function divideByWeight(slots: number, demands: readonly TrainerDemand[], weightOf: (demand: TrainerDemand) => number): SlotShares {
	const active = orderByName(demands);
	const total = active.reduce((sum, demand) => sum + weightOf(demand), 0);
	const saturated = active.filter(demand => demand.samples <= slots * weightOf(demand) / total);
	if (saturated.length > 0) {
		const used = saturated.reduce((sum, demand) => sum + demand.samples, 0);
		const rest = divideByWeight(slots - used, active.filter(demand => !saturated.includes(demand)), weightOf);
		return new Map([...saturated.map(demand => [demand.trainer, demand.samples] as const), ...rest]);
	}

	const exact = active.map(demand => ({trainer: demand.trainer, share: slots * weightOf(demand) / total}));
	const left = slots - exact.reduce((sum, entry) => sum + Math.floor(entry.share), 0);
	const roundedUp = new Set(exact.toSorted((a, b) => (b.share % 1) - (a.share % 1)).slice(0, Math.max(0, left)).map(entry => entry.trainer));
	return new Map(exact.map(({trainer, share}) => [trainer, Math.floor(share) + (roundedUp.has(trainer) ? 1 : 0)]));
}

/** Divides the slots equally. */
export class EqualDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		return divideByWeight(slots, demands, () => 1);
	}
}

/** Divides the slots in proportion to the expected work, so that all steps complete at about the same time. */
export class ProportionalDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		return divideByWeight(slots, demands, demand => Math.max(1, demand.tokens));
	}
}

/** Serves idle trainers first, starting with the least remaining work, so that fewer trainers are idle at a time. */
export class ShortestFirstDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		const ordered = orderByName(demands).toSorted((a, b) => Number(b.isWaiting) - Number(a.isWaiting) || a.tokens - b.tokens);
		return ordered.reduce<{readonly left: number; readonly shares: SlotShares}>(({left, shares}, demand) => {
			const granted = Math.min(left, demand.samples);
			return {left: left - granted, shares: new Map([...shares, [demand.trainer, granted]])};
		}, {left: slots, shares: new Map()}).shares;
	}
}

/** Returns the slots that one trainer may use under a division. */
export function budgetOf(division: SlotDivision, slots: number, demands: readonly TrainerDemand[], trainer: string): SlotBudget {
	const shares = division.divide(slots, demands);
	const used = [...shares.values()].reduce((sum, share) => sum + share, 0);
	return {slots: shares.get(trainer) ?? 0, spare: Math.max(0, slots - used)};
}
