/** Divides a grant among daemons according to their demand. */

/** A daemon that takes part in the division. */
export type Claimant = {
	readonly daemonId: string;
	/** Demand as a fraction of the grant; may be above 1. */
	readonly demand: number;
};

/** A daemon's part of the grant. */
export type GrantPart = {
	readonly daemonId: string;
	readonly fraction: number;
};

/** Fraction of the grant that is divided among daemons without demand, so that their first callers don't have to wait. */
const IDLE_RESERVE_FRACTION = 0.02;
/** Demand up to this fraction of the grant counts as no demand. */
const MINIMUM_DEMAND_FRACTION = 0.0005;

/** Maximum multiple of its demand that a daemon gets, unless the equal floor gives it more. */
const MAXIMUM_HEADROOM_FACTOR = 4;
/** Fraction of the grant of which each daemon with demand gets at least an equal part, however small its demand is. */
const EQUAL_FLOOR_FRACTION = 0.5;

function sumFractions(parts: readonly GrantPart[]): number {
	return parts.reduce((sum, part) => sum + part.fraction, 0);
}

/** Max-min fair division: meets the smallest demands first, and divides the rest equally among the larger demands. */
function fillEqually(claimants: readonly Claimant[], available: number): readonly GrantPart[] {
	const sorted = claimants.toSorted((a, b) => a.demand - b.demand);
	return sorted.reduce<{readonly parts: readonly GrantPart[]; readonly left: number}>((state, claimant, index) => {
		const fraction = Math.min(claimant.demand, state.left / (sorted.length - index));
		return {parts: [...state.parts, {daemonId: claimant.daemonId, fraction}], left: state.left - fraction};
	}, {parts: [], left: available}).parts;
}

/**
 * Adds headroom in proportion to demand, so that demand can grow before the next division. Headroom is bounded, because
 * the share of a crashed daemon stays reserved, and because daemons whose demand starts need a part of the grant.
 */
function addHeadroom(filled: readonly GrantPart[], room: number): readonly GrantPart[] {
	const floor = room * EQUAL_FLOOR_FRACTION / Math.max(1, filled.length);
	const bounded = filled.map(part => ({...part, fraction: Math.max(floor, part.fraction * MAXIMUM_HEADROOM_FACTOR)}));
	if (sumFractions(bounded) <= room) {
		return bounded;
	}

	const used = sumFractions(filled);
	const growth = used > 0 ? room / used : 0;
	return filled.map(part => ({...part, fraction: part.fraction * growth}));
}

/** Divides `available`, a fraction of the grant. The sum of the returned parts is at most `available`. */
export function divideGrant(claimants: readonly Claimant[], available: number): readonly GrantPart[] {
	const busy = claimants.filter(claimant => claimant.demand > MINIMUM_DEMAND_FRACTION);
	const idle = claimants.filter(claimant => claimant.demand <= MINIMUM_DEMAND_FRACTION);
	const reserve = idle.length === 0 ? 0 : available * IDLE_RESERVE_FRACTION;
	const room = available - reserve;
	return [
		...addHeadroom(fillEqually(busy, room), room),
		...idle.map(claimant => ({daemonId: claimant.daemonId, fraction: reserve / idle.length})),
	];
}
