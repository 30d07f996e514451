/**
 * A token bucket whose rate may change. It starts empty, so that a new bucket doesn't add units to those that other holders
 * of the same grant still have.
 *
 * A single demand above the capacity waits for a full bucket and leaves it in debt, i.e. with a negative level. The debt is
 * refilled before anything else can be taken.
 */

/** A bucket of units, such as requests or generated tokens. */
export type TokenBucket = {
	/** Changes rate (units per second) and capacity (units). Units above the new capacity are lost. */
	readonly configure: (rate: number, capacity: number, now: number) => void;
	/** Returns the milliseconds until `units` can be taken: 0 if they can be taken now, infinite at rate 0. */
	readonly waitMs: (units: number, now: number) => number;
	/** Takes units if they are available; returns whether it did. */
	readonly take: (units: number, now: number) => boolean;
	/** Returns units to the bucket that were taken but not used, up to the capacity. */
	readonly refund: (units: number, now: number) => void;
	/** Whether the level is negative because of an earlier demand above the capacity. */
	readonly inDebt: (now: number) => boolean;
};

/** Tolerance for rounding errors: a take succeeds if fewer units than this are missing. */
const ROUNDING_TOLERANCE = 1e-9;

/** Creates an empty bucket with rate 0. */
export function createTokenBucket(): TokenBucket {
	let rate = 0;
	let capacity = 0;
	let level = 0;
	let filledAt = Number.NEGATIVE_INFINITY;

	function fill(now: number): void {
		const elapsedMs = Number.isFinite(filledAt) ? Math.max(0, now - filledAt) : 0;
		level = Math.min(capacity, level + (rate * elapsedMs / 1000));
		filledAt = Math.max(filledAt, now);
	}

	function missingUnits(units: number, now: number): number {
		fill(now);
		return Math.min(units, capacity) - level;
	}

	return {
		configure(nextRate, nextCapacity, now) {
			fill(now);
			rate = nextRate;
			capacity = nextCapacity;
			level = Math.min(level, capacity);
		},
		waitMs(units, now) {
			const missing = missingUnits(units, now);
			if (rate <= 0 && units > 0) {
				return Number.POSITIVE_INFINITY;
			}

			return missing <= ROUNDING_TOLERANCE ? 0 : missing * 1000 / rate;
		},
		take(units, now) {
			if (missingUnits(units, now) > ROUNDING_TOLERANCE || (rate <= 0 && units > 0)) {
				return false;
			}

			level -= units;
			return true;
		},
		refund(units, now) {
			fill(now);
			level = Math.min(capacity, level + units);
		},
		inDebt(now) {
			fill(now);
			return level < -ROUNDING_TOLERANCE;
		},
	};
}
