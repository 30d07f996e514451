#!/usr/bin/env node
/** Entry point of the command line. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import createParser from 'yargs';
import {hideBin} from 'yargs/helpers';
import {z} from 'zod';
import {exitCodes} from '../common/exit-code.js';
import {demoCommand} from './commands/demo.js';
import {explainCommand} from './commands/explain.js';
import {auditCommand, drainCommand, statusCommand} from './commands/fleet.js';
import {keysCommand} from './commands/keys.js';
import {plansCommand} from './commands/plans.js';
import {serveCommand} from './commands/serve.js';
import {settingsCommand} from './commands/settings.js';
import {printError} from './terminal.js';

/** Reads the version of this package; by default yargs would take that of the package in the working directory. */
function readVersion(): string {
	const file = new URL('../../../package.json', import.meta.url);
	return z.object({version: z.string()}).parse(JSON.parse(readFileSync(file, 'utf8'))).version;
}

/** Arguments that the parser or an option's own check has refused; anything else is a fault of the program. */
function isBadInput(error: Error | undefined): boolean {
	return error === undefined || error.name === 'YError';
}

await createParser(hideBin(process.argv))
	.scriptName('rosemaryshore')
	.version(readVersion())
	.command(serveCommand)
	.command(demoCommand)
	.command(settingsCommand)
	.command(plansCommand)
	.command(statusCommand)
	.command(auditCommand)
	.command(drainCommand)
	.command(keysCommand)
	.command(explainCommand)
	.demandCommand(1, 'specify a command; --help lists them')
	.strict()
	.fail((message, error, parser) => {
		printError(error === undefined ? `${message}\n` : `rosemaryshore: ${error.stack ?? error.message}`);
		if (error === undefined) {
			parser.showHelp();
		}

		process.exit(error === undefined ? exitCodes.invalid : exitCodes.failed);
	})
	.help()
	.parseAsync();
