/** Divides a grant between daemons by their demand. */

/** A daemon that takes part in the division. */
export type Claimant = {
	readonly daemonId: string;
	/** Demand as a fraction of the grant; may be above 1. */
	readonly demand: number;
};

/** A daemon's part of the grant. */
export type Part = {
	readonly daemonId: string;
	readonly fraction: number;
};

/** Part of the grant kept ready on daemons without demand, so that their first callers need not wait. */
const IDLE_RESERVE = 0.02;
/** Demand below this fraction counts as none. */
const SMALLEST_DEMAND = 0.0005;

/** Gives everyone what they ask for, smallest demand first, and an equal part of the rest to those who ask for more. */
function fillEqually(claimants: readonly Claimant[], available: number): readonly Part[] {
	const sorted = claimants.toSorted((a, b) => a.demand - b.demand);
	return sorted.reduce<{readonly parts: readonly Part[]; readonly left: number}>((state, claimant, index) => {
		const fraction = Math.min(claimant.demand, state.left / (sorted.length - index));
		return {parts: [...state.parts, {daemonId: claimant.daemonId, fraction}], left: state.left - fraction};
	}, {parts: [], left: available}).parts;
}

/** Returns parts that sum up to at most `available`. What demand leaves over goes to the daemons with demand. */
export function divideGrant(claimants: readonly Claimant[], available: number): readonly Part[] {
	const busy = claimants.filter(claimant => claimant.demand > SMALLEST_DEMAND);
	const idle = claimants.filter(claimant => claimant.demand <= SMALLEST_DEMAND);
	const reserve = idle.length === 0 ? 0 : available * IDLE_RESERVE;
	const filled = fillEqually(busy, available - reserve);
	const used = filled.reduce((sum, part) => sum + part.fraction, 0);
	// Headroom in proportion to demand lets it grow before the next division.
	const growth = used > 0 ? (available - reserve) / used : 0;
	return [
		...filled.map(part => ({...part, fraction: part.fraction * growth})),
		...idle.map(claimant => ({daemonId: claimant.daemonId, fraction: reserve / idle.length})),
	];
}
