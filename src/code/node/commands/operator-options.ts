/** Options that all operator commands share. */
import process from 'node:process';
import type {Argv} from 'yargs';
import {createOperatorClient, type OperatorClient} from '../operator-client.js';

/** Values of the shared options. */
export type OperatorArguments = {
	readonly daemon: string;
	readonly key: string;
	readonly json: boolean;
};

/** Environment variable for the operator key; a key given as an argument would be visible in the process list. */
const KEY_ENVIRONMENT_VARIABLE = 'ROSEMARYSHORE_KEY';

function checkUrl(url: string): string {
	if (!URL.canParse(url) || !/^https?:$/.test(new URL(url).protocol)) {
		throw new Error(`--daemon: found "${url}"; allowed: an http URL such as http://10.0.0.4:8080`);
	}

	return url;
}

/** Adds the options `--daemon`, `--key` and `--json`. */
export function addOperatorOptions<T>(yargs: Argv<T>): Argv<T & OperatorArguments> {
	return yargs
		.option('daemon', {
			type: 'string', demandOption: true, requiresArg: true, coerce: checkUrl, describe: 'URL of any daemon\'s caller port',
		})
		.option('key', {
			type: 'string', default: process.env[KEY_ENVIRONMENT_VARIABLE] ?? '', defaultDescription: `the variable ${KEY_ENVIRONMENT_VARIABLE}`, describe: 'Operator key',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print the result as JSON'});
}

/**
 * Checks that an option is a non-negative integer.
 * @throws If it is not; yargs reports the message.
 */
export function checkNonNegativeInteger(option: string, value: number | undefined): number | undefined {
	if (value !== undefined && !(Number.isSafeInteger(value) && value >= 0)) {
		throw new Error(`--${option}: allowed: an integer of at least 0`);
	}

	return value;
}

/** Creates a client for the daemon and the key in the shared options. */
export function createClient(args: OperatorArguments): OperatorClient {
	return createOperatorClient(args);
}
