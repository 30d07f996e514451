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

/** Largest multiple of its demand that a daemon is given, where the floor does not give it more. */
const LARGEST_HEADROOM = 4;
/** Part of the grant that the daemons with demand share equally at least, however small their demand. */
const FLOOR_SHARE = 0.5;

function sumOf(parts: readonly Part[]): number {
	return parts.reduce((sum, part) => sum + part.fraction, 0);
}

/** Gives everyone what they ask for, smallest demand first, and an equal part of the rest to those who ask for more. */
function fillEqually(claimants: readonly Claimant[], available: number): readonly Part[] {
	const sorted = claimants.toSorted((a, b) => a.demand - b.demand);
	return sorted.reduce<{readonly parts: readonly Part[]; readonly left: number}>((state, claimant, index) => {
		const fraction = Math.min(claimant.demand, state.left / (sorted.length - index));
		return {parts: [...state.parts, {daemonId: claimant.daemonId, fraction}], left: state.left - fraction};
	}, {parts: [], left: available}).parts;
}

/**
 * Adds headroom in proportion to demand, which lets demand grow before the next division. Headroom is bounded, because
 * what a daemon holds when it dies stays reserved, and because the rest must be free for daemons whose demand begins.
 */
function addHeadroom(filled: readonly Part[], room: number): readonly Part[] {
	const floor = room * FLOOR_SHARE / Math.max(1, filled.length);
	const bounded = filled.map(part => ({...part, fraction: Math.max(floor, part.fraction * LARGEST_HEADROOM)}));
	if (sumOf(bounded) <= room) {
		return bounded;
	}

	const used = sumOf(filled);
	const growth = used > 0 ? room / used : 0;
	return filled.map(part => ({...part, fraction: part.fraction * growth}));
}

/** Returns parts that sum up to at most `available`. */
export function divideGrant(claimants: readonly Claimant[], available: number): readonly Part[] {
	const busy = claimants.filter(claimant => claimant.demand > SMALLEST_DEMAND);
	const idle = claimants.filter(claimant => claimant.demand <= SMALLEST_DEMAND);
	const reserve = idle.length === 0 ? 0 : available * IDLE_RESERVE;
	const room = available - reserve;
	return [
		...addHeadroom(fillEqually(busy, room), room),
		...idle.map(claimant => ({daemonId: claimant.daemonId, fraction: reserve / idle.length})),
	];
}
