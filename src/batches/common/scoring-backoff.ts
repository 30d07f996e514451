/** Delays between the attempts of one scoring call, so that a call under which servers crash does not crash them without pause. */

/** The delays of one call. */
export type ScoringBackoff = {
	/** Milliseconds until the next attempt; `hasBroken` tells whether the last one got no response of a server. */
	readonly nextDelayMs: (hasBroken: boolean) => number;
};

const INITIAL_DELAY_MS = 150;
const MAXIMUM_DELAY_MS = 2000;
/** The delay grows after this many attempts without a response; before, another server is likely to answer. */
const ATTEMPTS_BEFORE_BACKOFF = 3;

/** Creates the delays of a call. */
export function createScoringBackoff(): ScoringBackoff {
	let broken = 0;
	return {
		nextDelayMs(hasBroken) {
			broken = hasBroken ? broken + 1 : 0;
			return Math.min(MAXIMUM_DELAY_MS, INITIAL_DELAY_MS * (2 ** Math.max(0, broken - ATTEMPTS_BEFORE_BACKOFF)));
		},
	};
}
