/** Admission of requests: limits of the plan first, then a fair place in the queue for the pool. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** A request for admission. */
export type AdmissionRequest = {
	readonly plan: string;
	readonly pool: string;
	/** Tokens that the request may generate, 0 for plain services. */
	readonly tokens: number;
	/** Monotonic time by which the caller needs the whole answer. */
	readonly deadline: number;
};

/** Right to run one request. Dispose of it when the request has ended. */
export type Ticket = {
	/** Ends the request; `tokens` is what it truly generated. */
	readonly release: (now: number, tokens: number) => void;
};

/** The admission of one daemon. */
export type Admission = {
	/**
	 * Resolves with a ticket when the request may start. Refusals come at once and have effect `notRun`: `unauthorized`
	 * without a grant, `rejected` over the limit, `overloaded` when the predicted wait passes the deadline; the latter two
	 * say after how many milliseconds a new try may succeed. Aborting gives up the place in the queue.
	 */
	readonly admit: (request: AdmissionRequest, now: number, signal: AbortSignal) => Promise<Result<Ticket, Failure>>;
};

/** The daemon's admission. */
export const admissionKey = createServiceKey<Admission>('admission');
