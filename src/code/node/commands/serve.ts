/** The command `serve`: runs one daemon until a signal or the drain route stops it. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {createJsonLog} from '../../../kernel/node/json-log.js';
import {logUncaughtErrors} from '../../../kernel/node/uncaught-errors.js';
import {readSettings} from '../../../settings/node/json-file.js';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {listFeatures} from '../contributions.js';
import {startDaemon, type Daemon} from '../daemon.js';
import {reportFailure, reportProblems} from '../terminal.js';

type ServeArguments = {
	readonly settings: string;
};

async function waitForSignal(): Promise<string> {
	return new Promise(resolve => {
		['SIGTERM', 'SIGINT'].forEach(signal => {
			process.on(signal, () => {
				resolve(signal);
			});
		});
	});
}

async function runUntilStopped(daemon: Daemon, signal: Promise<string>): Promise<ExitCode> {
	await Promise.race([signal, daemon.stopRequested]);
	const drained = await daemon.stop();
	return drained ? exitCodes.done : exitCodes.drainCutOff;
}

async function serve(file: string): Promise<ExitCode> {
	const settings = await readSettings(file);
	if (settings.isErr()) {
		return reportProblems(file, settings.error);
	}

	// Listens before the start, so that a signal that arrives during the start stops the daemon once it has started.
	const signal = waitForSignal();
	logUncaughtErrors(createJsonLog({level: settings.value.log.level, fields: {daemon: settings.value.daemon.id, pid: process.pid}}));
	const daemon = await startDaemon({settings: settings.value, contributions: listFeatures()});
	return daemon.isErr() ? reportFailure(daemon.error) : runUntilStopped(daemon.value, signal);
}

/** The command `serve`. */
export const serveCommand: CommandModule<unknown, ServeArguments> = {
	command: 'serve',
	describe: 'Run one daemon until SIGTERM, SIGINT or a drain',
	builder: yargs => yargs.option('settings', {
		type: 'string', demandOption: true, describe: 'Settings file (JSON)', requiresArg: true,
	}),
	async handler({settings}) {
		// Work that was not drained in time may keep timers and sockets open, so exits explicitly.
		process.exit(await serve(settings)); // eslint-disable-line unicorn/no-process-exit
	},
};
