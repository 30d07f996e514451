#!/usr/bin/env node
/** The command line. */
import process from 'node:process';
import createParser from 'yargs';
import {hideBin} from 'yargs/helpers';
import {exitCodes} from '../common/exit-code.js';
import {serveCommand} from './commands/serve.js';
import {settingsCommand} from './commands/settings.js';
import {printError} from './terminal.js';

await createParser(hideBin(process.argv))
	.scriptName('rosemaryshore')
	.command(serveCommand)
	.command(settingsCommand)
	.demandCommand(1, 'name a command; --help lists them')
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
