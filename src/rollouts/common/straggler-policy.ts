/** Decides which streams have stalled, and which are slow enough that a second stream on another engine pays. */
import type {LabelledProgress} from './labels.js';

/** One stream for a sample, from its start to its end. */
export type Attempt = {
	readonly id: string;
	readonly sample: number;
	readonly serverId: string | undefined;
	readonly startedAt: number;
	readonly firstTokenAt: number | undefined;
	readonly lastTokenAt: number | undefined;
	/** Tokens per millisecond of late; undefined before the second piece of the stream. */
	readonly rate: number | undefined;
	readonly progress: LabelledProgress;
	/** True for a stream that runs beside another one of the same sample. */
	readonly isHedge: boolean;
	readonly isAlone: boolean;
};

/** What the policy judges by. */
export type StragglerPolicy = {
	readonly isStalled: (attempt: Attempt, now: number) => boolean;
	/** Notes the rate of a stream that has ended well. */
	readonly noteEnd: (attempt: Attempt, now: number) => void;
	/** Milliseconds that a second stream is expected to save; 0 or less when it does not pay. */
	readonly savedByHedge: (attempt: Attempt, expectedTokens: number, now: number) => number;
};

/** Options of the policy. */
export type StragglerOptions = {
	/** A stream without a new token for this long has stalled. */
	readonly stallMs: number;
	/** Whether slow streams get a second one. */
	readonly canHedge: boolean;
};

/** Before its first token a stream may stand in the engine's queue, so it gets this multiple of the stall time. */
const FIRST_TOKEN_FACTOR = 2;
/** Time over which the recent rate of a stream is smoothed, in milliseconds. */
const RATE_WINDOW_MS = 2000;
/** Weight of one ended stream in the typical rate. */
const RATE_WEIGHT = 0.1;
/** Expected saving below which a second stream is not worth its tokens, in milliseconds. */
const MINIMUM_SAVING_MS = 1000;

/** Returns a stream's recent rate after a piece of `tokens` tokens. */
export function updateRate(attempt: Attempt, tokens: number, now: number): number | undefined {
	if (attempt.lastTokenAt === undefined) {
		return undefined;
	}

	const elapsedMs = Math.max(1, now - attempt.lastTokenAt);
	const weight = 1 - Math.exp(-elapsedMs / RATE_WINDOW_MS);
	return attempt.rate === undefined ? tokens / elapsedMs : attempt.rate + (weight * ((tokens / elapsedMs) - attempt.rate));
}

/** Returns the rate as far as it is known now: a stream that is silent longer than usual is slower than it was. */
function rateAt(attempt: Attempt, now: number): number | undefined {
	if (attempt.rate === undefined || attempt.lastTokenAt === undefined) {
		return undefined;
	}

	const silentMs = now - attempt.lastTokenAt;
	return silentMs <= RATE_WINDOW_MS ? attempt.rate : attempt.rate * RATE_WINDOW_MS / silentMs;
}

/** Creates a policy that knows no rates yet. */
export function createStragglerPolicy(options: StragglerOptions): StragglerPolicy {
	/** Tokens per millisecond of one stream. */
	let typicalRate: number | undefined;
	/** Milliseconds from start to first token. */
	let typicalStartMs = 0;

	return {
		isStalled(attempt, now) {
			return attempt.lastTokenAt === undefined
				? now - attempt.startedAt > options.stallMs * FIRST_TOKEN_FACTOR
				: now - attempt.lastTokenAt > options.stallMs;
		},
		noteEnd(attempt, now) {
			const rate = rateAt(attempt, now);
			if (rate === undefined || attempt.firstTokenAt === undefined) {
				return;
			}

			const startMs = attempt.firstTokenAt - attempt.startedAt;
			typicalStartMs = typicalRate === undefined ? startMs : typicalStartMs + (RATE_WEIGHT * (startMs - typicalStartMs));
			typicalRate = typicalRate === undefined ? rate : typicalRate + (RATE_WEIGHT * (rate - typicalRate));
		},
		savedByHedge(attempt, expectedTokens, now) {
			const rate = rateAt(attempt, now);
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
