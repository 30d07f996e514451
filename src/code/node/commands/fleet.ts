/** The commands `status`, `audit` and `drain`. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import type {AuditLine} from '../operator-client.js';
import {printJson, printLine, reportFailure} from '../terminal.js';
import {
	addOperatorOptions, checkNonNegativeInteger, createClient, type OperatorArguments,
} from './operator-options.js';

type AuditArguments = OperatorArguments & {
	readonly since: number;
	readonly limit: number;
};

const MS_PER_MINUTE = 60_000;

async function status(args: OperatorArguments): Promise<ExitCode> {
	const result = await createClient(args).readStatus();
	if (result.isErr()) {
		return reportFailure(result.error);
	}

	if (args.json) {
		printJson(result.value);
		return exitCodes.done;
	}

	Object.entries(result.value).forEach(([name, value]) => {
		printLine(`${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}`);
	});
	return exitCodes.done;
}

function formatAuditLine(entry: AuditLine): string {
	return `${new Date(entry.at).toISOString()} ${entry.actor} ${entry.action} ${entry.subject}${entry.detail ? `: ${entry.detail}` : ''}`;
}

async function audit(args: AuditArguments): Promise<ExitCode> {
	const since = Date.now() - (args.since * MS_PER_MINUTE);
	const entries = await createClient(args).readAudit(Math.round(since), args.limit);
	if (entries.isErr()) {
		return reportFailure(entries.error);
	}

	if (args.json) {
		printJson(entries.value);
		return exitCodes.done;
	}

	entries.value.forEach(entry => {
		printLine(formatAuditLine(entry));
	});
	return exitCodes.done;
}

async function drain(args: OperatorArguments): Promise<ExitCode> {
	const result = await createClient(args).drain();
	if (result.isErr()) {
		return reportFailure(result.error);
	}

	if (args.json) {
		printJson({draining: args.daemon});
		return exitCodes.done;
	}

	printLine(`${args.daemon} is draining and stops once its work is done`);
	return exitCodes.done;
}

/** The command `status`. */
export const statusCommand: CommandModule<unknown, OperatorArguments> = {
	command: 'status',
	describe: 'Print a daemon\'s view of the fleet',
	builder: addOperatorOptions,
	async handler(args) {
		process.exitCode = await status(args);
	},
};

/** The command `audit`. */
export const auditCommand: CommandModule<unknown, AuditArguments> = {
	command: 'audit',
	describe: 'Print the audit trail',
	builder: yargs => addOperatorOptions(yargs)
		.option('since', {
			type: 'number', default: 60, coerce: (value: number) => checkNonNegativeInteger('since', value) ?? 0, describe: 'Minutes to look back',
		})
		.option('limit', {
			type: 'number', default: 100, coerce: (value: number) => checkNonNegativeInteger('limit', value) ?? 0, describe: 'Maximum number of entries',
		}),
	async handler(args) {
		process.exitCode = await audit(args);
	},
};

/** The command `drain`. */
export const drainCommand: CommandModule<unknown, OperatorArguments> = {
	command: 'drain',
	describe: 'Let one daemon finish its work and stop',
	builder: addOperatorOptions,
	async handler(args) {
		process.exitCode = await drain(args);
	},
};
