/** The states of one attempt at one backend server, and what they say about its effect. */
import {createOutcomeUnknown, type Effect, type Failure} from '../../base/common/failure.js';

/**
 * `notSent`: no byte can have left. `sent`: bytes may have left. `firstByte`: the answer has begun. `whole`: the answer is
 * complete. `failedKnown`: failed, and certainly not run. `unknown`: failed, and may have run.
 */
export type AttemptState = 'notSent' | 'sent' | 'firstByte' | 'whole' | 'failedKnown' | 'unknown';

/** One attempt. States only move forward. */
export type Attempt = {
	readonly state: () => AttemptState;
	readonly sent: () => void;
	readonly firstByte: () => void;
	readonly whole: () => void;
	/** Ends the attempt with a failure; returns it with the effect that the state proves. */
	readonly failed: (failure: Failure) => Failure;
};

const stateOrder: readonly AttemptState[] = ['notSent', 'sent', 'firstByte', 'whole'];

/**
 * Returns the effect of a failure. The peer's own word that it did nothing counts while its answer has not begun; without
 * a byte sent nothing can have run, whatever the failure says.
 */
function effectOf(state: AttemptState, failure: Failure): Effect {
	if (state === 'notSent') {
		return failure.effect;
	}

	return state === 'sent' ? failure.effect : 'outcomeUnknown';
}

/** Creates an attempt of which nothing has been sent. */
export function createAttempt(): Attempt {
	let state: AttemptState = 'notSent';

	function advance(next: AttemptState): void {
		if (stateOrder.includes(state) && stateOrder.indexOf(next) > stateOrder.indexOf(state)) {
			state = next;
		}
	}

	return {
		state: () => state,
		sent() {
			advance('sent');
		},
		firstByte() {
			advance('firstByte');
		},
		whole() {
			advance('whole');
		},
		failed(failure) {
			const effect = effectOf(state, failure);
			state = effect === 'notRun' ? 'failedKnown' : 'unknown';
			return {...failure, effect};
		},
	};
}

/** Joins the failures of all attempts of a request: it is `notRun` only if every attempt is. */
export function joinFailures(failures: readonly Failure[], last: Failure): Failure {
	const doubtful = failures.find(failure => failure.effect === 'outcomeUnknown');
	if (last.effect === 'outcomeUnknown' || doubtful === undefined) {
		return last;
	}

	return {...createOutcomeUnknown(last.code, last, last.message), cause: doubtful, ...(last.retryAfterMs !== undefined && {retryAfterMs: last.retryAfterMs})};
}
