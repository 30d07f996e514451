/** The state of one attempt at one backend server, and what it proves about the effect of the attempt. */
import {createOutcomeUnknown, type Effect, type Failure} from '../../base/common/failure.js';

/**
 * `notSent`: no byte can have been sent. `sent`: bytes may have been sent. `firstByte`: the response has begun. `whole`:
 * the response is complete. `failedKnown`: failed, and certainly not run. `unknown`: failed, and may have run.
 */
export type AttemptState = 'notSent' | 'sent' | 'firstByte' | 'whole' | 'failedKnown' | 'unknown';

/** One attempt. Its state only moves forward. */
export type Attempt = {
	readonly state: () => AttemptState;
	readonly sent: () => void;
	readonly firstByte: () => void;
	readonly whole: () => void;
	/** Ends the attempt with a failure; returns the failure with the effect that the state of the attempt proves. */
	readonly failed: (failure: Failure) => Failure;
};

const stateOrder: readonly AttemptState[] = ['notSent', 'sent', 'firstByte', 'whole'];

/**
 * Returns the effect of a failure. Before the response has begun, the failure's own effect is trusted: the peer may have
 * reported that it ran nothing. Once the response has begun, the outcome is unknown whatever the failure says.
 */
function effectOf(state: AttemptState, failure: Failure): Effect {
	if (state === 'notSent') {
		return failure.effect;
	}

	return state === 'sent' ? failure.effect : 'outcomeUnknown';
}

/** Creates an attempt in state `notSent`. */
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

/** Combines the failures of all attempts of a request: the result is `notRun` only if every attempt is. */
export function joinFailures(failures: readonly Failure[], last: Failure): Failure {
	const doubtful = failures.find(failure => failure.effect === 'outcomeUnknown');
	if (last.effect === 'outcomeUnknown' || doubtful === undefined) {
		return last;
	}

	return {...createOutcomeUnknown(last.code, last, last.message), cause: doubtful, ...(last.retryAfterMs !== undefined && {retryAfterMs: last.retryAfterMs})};
}
