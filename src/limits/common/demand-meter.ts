/** Measures the demand of callers, refused requests included, in units per second. */

/** A running measure of demand. */
export type DemandMeter = {
	readonly add: (units: number, now: number) => void;
	/** Units per second at present. */
	readonly read: (now: number) => number;
};

/** Time over which demand is averaged. */
const AVERAGE_MS = 1500;

/** Creates a measure of no demand. */
export function createDemandMeter(): DemandMeter {
	let perSecond = 0;
	let readAt = 0;

	function decay(now: number): void {
		perSecond *= Math.exp(-Math.max(0, now - readAt) / AVERAGE_MS);
		readAt = Math.max(readAt, now);
	}

	return {
		add(units, now) {
			decay(now);
			perSecond += units * 1000 / AVERAGE_MS;
		},
		read(now) {
			decay(now);
			return perSecond;
		},
	};
}
