/**
 * Response times of the recent past, as a histogram with logarithmic buckets over a sliding window. Memory and the cost of each call
 * don't depend on the number of requests.
 */

/** The response times of one pool. */
export type ResponseTimes = {
	readonly record: (tookMs: number, now: number) => void;
	/** Number of times recorded within the window. */
	readonly count: (now: number) => number;
	/** The time within which a share of the responses arrived, in milliseconds; at most a tenth too long. Undefined without any recorded time. */
	readonly percentile: (share: number, now: number) => number | undefined;
};

/** Upper bound of the first bucket, in milliseconds. */
const FIRST_BOUND_MS = 1;
/** Ratio of the upper bounds of neighboring buckets. */
const BUCKET_RATIO = 1.1;
/** The last bucket begins at 2.6 minutes, which is longer than any request takes. */
const BUCKETS = 127;
/** The window consists of slices; the oldest one is dropped as a whole. */
const SLICE_MS = 5000;
const SLICES = 6;

function findBucket(tookMs: number): number {
	const bucket = Math.ceil(Math.log(Math.max(FIRST_BOUND_MS, tookMs) / FIRST_BOUND_MS) / Math.log(BUCKET_RATIO));
	return Math.min(BUCKETS - 1, bucket);
}

/** Creates response times without any recorded time. */
export function createResponseTimes(): ResponseTimes {
	const slices = Array.from({length: SLICES}, () => new Uint32Array(BUCKETS));
	/** Sum of the slices. */
	const totals = new Uint32Array(BUCKETS);
	let count = 0;
	let newest = 0;

	function clearSlice(slice: Uint32Array): void {
		slice.forEach((recorded, bucket) => {
			totals[bucket]! -= recorded;
			count -= recorded;
		});
		slice.fill(0);
	}

	/** Drops the slices that have left the window. */
	function advance(now: number): void {
		const current = Math.max(newest, Math.floor(now / SLICE_MS));
		const passed = Math.min(SLICES, current - newest);
		Array.from({length: passed}, (_, index) => slices[(current - index) % SLICES]!).forEach(slice => {
			clearSlice(slice);
		});
		newest = current;
	}

	return {
		record(tookMs, now) {
			advance(now);
			const bucket = findBucket(tookMs);
			slices[newest % SLICES]![bucket]! += 1;
			totals[bucket]! += 1;
			count += 1;
		},
		count(now) {
			advance(now);
			return count;
		},
		percentile(share, now) {
			advance(now);
			let covered = 0;
			const bucket = totals.findIndex(recorded => {
				covered += recorded;
				return recorded > 0 && covered >= share * count;
			});
			return bucket === -1 ? undefined : FIRST_BOUND_MS * (BUCKET_RATIO ** bucket);
		},
	};
}
