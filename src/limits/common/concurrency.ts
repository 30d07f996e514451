/**
 * Limits how many requests of a pool one daemon runs at once, so that the sum over all daemons follows the slots of the
 * pool. Each daemon always has an equal share of the slots, and gradually extends it to slots that other daemons don't use.
 */

/** The last known load of one server. */
export type ServerLoad = {
	/** Requests that run or wait at the server. */
	readonly requests: number;
	readonly slots: number;
};

/** Inputs of the concurrency limit. */
export type ConcurrencyInputs = {
	/** Loads of the pool's servers that accept new work. */
	readonly loads: readonly ServerLoad[];
	/** Requests of the pool that this daemon currently runs. */
	readonly running: number;
	/** Daemons that share the pool. */
	readonly daemons: number;
};

/** Factor by which slots are oversubscribed, so that a server already has the next request queued when one ends. */
const OVERSUBSCRIPTION = 1.1;

/** Returns the number of requests that the daemon may run at once, at least 1. */
export function limitConcurrency(inputs: ConcurrencyInputs): number {
	const slots = inputs.loads.reduce((sum, load) => sum + load.slots, 0) * OVERSUBSCRIPTION;
	const requests = inputs.loads.reduce((sum, load) => sum + load.requests, 0);
	const equalShare = slots / inputs.daemons;
	const freeShare = (slots - requests) / inputs.daemons;
	return Math.max(1, Math.floor(equalShare), Math.floor(inputs.running + freeShare));
}
