/** The commands `settings check` and `settings schema`. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {createSettingsJsonSchema} from '../../../settings/common/check.js';
import {readSettings} from '../../../settings/node/json-file.js';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {printJson, printLine, reportProblems} from '../terminal.js';

type CheckArguments = {
	readonly file: string;
	readonly json: boolean;
};

async function check({file, json}: CheckArguments): Promise<ExitCode> {
	const settings = await readSettings(file);
	if (json) {
		printJson({file, valid: settings.isOk(), problems: settings.isErr() ? settings.error : []});
		return settings.isOk() ? exitCodes.done : exitCodes.invalid;
	}

	if (settings.isErr()) {
		return reportProblems(file, settings.error);
	}

	printLine(`${file}: valid settings of daemon ${settings.value.daemon.id}`);
	return exitCodes.done;
}

const checkCommand: CommandModule<unknown, CheckArguments> = {
	command: 'check <file>',
	describe: 'Check a settings file without starting anything',
	builder: yargs => yargs
		.positional('file', {type: 'string', demandOption: true, describe: 'Settings file (JSON)'})
		.option('json', {type: 'boolean', default: false, describe: 'Print the result as JSON'}),
	async handler(args) {
		process.exitCode = await check(args);
	},
};

const schemaCommand: CommandModule = {
	command: 'schema',
	describe: 'Print the JSON Schema of the settings file',
	handler() {
		printJson(createSettingsJsonSchema());
	},
};

/** The command group `settings`. */
export const settingsCommand: CommandModule = {
	command: 'settings',
	describe: 'Check settings files and print their schema',
	builder: yargs => yargs.command(checkCommand).command(schemaCommand).demandCommand(1, 'specify a command: check or schema'),
	handler: () => undefined,
};
