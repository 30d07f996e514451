/** Expects how long items take, from how long those of like expected length took on this daemon. */

/** The estimate of one daemon. */
export type WorkEstimate = {
	/** Notes an item that was generated from its start to its end without a break. */
	readonly note: (expectedTokens: number | undefined, tookMs: number) => void;
	/** Expected time of an item in milliseconds. */
	readonly expect: (expectedTokens: number | undefined) => number;
};

/** Weight of the newest item in the running means. */
const GAIN = 0.05;
/** Before any item has ended: engines of today make a token in about 0.6 ms, and items of 1,500 tokens. */
const FIRST_MS_PER_TOKEN = 0.7;
const FIRST_ITEM_MS = 1000;

/** Creates an estimate. */
export function createWorkEstimate(): WorkEstimate {
	let msPerToken = FIRST_MS_PER_TOKEN;
	let itemMs = FIRST_ITEM_MS;
	return {
		note(expectedTokens, tookMs) {
			itemMs += GAIN * (tookMs - itemMs);
			if (expectedTokens !== undefined && expectedTokens > 0) {
				msPerToken += GAIN * ((tookMs / expectedTokens) - msPerToken);
			}
		},
		expect: expectedTokens => (expectedTokens === undefined ? itemMs : Math.max(1, expectedTokens * msPerToken)),
	};
}
