/**
 * How many requests of a pool one daemon runs at once. The sum over daemons follows the slots of the pool: each daemon has
 * its equal part for certain and moves step by step towards the slots that others leave free.
 */

/** The load of one server, as far as it is known. */
export type ServerLoad = {
	/** Requests that run or wait there. */
	readonly requests: number;
	readonly slots: number;
};

/** What the limit is worked out from. */
export type ConcurrencyInputs = {
	/** Loads of the pool's servers that take new work. */
	readonly loads: readonly ServerLoad[];
	/** Requests that this daemon runs at present. */
	readonly running: number;
	/** Daemons that share the pool. */
	readonly daemons: number;
};

/** Slots that may be oversubscribed, so that a server has the next request at hand when one ends. */
const OVERSUBSCRIPTION = 1.1;

/** Returns the limit, at least 1. */
export function limitConcurrency(inputs: ConcurrencyInputs): number {
	const slots = inputs.loads.reduce((sum, load) => sum + load.slots, 0) * OVERSUBSCRIPTION;
	const requests = inputs.loads.reduce((sum, load) => sum + load.requests, 0);
	const equalPart = slots / inputs.daemons;
	const free = (slots - requests) / inputs.daemons;
	return Math.max(1, Math.floor(equalPart), Math.floor(inputs.running + free));
}
