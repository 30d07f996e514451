/** The command `explain`: prints the log lines of all daemons about one request, item or batch. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {explain, formatLogLine} from '../../common/explain.js';
import {printError, printJson, printLine} from '../terminal.js';

type ExplainArguments = {
	readonly id: string;
	readonly logs: readonly string[];
	readonly json: boolean;
};

function run({id, logs, json}: ExplainArguments): ExitCode {
	const lines = explain(logs.flatMap(file => readFileSync(file, 'utf8').split('\n')), id);
	if (json) {
		printJson(lines);
	} else {
		lines.forEach(line => {
			printLine(formatLogLine(line));
		});
	}

	if (lines.length === 0) {
		printError(`no line of ${logs.join(', ')} contains ${id}`);
		return exitCodes.failed;
	}

	return exitCodes.done;
}

/** The command `explain`. */
export const explainCommand: CommandModule<unknown, ExplainArguments> = {
	command: 'explain <id> <logs..>',
	describe: 'Show every decision on a request, item or batch from the logs of all daemons, sorted by time',
	builder: yargs => yargs
		.positional('id', {type: 'string', demandOption: true, describe: 'Id of a request, an item or a batch'})
		.positional('logs', {
			type: 'string', array: true, demandOption: true, describe: 'Log files (JSON lines)',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print the lines as JSON'}),
	handler(args) {
		process.exitCode = run(args);
	},
};
