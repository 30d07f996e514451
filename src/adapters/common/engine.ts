/**
 * Model engines: they use continuous batching, stream tokens, cancel and resume streams, report their load with a delay,
 * and accept orders. The weight version of a sample always comes from the engine's own responses.
 */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';

/** A range of consecutive tokens that one weight version generated. `from` is included, `to` is not. */
export type VersionRange = {
	readonly version: number;
	readonly from: number;
	readonly to: number;
};

/** Tokens generated so far by a stream that another engine continues. */
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
	/** Requests with a higher value start first. */
	readonly priority: number;
	/** Tokens that another engine generated and that this one continues. */
	readonly resumeFrom?: Progress;
};

/** A chunk of a stream. */
export type Chunk = {
	readonly text: string;
	readonly tokens: number;
	/** The version that produced these tokens; undefined when the engine cannot say. */
	readonly version: number | undefined;
};

/** A complete generation, including the tokens that it was resumed from. */
export type Generation = {
	readonly requestId: string;
	readonly text: string;
	readonly tokens: number;
	/** Covers all tokens without a gap; undefined when the engine did not state the version of some of them. */
	readonly ranges: readonly VersionRange[] | undefined;
	readonly finish: 'stop' | 'length';
};

/** The load of a backend server as it last reported it. */
export type LoadReport = {
	readonly running: number;
	readonly queued: number;
	/** Requests or streams that run at once without queueing. */
	readonly slots: number;
	/** Tokens per second that the server currently generates, 0 for plain services. */
	readonly tokensPerSecond: number;
	/** How long work takes on the server's machine, in percent of the usual time; undefined when the server does not state it. */
	readonly workTimePercent?: number | undefined;
	/** Age of the report when it was sent, in milliseconds. */
	readonly ageMs: number;
	/** Time since the server process started, in milliseconds; undefined when the server does not report it. */
	readonly uptimeMs?: number | undefined;
};

/** The state of a model on an engine. `version` is the version that the engine actually serves, 0 for none. */
export type ModelStatus = {
	readonly model: string;
	readonly version: number;
	readonly state: 'serving' | 'loading' | 'failed';
};

/** The status that an engine reports. */
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
 * Failure effects: `notRun` only when no byte can have reached the engine, or when the engine stated that it did nothing.
 */
export abstract class Engine {
	/**
	 * Generates a text. `onChunk` receives the chunks of this request in order, as they arrive. Resolves with the complete
	 * generation, or with `incomplete` when the stream broke. Aborting the signal also cancels the generation at the engine.
	 */
	abstract generate(request: GenerationRequest, onChunk: (chunk: Chunk) => void, signal: AbortSignal): Promise<Result<Generation, Failure>>;

	/** Reads the engine's last load report. */
	abstract load(): Promise<Result<LoadReport, Failure>>;

	/** Reads the versions that the engine actually serves. */
	abstract status(): Promise<Result<EngineStatus, Failure>>;

	/** Sends an order; `fenced` when the engine has accepted a higher fencing number. Returns before the order is carried out. */
	abstract order(order: EngineOrder): Promise<Result<EngineStatus, Failure>>;
}

/** The address of a backend server. */
export type Endpoint = {
	readonly address: string;
	readonly port: number;
};

/** Creates engines of one kind. */
export type EngineFactory = (endpoint: Endpoint) => Engine;
