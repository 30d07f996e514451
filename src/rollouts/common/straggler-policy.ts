/** Decides which streams have stalled, and which are so slow that a second stream on another engine (a hedge) saves time. */
import type {LabelledProgress} from './labels.js';

/** One running stream for a sample. */
export type Attempt = {
	readonly id: string;
	readonly sample: number;
	readonly serverId: string | undefined;
	readonly startedAt: number;
	readonly firstTokenAt: number | undefined;
	readonly lastTokenAt: number | undefined;
	/** Recent rate in tokens per millisecond; undefined before the second chunk of the stream. */
	readonly rate: number | undefined;
	readonly progress: LabelledProgress;
	/** True for the second stream of a sample, started while the first one runs. */
	readonly isHedge: boolean;
};

/** Detects stalled and slow streams. */
export type StragglerPolicy = {
	readonly isStalled: (attempt: Attempt, now: number) => boolean;
	/** Records the rate and the start time of a stream that has ended successfully. */
	readonly recordEnd: (attempt: Attempt, now: number) => void;
	/** Returns the milliseconds that a second stream is expected to save; 0 when unknown or below `MINIMUM_SAVING_MS`. */
	readonly savedMsByHedge: (attempt: Attempt, expectedTokens: number, now: number) => number;
};

/** Options of the policy. */
export type StragglerOptions = {
	/** Time without a new token after which a stream counts as stalled. */
	readonly stallMs: number;
	/** Whether a slow stream gets a second one. */
	readonly canHedge: boolean;
};

/** Multiple of the stall time allowed before the first token, because the stream may wait in the engine's queue. */
const FIRST_TOKEN_FACTOR = 2;
/** Time over which the rate of a stream is smoothed. */
const RATE_WINDOW_MS = 2000;
/** Weight of one ended stream in the moving average of rates and start times. */
const ENDED_STREAM_WEIGHT = 0.1;
/** Expected saving below which a second stream is not worth its tokens. */
const MINIMUM_SAVING_MS = 1000;

/** Returns a stream's recent rate, in tokens per millisecond, after a chunk of `tokens` tokens. */
export function updateRate(attempt: Attempt, tokens: number, now: number): number | undefined {
	if (attempt.lastTokenAt === undefined) {
		return undefined;
	}

	const elapsedMs = Math.max(1, now - attempt.lastTokenAt);
	const weight = 1 - Math.exp(-elapsedMs / RATE_WINDOW_MS);
	return attempt.rate === undefined ? tokens / elapsedMs : attempt.rate + (weight * ((tokens / elapsedMs) - attempt.rate));
}

/** Returns the current rate; it decreases while the stream sends nothing for longer than `RATE_WINDOW_MS`. */
function currentRate(attempt: Attempt, now: number): number | undefined {
	if (attempt.rate === undefined || attempt.lastTokenAt === undefined) {
		return undefined;
	}

	const silentMs = now - attempt.lastTokenAt;
	return silentMs <= RATE_WINDOW_MS ? attempt.rate : attempt.rate * RATE_WINDOW_MS / silentMs;
}

/** Creates a policy without any recorded rate. */
export function createStragglerPolicy(options: StragglerOptions): StragglerPolicy {
	/** Moving average in tokens per millisecond. */
	let typicalRate: number | undefined;
	/** Moving average of the time from start to first token. */
	let typicalStartMs = 0;

	return {
		isStalled(attempt, now) {
			return attempt.lastTokenAt === undefined
				? now - attempt.startedAt > options.stallMs * FIRST_TOKEN_FACTOR
				: now - attempt.lastTokenAt > options.stallMs;
		},
		recordEnd(attempt, now) {
			const rate = currentRate(attempt, now);
			if (rate === undefined || attempt.firstTokenAt === undefined) {
				return;
			}

			const startMs = attempt.firstTokenAt - attempt.startedAt;
			typicalStartMs = typicalRate === undefined ? startMs : typicalStartMs + (ENDED_STREAM_WEIGHT * (startMs - typicalStartMs));
			typicalRate = typicalRate === undefined ? rate : typicalRate + (ENDED_STREAM_WEIGHT * (rate - typicalRate));
		},
		savedMsByHedge(attempt, expectedTokens, now) {
			const rate = currentRate(attempt, now);
			if (!options.canHedge || rate === undefined || typicalRate === undefined) {
				return 0;
			}

			const remaining = expectedTokens - attempt.progress.tokens;
			const ownMs = rate === 0 ? Number.POSITIVE_INFINITY : remaining / rate;
			const savedMs = ownMs - typicalStartMs - (remaining / typicalRate);
			return savedMs >= MINIMUM_SAVING_MS ? savedMs : 0;
		},
	};
}
