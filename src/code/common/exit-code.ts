/** Exit codes of the command line; docs/OPERATIONS.md lists them for operators. */
import type {Failure, FailureCode} from '../../base/common/failure.js';

/** Exit codes by meaning. */
export const exitCodes = {
	done: 0,
	/** The command ran and failed, or a measured guarantee was broken. */
	failed: 1,
	/** Bad arguments, settings or lists; nothing was applied. */
	invalid: 2,
	/** Another operator was faster; nothing was applied. */
	conflict: 3,
	/** The key is missing, unknown or not allowed to do this. */
	refused: 4,
	/** The daemon or the platform cannot be reached or is overloaded; nothing was applied. */
	unavailable: 5,
	/** The answer was lost: the change may have been applied. */
	outcomeUnknown: 6,
	/** The daemon stopped, but work was cut off when `requests.drainMs` had passed. */
	drainCutOff: 7,
} as const;

/** The exit code of a command. */
export type ExitCode = typeof exitCodes[keyof typeof exitCodes];

const byCode: Partial<Record<FailureCode, ExitCode>> = {
	conflict: exitCodes.conflict,
	invalid: exitCodes.invalid,
	notFound: exitCodes.invalid,
	unauthenticated: exitCodes.refused,
	unauthorized: exitCodes.refused,
	unavailable: exitCodes.unavailable,
	overloaded: exitCodes.unavailable,
	deadlineExceeded: exitCodes.unavailable,
};

/** Chooses the exit code of a failure. */
export function exitCodeOf(failure: Failure): ExitCode {
	return failure.effect === 'outcomeUnknown' ? exitCodes.outcomeUnknown : byCode[failure.code] ?? exitCodes.failed;
}
