/**
 * Notices that the VM was suspended. The monotonic clock stands still meanwhile and the wall clock doesn't, so what was confirmed by
 * monotonic time before may be older than it seems. A wall clock that is set forward looks the same, and costs one more confirmation.
 */
import {readClocks, type Clock} from '../common/clock.js';

/** Suspensions of the VM, as one part of a daemon notices them. */
export type SuspensionRecord = {
	/** Monotonic time at which the end of the last suspension was noticed, at the latest by this call. */
	readonly resumedAt: () => number;
};

/** Shorter suspensions are covered by the margins of the times for which confirmations count; the wall clock is slewed by much less between two calls. */
const MINIMUM_SUSPENSION_MS = 500;

/** Creates a record without a suspension. */
export function createSuspensionRecord(clock: Clock): SuspensionRecord {
	let last = readClocks(clock);
	let resumedAt = Number.NEGATIVE_INFINITY;
	return {
		resumedAt() {
			const now = readClocks(clock);
			const missedMs = (now.wall - last.wall) - (now.monotonic - last.monotonic);
			resumedAt = missedMs >= MINIMUM_SUSPENSION_MS ? now.monotonic : resumedAt;
			last = now;
			return resumedAt;
		},
	};
}
