/** What commands write: results to standard output, problems to standard error. */
import process from 'node:process';
import {formatFailure, type Failure} from '../../base/common/failure.js';
import {formatProblem, type Problem} from '../../settings/common/problem.js';
import {exitCodeOf, exitCodes, type ExitCode} from '../common/exit-code.js';

/** Writes a line of the command's result. */
export function printLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Writes the command's result as JSON for programs. */
export function printJson(value: unknown): void {
	printLine(JSON.stringify(value, undefined, '\t'));
}

/** Writes a line about what went wrong. */
export function printError(line: string): void {
	process.stderr.write(`${line}\n`);
}

/** Reports the problems of a file. */
export function reportProblems(file: string, problems: readonly Problem[]): ExitCode {
	problems.forEach(problem => {
		printError(formatProblem(file, problem));
	});
	return exitCodes.invalid;
}

/** Reports a failure. */
export function reportFailure(failure: Failure): ExitCode {
	printError(formatFailure(failure));
	return exitCodeOf(failure);
}
