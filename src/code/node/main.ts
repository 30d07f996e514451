#!/usr/bin/env node
/** The command line. */
import process from 'node:process';
import createParser from 'yargs';
import {hideBin} from 'yargs/helpers';
import {exitCodes} from '../common/exit-code.js';
import {demoCommand} from './commands/demo.js';
import {auditCommand, drainCommand, statusCommand} from './commands/fleet.js';
import {keysCommand} from './commands/keys.js';
import {plansCommand} from './commands/plans.js';
import {serveCommand} from './commands/serve.js';
import {settingsCommand} from './commands/settings.js';
import {printError} from './terminal.js';

/** Arguments that the parser or an option's own check has refused; anything else is a fault of the program. */
function isBadInput(error: Error | undefined): boolean {
	return error === undefined || error.name === 'YError';
}

await createParser(hideBin(process.argv))
	.scriptName('rosemaryshore')
	.command(serveCommand)
	.command(demoCommand)
	.command(settingsCommand)
	.command(plansCommand)
	.command(statusCommand)
	.command(auditCommand)
	.command(drainCommand)
	.command(keysCommand)
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
