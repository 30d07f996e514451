/**
 * Model engines: they batch continuously, stream tokens, cancel and resume streams, report load with a lag, and take
 * orders. What a sample names as its version always comes from the engine's own answers.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';

/** A run of consecutive tokens that one weight version produced. `from` is included, `to` is not. */
export type VersionRange = {
	readonly version: number;
	readonly from: number;
	readonly to: number;
};

/** Tokens generated so far, for a stream that goes on elsewhere. */
export type Progress = {
	readonly text: string;
	readonly tokens: number;
	readonly ranges: readonly VersionRange[];
};

/** A request for one generation. */
export type GenerationRequest = {
	/** Unique per attempt; the engine repeats it on every event of the stream. */
	readonly requestId: string;
	readonly model: string;
	readonly prompt: string;
	readonly maximumTokens: number;
	readonly seed: number;
	/** Higher goes first. */
	readonly priority: number;
	/** Tokens generated elsewhere that the engine goes on from. */
	readonly resumeFrom?: Progress;
};

/** A piece of a stream. */
export type Chunk = {
	readonly text: string;
	readonly tokens: number;
	/** The version that produced these tokens; undefined when the engine cannot say. */
	readonly version: number | undefined;
};

/** A whole generation, including what it was resumed from. */
export type Generation = {
	readonly requestId: string;
	readonly text: string;
	readonly tokens: number;
	/** Covers all tokens without a gap; undefined when the engine could not label some of them. */
	readonly ranges: readonly VersionRange[] | undefined;
	readonly finish: 'stop' | 'length';
};

/** The load of a backend server as it last reported it. */
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** Requests or streams that run at once without queueing. */
	readonly slots: number;
	/** Tokens per second that the server generates now, 0 for plain services. */
	readonly tokensPerSecond: number;
	/** Age of the report when it was sent, in milliseconds. */
	readonly ageMs: number;
	/** Time since the server process started, in milliseconds; undefined when the server does not say. */
	readonly uptimeMs?: number | undefined;
};

/** A model as an engine holds it. `version` is the one that it truly serves, 0 for none. */
export type ModelStatus = {
	readonly model: string;
	readonly version: number;
	readonly state: 'serving' | 'loading' | 'failed';
};

/** What an engine says of itself. */
export type EngineStatus = {
	readonly models: readonly ModelStatus[];
	/** The highest fencing number that the engine has accepted; 0 for engines that ignore them. */
	readonly fencing: number;
};

/** An order to change an engine. Repeating an order has no further effect. */
export type EngineOrder = {
	readonly orderId: string;
	readonly fencing: number;
	readonly kind: 'load-version';
	readonly model: string;
	readonly version: number;
};

/**
 * One model engine.
 *
 * Failure effects: `notRun` only when no byte can have reached the engine, or when it said itself that it did nothing.
 */
export abstract class Engine {
	/**
	 * Generates. Chunks are handed on as they come, in order and only those of this request. Resolves with the whole
	 * generation, or with `incomplete` when the stream broke. Aborting the signal cancels at the engine.
	 */
	abstract generate(request: GenerationRequest, onChunk: (chunk: Chunk) => void, signal: AbortSignal): Promise<Result<Generation, Failure>>;

	/** Reads the engine's last load report. */
	abstract load(): Promise<Result<LoadReport, Failure>>;

	/** Reads the versions that the engine truly serves. */
	abstract status(): Promise<Result<EngineStatus, Failure>>;

	/** Gives an order; `fenced` when the engine has accepted a higher fencing number. Returns before the order is done. */
	abstract order(order: EngineOrder): Promise<Result<EngineStatus, Failure>>;
}

/** The address of a backend server. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** Creates engines of one kind. */
export type EngineFactory = (endpoint: Endpoint) => Engine;
