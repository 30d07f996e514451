/** The commands `plans get`, `plans set` and `plans diff`, which read and edit the lists of plans and grants. */
import process from 'node:process';
import type {Argv, CommandModule} from 'yargs';
import type {Failure} from '../../../base/common/failure.js';
import type {VersionedLists} from '../../../plans/common/lists.js';
import {readJsonFile} from '../../../settings/node/json-file.js';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {compareLists, formatListChange, type ListChange} from '../../common/lists-diff.js';
import {checkListsDocument, type ListsDocument} from '../../common/lists-document.js';
import type {OperatorClient} from '../operator-client.js';
import {
	printError, printJson, printLine, reportFailure, reportProblems,
} from '../terminal.js';
import {
	addOperatorOptions, checkNonNegativeInteger, createClient, type OperatorArguments,
} from './operator-options.js';

type FileArguments = OperatorArguments & {
	readonly file: string;
};

type SetArguments = FileArguments & {
	readonly 'if-version'?: number;
	readonly operator: string;
};

function printChanges(changes: readonly ListChange[]): void {
	changes.forEach(change => {
		printLine(formatListChange(change));
	});
}

async function get(args: OperatorArguments): Promise<ExitCode> {
	const current = await createClient(args).readLists();
	if (current.isErr()) {
		return reportFailure(current.error);
	}

	if (args.json) {
		printJson(current.value);
		return exitCodes.done;
	}

	printLine(`version ${current.value.version}`);
	printChanges(compareLists({plans: [], grants: []}, current.value.lists));
	return exitCodes.done;
}

async function withDocument(file: string, runCommand: (document: ListsDocument) => Promise<ExitCode>): Promise<ExitCode> {
	const read = await readJsonFile(file);
	const document = read.andThen(checkListsDocument);
	return document.isErr() ? reportProblems(file, document.error) : runCommand(document.value);
}

async function diff(args: FileArguments): Promise<ExitCode> {
	return withDocument(args.file, async ({lists}) => {
		const current = await createClient(args).readLists();
		if (current.isErr()) {
			return reportFailure(current.error);
		}

		const changes = compareLists(current.value.lists, lists);
		if (args.json) {
			printJson({version: current.value.version, changes});
			return exitCodes.done;
		}

		printLine(`${changes.length} changes against version ${current.value.version}`);
		printChanges(changes);
		return exitCodes.done;
	});
}

/** Reports a write that conflicted with another operator's: prints the version now in force and its differences to the file. */
async function reportConflict(client: OperatorClient, document: ListsDocument, ifVersion: number, failure: Failure): Promise<ExitCode> {
	const newer = await client.readLists();
	const version = newer.isOk() ? `version ${newer.value.version} is in force` : 'the version in force cannot be read';
	printError(`conflict: the lists were read at version ${ifVersion}, but ${version} now; nothing was applied (${failure.message})`);
	if (newer.isOk()) {
		const changes = compareLists(newer.value.lists, document.lists);
		printError(changes.length === 0 ? 'the file is the same as the version in force' : 'differences from the version in force to the file:');
		changes.forEach(change => {
			printError(formatListChange(change));
		});
	}

	return exitCodes.conflict;
}

function reportWritten(written: VersionedLists, json: boolean): ExitCode {
	if (json) {
		printJson(written);
		return exitCodes.done;
	}

	printLine(`version ${written.version} is in force`);
	return exitCodes.done;
}

async function set(args: SetArguments): Promise<ExitCode> {
	return withDocument(args.file, async document => {
		const ifVersion = args['if-version'] ?? document.version;
		if (ifVersion === undefined) {
			return reportProblems(args.file, [{
				path: '$.version',
				message: 'found nothing; allowed: the version that the lists were read at, here or as --if-version (0 for the first lists)',
			}]);
		}

		const client = createClient(args);
		const written = await client.writeLists({operator: args.operator, ifVersion, lists: document.lists});
		if (written.isOk()) {
			return reportWritten(written.value, args.json);
		}

		return written.error.code === 'conflict' && written.error.effect === 'notRun'
			? reportConflict(client, document, ifVersion, written.error)
			: reportFailure(written.error);
	});
}

function addFile<T>(yargs: Argv<T>) {
	return addOperatorOptions(yargs).positional('file', {
		type: 'string', demandOption: true, describe: 'Lists (JSON), alone or as `plans get --json` prints them',
	});
}

const getCommand: CommandModule<unknown, OperatorArguments> = {
	command: 'get',
	describe: 'Print the lists in force with their version',
	builder: addOperatorOptions,
	async handler(args) {
		process.exitCode = await get(args);
	},
};

const diffCommand: CommandModule<unknown, FileArguments> = {
	command: 'diff <file>',
	describe: 'Print how a file differs from the lists in force',
	builder: addFile,
	async handler(args) {
		process.exitCode = await diff(args);
	},
};

const setCommand: CommandModule<unknown, SetArguments> = {
	command: 'set <file>',
	describe: 'Apply a file, unless the lists have changed since they were read',
	builder: yargs => addFile(yargs)
		.option('if-version', {
			type: 'number',
			requiresArg: true,
			coerce: (value: number | undefined) => checkNonNegativeInteger('if-version', value),
			describe: 'Version that the lists were read at, if the file does not contain it',
		})
		.option('operator', {
			type: 'string', requiresArg: true, default: process.env.USER ?? 'operator', describe: 'Your name, for the audit trail',
		}),
	async handler(args) {
		process.exitCode = await set(args);
	},
};

/** The command group `plans`. */
export const plansCommand: CommandModule = {
	command: 'plans',
	describe: 'Read, compare and change customers\' plans and grants',
	builder: yargs => yargs.command(getCommand).command(setCommand).command(diffCommand).demandCommand(1, 'specify a command: get, set or diff'),
	handler: () => undefined,
};
