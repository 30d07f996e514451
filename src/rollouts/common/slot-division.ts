/**
 * Divides the streams of a pool's engines between the trainers that share them. Every owner of a trainer computes the
 * same division from the same demands, so no single owner is needed; demands that differ for a moment only make some
 * streams wait in an engine's queue.
 */

/** The work that a trainer's steps still need. */
export type TrainerDemand = {
	readonly trainer: string;
	/** Samples without a text: more streams than these are of no use. */
	readonly samples: number;
	/** Tokens that these samples are expected to take. */
	readonly tokens: number;
	/** Whether the trainer stands idle until samples come. */
	readonly isWaiting: boolean;
};

/** Whether a trainer stands idle for samples that are not there yet. */
export function isHeldUp(demand: TrainerDemand): boolean {
	return demand.isWaiting && demand.samples > 0;
}

/** Streams per trainer. */
export type SlotShares = ReadonlyMap<string, number>;

/** What one trainer may use. */
export type SlotBudget = {
	readonly slots: number;
	/** Slots that remain when every trainer has what it needs. */
	readonly spare: number;
};

/** A way of dividing. */
export abstract class SlotDivision {
	/** Divides `slots` streams; nobody receives more than it has samples. */
	abstract divide(slots: number, demands: readonly TrainerDemand[]): SlotShares;
}

function orderByName(demands: readonly TrainerDemand[]): readonly TrainerDemand[] {
	return demands.filter(demand => demand.samples > 0).toSorted((a, b) => (a.trainer < b.trainer ? -1 : 1));
}

/** Gives whole slots in proportion to weights; what one cannot use goes to the others. */
export function divideByWeight(slots: number, demands: readonly TrainerDemand[], weightOf: (demand: TrainerDemand) => number): SlotShares {
	const open = orderByName(demands);
	const total = open.reduce((sum, demand) => sum + weightOf(demand), 0);
	const sated = open.filter(demand => demand.samples <= slots * weightOf(demand) / total);
	if (sated.length > 0) {
		const used = sated.reduce((sum, demand) => sum + demand.samples, 0);
		const rest = divideByWeight(slots - used, open.filter(demand => !sated.includes(demand)), weightOf);
		return new Map([...sated.map(demand => [demand.trainer, demand.samples] as const), ...rest]);
	}

	const exact = open.map(demand => ({trainer: demand.trainer, share: slots * weightOf(demand) / total}));
	const left = slots - exact.reduce((sum, entry) => sum + Math.floor(entry.share), 0);
	const favoured = new Set(exact.toSorted((a, b) => (b.share % 1) - (a.share % 1)).slice(0, Math.max(0, left)).map(entry => entry.trainer));
	return new Map(exact.map(({trainer, share}) => [trainer, Math.floor(share) + (favoured.has(trainer) ? 1 : 0)]));
}

/** Divides equally. */
export class EqualDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		return divideByWeight(slots, demands, () => 1);
	}
}

/** Divides in proportion to the expected work, so that all steps end at about the same time. */
export class ProportionalDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		return divideByWeight(slots, demands, demand => Math.max(1, demand.tokens));
	}
}

/** Serves trainers that stand idle first, and among them the one with the least work left, so that fewer wait at a time. */
export class ShortestFirstDivision extends SlotDivision {
	override divide(slots: number, demands: readonly TrainerDemand[]): SlotShares {
		const ordered = orderByName(demands).toSorted((a, b) => Number(b.isWaiting) - Number(a.isWaiting) || a.tokens - b.tokens);
		return ordered.reduce<{readonly left: number; readonly shares: SlotShares}>(({left, shares}, demand) => {
			const given = Math.min(left, demand.samples);
			return {left: left - given, shares: new Map([...shares, [demand.trainer, given]])};
		}, {left: slots, shares: new Map()}).shares;
	}
}

/** Returns what one trainer may use under a division. */
export function budgetOf(division: SlotDivision, slots: number, demands: readonly TrainerDemand[], trainer: string): SlotBudget {
	const shares = division.divide(slots, demands);
	const used = [...shares.values()].reduce((sum, share) => sum + share, 0);
	return {slots: shares.get(trainer) ?? 0, spare: Math.max(0, slots - used)};
}
