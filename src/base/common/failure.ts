/**
 * The error value of the whole project. A failure names the step that failed and the peer that it concerned, and states
 * what is known about the effect, because callers decide by the effect and not by the message.
 */

/** What is known about the effect of a failed operation at its receiver. */
export type Effect
	/** The operation certainly had no effect: no byte reached the receiver, or the receiver stated that it did nothing. */
	= | 'notRun'
	/** The operation may or may not have taken effect. */
		| 'outcomeUnknown';

/** Stable codes for the kinds of failure; callers may branch on them. */
const failureCodes = [
	'aborted',
	'conflict',
	'deadlineExceeded',
	'fenced',
	'incomplete',
	'invalid',
	'notFound',
	'notOwner',
	'overloaded',
	'rejected',
	'stale',
	'suspect',
	'unauthenticated',
	'unauthorized',
	'unavailable',
	'unsupported',
] as const;

/** A kind of failure. */
export type FailureCode = typeof failureCodes[number];

/** Parses a code that another process sent; undefined for a code that this version does not know. */
export function readFailureCode(text: string): FailureCode | undefined {
	return failureCodes.find(code => code === text);
}

/** Where a failure occurred. */
export type Origin = {
	/** The step that failed, as verb and object, such as `write lease`. */
	readonly step: string;
	/** The peer the step concerned: an address, an id, a file, or `self`. */
	readonly peer: string;
};

/** A failed operation. */
export type Failure = Origin & {
	readonly code: FailureCode;
	readonly effect: Effect;
	readonly message: string;
	/** Milliseconds after which a new attempt may succeed, if known. */
	readonly retryAfterMs?: number;
	readonly cause?: Failure;
};

/** Creates a failure whose operation certainly had no effect. */
export function createNotRun(code: FailureCode, origin: Origin, message: string, retryAfterMs?: number): Failure {
	return {
		code, effect: 'notRun', step: origin.step, peer: origin.peer, message, ...(retryAfterMs !== undefined && {retryAfterMs}),
	};
}

/** Creates a failure whose operation may have taken effect. */
export function createOutcomeUnknown(code: FailureCode, origin: Origin, message: string): Failure {
	return {
		code, effect: 'outcomeUnknown', step: origin.step, peer: origin.peer, message,
	};
}

/** Wraps a failure in the step that failed because of it, with the same code and effect. */
export function wrapFailure(cause: Failure, origin: Origin): Failure {
	return {
		...cause, step: origin.step, peer: origin.peer, cause,
	};
}

/** Formats a failure and its causes on one line, for logs and command-line output. */
export function formatFailure(failure: Failure): string {
	const own = `${failure.step} (${failure.peer}): ${failure.message} [${failure.code}, ${failure.effect}]`;
	return failure.cause ? `${own} <- ${formatFailure(failure.cause)}` : own;
}
