/** Plain services beside the engines. Some of their operations may not be repeated. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Endpoint, LoadReport} from './engine.js';

/** A call of a plain service. */
export type ServiceCall = {
	/** Unique per attempt; the service repeats it in its answer. */
	readonly requestId: string;
	readonly method: string;
	/** Path with query, from the root of the service. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Whether the call may run again. Any other gets a connection of its own, so that none closed earlier makes its outcome unknown. */
	readonly repeatable: boolean;
};

/** A whole answer of a plain service. */
export type ServiceAnswer = {
	readonly requestId: string;
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/**
 * One worker of a plain service.
 *
 * `onSent` is called before the first byte can have left, because from then on the outcome is unknown until an answer
 * is whole. An answer that is cut short or bears another request's id is an `incomplete` failure.
 */
export abstract class Service {
	/** Calls the service. */
	abstract call(call: ServiceCall, onSent: () => void, signal: AbortSignal): Promise<Result<ServiceAnswer, Failure>>;

	/** Reads the worker's last load report. */
	abstract load(): Promise<Result<LoadReport, Failure>>;
}

/** Creates services of one kind. */
export type ServiceFactory = (endpoint: Endpoint) => Service;
