/** The command `demo`: runs a training step with injected faults in one process. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {runDemo, type DemoOutcome} from '../demo/demo.js';
import {hasMetGuarantees} from '../demo/report.js';
import {printJson, printLine, reportFailure} from '../terminal.js';

type DemoArguments = {
	readonly json: boolean;
};

const NAME_COLUMN_WIDTH = 36;

function printTable(outcome: DemoOutcome): void {
	const rows: ReadonlyArray<readonly [string, string | number]> = [
		['daemons', outcome.daemons],
		['engine crashes during the step', outcome.engineCrashes],
		['weight swaps during the step', outcome.weightSwaps],
		['samples requested', outcome.asked],
		['samples delivered', outcome.delivered],
		['samples delivered twice', outcome.doubled],
		['samples beyond the staleness bound', outcome.stale],
		['samples with a wrong version label', outcome.mislabelled],
		['samples from the new weights', outcome.fromNewWeights],
		['samples from old and new weights', outcome.mixedVersions],
		['trainer idle time', `${outcome.trainerIdleMs} ms`],
		['total run time', `${outcome.durationMs} ms`],
	];
	rows.forEach(([name, value]) => {
		printLine(`${name.padEnd(NAME_COLUMN_WIDTH)} ${value}`);
	});
	[...new Set(outcome.retried.map(error => error.replace(/,"requestId".*/, '')))].forEach(error => {
		printLine(`the trainer retried after: ${error}`);
	});
	printLine(hasMetGuarantees(outcome) ? 'Every sample was delivered once, within the staleness bound and with correct version labels.' : 'FAILED: a guarantee was broken.');
}

async function demo(json: boolean): Promise<ExitCode> {
	const outcome = await runDemo();
	if (outcome.isErr()) {
		return reportFailure(outcome.error);
	}

	if (json) {
		printJson(outcome.value);
	} else {
		printTable(outcome.value);
	}

	return hasMetGuarantees(outcome.value) ? exitCodes.done : exitCodes.failed;
}

/** The command `demo`. */
export const demoCommand: CommandModule<unknown, DemoArguments> = {
	command: 'demo',
	describe: 'Run a training step with an engine crash and a weight swap on this machine',
	builder: yargs => yargs.option('json', {type: 'boolean', default: false, describe: 'Print the figures as JSON'}),
	async handler({json}) {
		const code = await demo(json);
		// Keep-alive connections would delay the exit of the process by some seconds.
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	},
};
