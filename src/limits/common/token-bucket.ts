/**
 * A token bucket whose rate may change. It starts empty, so that a new bucket never adds to what others still hold.
 *
 * A single demand above the capacity waits for a full bucket and leaves it in debt; the debt is paid before anything else
 * is taken.
 */

/** A bucket of units, such as requests or generated tokens. */
export type TokenBucket = {
	/** Changes rate (units per second) and capacity (units). What is above the new capacity is lost. */
	readonly configure: (rate: number, capacity: number, now: number) => void;
	/** Milliseconds until `units` can be taken: 0 for now, infinite at rate 0. */
	readonly waitMs: (units: number, now: number) => number;
	/** Takes units if they are there. */
	readonly take: (units: number, now: number) => boolean;
	/** Gives back units that were taken and not used, up to the capacity. */
	readonly giveBack: (units: number, now: number) => void;
	/** Whether a demand above the capacity has not been paid for yet. */
	readonly inDebt: (now: number) => boolean;
};

/** Guards against rounding: a bucket that lacks less than this is full enough. */
const TOLERANCE = 1e-9;

/** Creates an empty bucket of rate 0. */
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

	function lacking(units: number, now: number): number {
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
			const lack = lacking(units, now);
			if (rate <= 0 && units > 0) {
				return Number.POSITIVE_INFINITY;
			}

			return lack <= TOLERANCE ? 0 : lack * 1000 / rate;
		},
		take(units, now) {
			if (lacking(units, now) > TOLERANCE || (rate <= 0 && units > 0)) {
				return false;
			}

			level -= units;
			return true;
		},
		giveBack(units, now) {
			fill(now);
			level = Math.min(capacity, level + units);
		},
		inDebt(now) {
			fill(now);
			return level < -TOLERANCE;
		},
	};
}
