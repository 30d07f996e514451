/** Output of commands: results go to standard output, errors to standard error. */
import process from 'node:process';
import {formatFailure, type Failure} from '../../base/common/failure.js';
import {formatProblem, type Problem} from '../../settings/common/problem.js';
import {getExitCode, exitCodes, type ExitCode} from '../common/exit-code.js';

/** Writes one line of a command's result to standard output. */
export function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Writes a command's result to standard output as JSON, for scripts. */
export function printJson(value: unknown): void {
	printLine(JSON.stringify(value, undefined, '\t'));
}

/** Writes one line of an error message to standard error. */
export function printError(line: string): void {
	process.stderr.write(`${line}\n`);
}

/** Prints the problems found in a file and returns the exit code. */
export function reportProblems(file: string, problems: readonly Problem[]): ExitCode {
	problems.forEach(problem => {
		printError(formatProblem(file, problem));
	});
	return exitCodes.invalid;
}

/** Prints a failure and returns the exit code for it. */
export function reportFailure(failure: Failure): ExitCode {
	printError(formatFailure(failure));
	return getExitCode(failure);
}
