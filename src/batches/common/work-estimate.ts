/** Estimates how long items take: by the mean time per expected token of earlier items of this daemon, or by their mean duration for items without a stated expectation. */

/** The estimates of one daemon. */
export type WorkEstimate = {
	/** Records the duration in milliseconds of an item that one run generated from start to end. */
	readonly recordItem: (expectedTokens: number | undefined, tookMs: number) => void;
	/** Expected time of an item in milliseconds. */
	readonly estimateMs: (expectedTokens: number | undefined) => number;
};

/** Weight of the newest item in the running means. */
const SMOOTHING_FACTOR = 0.05;
/** Estimates until items have ended: current engines generate a token in about 0.6 ms, and items have about 1,500 tokens. */
const INITIAL_MS_PER_TOKEN = 0.7;
const INITIAL_ITEM_MS = 1000;

/** Creates estimates without recorded items. */
export function createWorkEstimate(): WorkEstimate {
	let msPerToken = INITIAL_MS_PER_TOKEN;
	let itemMs = INITIAL_ITEM_MS;
	return {
		recordItem(expectedTokens, tookMs) {
			itemMs += SMOOTHING_FACTOR * (tookMs - itemMs);
			if (expectedTokens !== undefined && expectedTokens > 0) {
				msPerToken += SMOOTHING_FACTOR * ((tookMs / expectedTokens) - msPerToken);
			}
		},
		estimateMs: expectedTokens => (expectedTokens === undefined ? itemMs : Math.max(1, expectedTokens * msPerToken)),
	};
}
