/** Exit codes of the command line; docs/OPERATIONS.md lists them for operators. */
import type {Failure, FailureCode} from '../../base/common/failure.js';

/** Exit codes by meaning. */
export const exitCodes = {
	done: 0,
	/** The command ran and failed, or the demo found a guarantee broken. */
	failed: 1,
	/** Bad arguments, settings or lists; nothing was applied. */
	invalid: 2,
	/** Another operator changed the lists first; nothing was applied. */
	conflict: 3,
	/** The key is missing, unknown or not authorized for the operation. */
	refused: 4,
	/** The daemon or the platform cannot be reached or is overloaded; nothing was applied. */
	unavailable: 5,
	/** The response was lost: the change may have been applied. */
	outcomeUnknown: 6,
	/** The daemon stopped, but aborted work that had not finished within `requests.drainMs`. */
	drainCutOff: 7,
} as const;

/** The exit code of a command. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

const exitCodeByFailureCode: Partial<Record<FailureCode, ExitCode>> = {
	conflict: exitCodes.conflict,
	invalid: exitCodes.invalid,
	notFound: exitCodes.invalid,
	unauthenticated: exitCodes.refused,
	unauthorized: exitCodes.refused,
	unavailable: exitCodes.unavailable,
	overloaded: exitCodes.unavailable,
	deadlineExceeded: exitCodes.unavailable,
};

/** Returns the exit code for a failure. */
export function getExitCode(failure: Failure): ExitCode {
	return failure.effect === 'outcomeUnknown' ? exitCodes.outcomeUnknown : exitCodeByFailureCode[failure.code] ?? exitCodes.failed;
}
