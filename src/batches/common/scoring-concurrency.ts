/** The number of scoring calls that one daemon makes concurrently. */

/** Minimum number of concurrent calls, for deployments with few servers. */
const MINIMUM_CALLS = 8;
/** Share of the slots of all servers without weights that one daemon's scoring may use; callers' own requests have priority on the rest, and at the servers. */
const SLOTS_SHARE = 0.5;

/** Returns the number of concurrent calls for the total number of slots of all servers without weights. */
export function computeScoringConcurrency(slots: number): number {
	return Math.max(MINIMUM_CALLS, Math.floor(slots * SLOTS_SHARE));
}
