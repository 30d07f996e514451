/**
 * The time of day by which a daemon numbers the windows of usage reports. The wall clock of a VM may jump by seconds and back, and the
 * monotonic clock stands still while a VM is suspended, so neither is used alone: the daemon takes the median difference between both over
 * the last samples, and corrects it by the median time of all daemons when that is known and differs by more than a call may take.
 */
import type {Clock} from '../../base/common/clock.js';

/** The time of day as one daemon estimates it. */
export type FleetTime = {
	/** Takes a sample of the clocks; called every `TIME_SAMPLE_MS`. */
	readonly sample: () => void;
	/** Unix time in milliseconds by this daemon's own clocks. */
	readonly own: (now: number) => number;
	/** Difference between Unix time and monotonic time, corrected by the time of all daemons. */
	readonly offset: (now: number) => number;
	/** Unix time in milliseconds, corrected by the time of all daemons. `now` is monotonic. */
	readonly read: (now: number) => number;
	/** Records the median time of all daemons at the monotonic time `now`. */
	readonly recordFleet: (unixMs: number, now: number) => void;
};

/** Time between samples, in milliseconds. */
export const TIME_SAMPLE_MS = 1000;
/** Number of samples; a jump that is taken back within half of them has no effect. */
const SAMPLES = 61;
/** The time of all daemons is used for this long; the holder of the duties repeats it with each window. */
const FLEET_TTL_MS = 30_000;
/** Smaller differences are left, as a call between regions takes up to this long. */
const MINIMUM_CORRECTION_MS = 300;

/** Returns the median; of an even number of values, the lower of the two middle ones. Undefined without values. */
export function findMedian(values: readonly number[]): number | undefined {
	return values.toSorted((a, b) => a - b)[Math.floor((values.length - 1) / 2)];
}

/** Creates the estimate with a first sample. */
export function createFleetTime(clock: Clock): FleetTime {
	const measure = (): number => clock.wall() - clock.monotonic();
	let offsets: readonly number[] = [measure()];
	let medianOffset = offsets[0]!;
	let fleet: {readonly offset: number; readonly at: number} | undefined;

	function offset(now: number): number {
		const usesFleet = fleet !== undefined && now - fleet.at < FLEET_TTL_MS && Math.abs(fleet.offset - medianOffset) >= MINIMUM_CORRECTION_MS;
		return usesFleet ? fleet!.offset : medianOffset;
	}

	return {
		sample() {
			offsets = [...offsets, measure()].slice(-SAMPLES);
			medianOffset = findMedian(offsets) ?? medianOffset;
		},
		own: now => now + medianOffset,
		offset,
		read: now => now + offset(now),
		recordFleet(unixMs, now) {
			fleet = {offset: unixMs - now, at: now};
		},
	};
}
