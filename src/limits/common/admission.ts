/** Admission of requests: checks the limits of the plan first, then queues the request fairly for its pool. */
import type {Result} from 'neverthrow';
import type {Failure} from '../../base/common/failure.js';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** A request for admission. */
export type AdmissionRequest = {
	readonly plan: string;
	readonly pool: string;
	/** Tokens that the request may generate, 0 for plain services. */
	readonly tokens: number;
	/** Monotonic time by which the caller needs the complete answer. */
	readonly deadline: number;
};

/** Permission to run one request. Release it when the request has ended. */
export type Ticket = {
	/** Ends the request; `tokens` is the number of tokens that it actually generated. */
	readonly release: (now: number, tokens: number) => void;
};

/** The admission of one daemon. */
export type Admission = {
	/**
	 * Resolves with a ticket when the request may start. Refusals have effect `notRun`, and come without a wait where the
	 * outcome can be predicted: `unauthorized` without a grant, `rejected` over the limit, `overloaded` when the predicted
	 * wait exceeds the deadline. The latter two contain the retry-after time in milliseconds. Aborting the signal removes
	 * the request from the queue.
	 */
	readonly admit: (request: AdmissionRequest, now: number, signal: AbortSignal) => Promise<Result<Ticket, Failure>>;
};

/** Service key of the daemon's admission. */
export const admissionKey = createServiceKey<Admission>('admission');
