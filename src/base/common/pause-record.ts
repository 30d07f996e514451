/**
 * Notices that the process did not run for some time, because it was stopped, its VM was suspended, or its event loop was blocked. What it
 * knew before may have changed meanwhile: other daemons take over from one that does not reply.
 */
import {computeElapsedMs, type ClockReading} from './clock.js';

/** Pauses of this process. */
export type PauseRecord = {
	/** Records that the process runs at `now`, and returns the monotonic time at which it went on after its last pause. Called at least every `MINIMUM_PAUSE_MS` while the process runs. */
	readonly resumedAt: (now: ClockReading) => number;
};

/** Time without a call from which the process counts as paused, in milliseconds; less than the silence after which other daemons take over. */
const MINIMUM_PAUSE_MS = 500;

/** Creates a record without a pause. */
export function createPauseRecord(startedAt: ClockReading): PauseRecord {
	let last = startedAt;
	let resumedAt = Number.NEGATIVE_INFINITY;
	return {
		resumedAt(now) {
			resumedAt = computeElapsedMs(last, now) >= MINIMUM_PAUSE_MS ? now.monotonic : resumedAt;
			last = now;
			return resumedAt;
		},
	};
}
