/** Measures the demand of callers, refused requests included, in units per second. */

/** An exponentially decaying average of demand. */
export type DemandMeter = {
	readonly add: (units: number, now: number) => void;
	/** Returns the current demand in units per second. */
	readonly read: (now: number) => number;
};

/** Time constant of the exponential average. */
const AVERAGING_TIME_MS = 1500;

/** Creates a meter that starts with no demand. */
export function createDemandMeter(): DemandMeter {
	let perSecond = 0;
	let updatedAt = 0;

	function decay(now: number): void {
		perSecond *= Math.exp(-Math.max(0, now - updatedAt) / AVERAGING_TIME_MS);
		updatedAt = Math.max(updatedAt, now);
	}

	return {
		add(units, now) {
			decay(now);
			perSecond += units * 1000 / AVERAGING_TIME_MS;
		},
		read(now) {
			decay(now);
			return perSecond;
		},
	};
}
