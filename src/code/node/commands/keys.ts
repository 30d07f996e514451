/** The commands `keys create` and `keys hash`. Settings and lists contain digests of keys only. */
import {randomBytes} from 'node:crypto';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {CommandModule} from 'yargs';
import {hashToHex} from '../../../base/common/hash.js';
import {exitCodes} from '../../common/exit-code.js';
import {printError, printJson, printLine} from '../terminal.js';

type CreateArguments = {
	readonly json: boolean;
};

/** Random bytes of a key. 32 bytes cannot be guessed, so an unsalted digest is sufficient protection. */
const KEY_BYTES = 32;

const createCommand: CommandModule<unknown, CreateArguments> = {
	command: 'create',
	describe: 'Create a random key; the key is shown once, its digest goes into settings or lists',
	builder: yargs => yargs.option('json', {type: 'boolean', default: false, describe: 'Print the result as JSON'}),
	handler({json}) {
		const key = randomBytes(KEY_BYTES).toString('base64url');
		const hash = hashToHex(key);
		if (json) {
			printJson({key, hash});
			return;
		}

		printLine(`key:  ${key}`);
		printLine(`hash: ${hash}`);
	},
};

const hashCommand: CommandModule = {
	command: 'hash',
	describe: 'Print the digest of the key on standard input',
	async handler() {
		const input = await text(process.stdin);
		const key = input.trim();
		if (key === '') {
			printError('standard input: found nothing; allowed: one key');
			process.exitCode = exitCodes.invalid;
			return;
		}

		printLine(hashToHex(key));
	},
};

/** The command group `keys`. */
export const keysCommand: CommandModule = {
	command: 'keys',
	describe: 'Create API and operator keys and their digests',
	builder: yargs => yargs.command(createCommand).command(hashCommand).demandCommand(1, 'specify a command: create or hash'),
	handler: () => undefined,
};
