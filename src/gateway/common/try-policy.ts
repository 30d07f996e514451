/** Decides what follows a try of a plain request at a backend server. */
import type {Failure} from '../../base/common/failure.js';
import type {AnswerHead} from './server-protocol.js';
import type {Repeatability} from './deployment.js';

/** How one try ended. */
export type TryEnd
	= | {readonly kind: 'answer'; readonly head: AnswerHead}
		| {readonly kind: 'failure'; readonly failure: Failure};

/** What is known of a request when a try has ended. */
export type TryState = {
	readonly repeatability: Repeatability;
	/** Servers that the request was sent to, this try included. */
	readonly servers: number;
	readonly attempts: number;
	readonly remainingMs: number;
	/** Time that a further try takes at least. */
	readonly shortestTryMs: number;
};

/** What to do. */
export type TryDecision
	/** Hand the answer to the caller. */
	= | 'deliver'
	/** Try another server. */
		| 'tryAgain'
	/** Say that the request has not run. */
		| 'refuse'
	/** Say that the outcome is not known. */
		| 'fail';

/** Statuses of a server that another server may not give. */
const SERVER_ERRORS: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** Whether a try certainly left the request not run. */
export function isNotRun(end: TryEnd): boolean {
	return end.kind === 'answer' ? end.head.isNotRun || end.head.isOtherServer : end.failure.effect === 'notRun';
}

/** Decides what follows a try. `mayHaveRun` tells whether an earlier try may have run. */
export function decideAfterTry(end: TryEnd, state: TryState, mayHaveRun: boolean): TryDecision {
	const hasRoom = state.servers < state.attempts && state.remainingMs > state.shortestTryMs;
	const skipped = isNotRun(end);
	const repeatable = state.repeatability === 'idempotent' || (skipped && !mayHaveRun);
	const isAnswer = end.kind === 'answer' && !skipped;
	if (isAnswer && !(SERVER_ERRORS.has(end.head.status) && state.repeatability === 'idempotent' && hasRoom)) {
		return 'deliver';
	}

	if (repeatable && hasRoom) {
		return 'tryAgain';
	}

	return skipped && !mayHaveRun ? 'refuse' : 'fail';
}
