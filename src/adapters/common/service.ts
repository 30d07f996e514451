/** Plain services, which are backend servers other than engines. Some of their operations are not idempotent. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import type {Endpoint, LoadReport} from './engine.js';

/** A call of a plain service. */
export type ServiceCall = {
	/** Unique per attempt; the service repeats it in its response. */
	readonly requestId: string;
	readonly method: string;
	/** Path with query, from the root of the service. */
	readonly path: string;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
	/** Whether the call may run twice. If not, it gets a new connection, because a reused one that the peer had closed would make its outcome unknown. */
	readonly repeatable: boolean;
};

/** A complete response of a plain service. */
export type ServiceResponse = {
	readonly requestId: string;
	readonly status: number;
	readonly contentType: string | undefined;
	readonly body: Uint8Array;
};

/**
 * One worker of a plain service.
 *
 * `onSent` is called before the first byte can have been sent, because from then on the outcome is unknown until the
 * response is complete. A truncated response, or one with another request's id, is an `incomplete` failure.
 */
export abstract class Service {
	/** Calls the service. */
	abstract call(call: ServiceCall, onSent: () => void, signal: AbortSignal): Promise<Result<ServiceResponse, Failure>>;

	/** Reads the worker's last load report. */
	abstract load(): Promise<Result<LoadReport, Failure>>;
}

/** Creates services of one kind. */
export type ServiceFactory = (endpoint: Endpoint) => Service;
