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

/** Environment variable that holds the operator key, so that it does not show in the list of processes. */
const KEY_VARIABLE = 'ROSEMARYSHORE_KEY';

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
			type: 'string', default: process.env[KEY_VARIABLE] ?? '', defaultDescription: `the variable ${KEY_VARIABLE}`, describe: 'Operator key',
		})
		.option('json', {type: 'boolean', default: false, describe: 'Print the result as JSON'});
}

/** Refuses an option that is not a whole number from 0 on. */
export function checkWholeNumber(option: string, value: number | undefined): number | undefined {
	if (value !== undefined && !(Number.isSafeInteger(value) && value >= 0)) {
		throw new Error(`--${option}: allowed: a whole number from 0 on`);
	}

	return value;
}

/** Creates the client that the shared options describe. */
export function createClient(args: OperatorArguments): OperatorClient {
	return createOperatorClient(args);
}
