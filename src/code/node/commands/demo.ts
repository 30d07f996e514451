/** The command `demo`: a training step under faults, in one process. */
import process from 'node:process';
import type {CommandModule} from 'yargs';
import {exitCodes, type ExitCode} from '../../common/exit-code.js';
import {runDemo, type DemoOutcome} from '../demo/demo.js';
import {isWhole} from '../demo/report.js';
import {printJson, printLine, reportFailure} from '../terminal.js';

type DemoArguments = {
	readonly json: boolean;
};

const NAME_WIDTH = 36;

function printTable(outcome: DemoOutcome): void {
	const rows: ReadonlyArray<readonly [string, string | number]> = [
		['daemons', outcome.daemons],
		['engine crashes in mid-step', outcome.engineCrashes],
		['weight swaps in mid-step', outcome.weightSwaps],
		['samples asked', outcome.asked],
		['samples delivered', outcome.delivered],
		['samples delivered twice', outcome.doubled],
		['samples beyond the staleness bound', outcome.stale],
		['samples with a wrong version label', outcome.mislabelled],
		['samples from the new weights', outcome.fromNewWeights],
		['samples from old and new weights', outcome.mixedVersions],
		['trainer idle time', `${outcome.trainerIdleMs} ms`],
		['whole run', `${outcome.durationMs} ms`],
	];
	rows.forEach(([name, value]) => {
		printLine(`${name.padEnd(NAME_WIDTH)} ${value}`);
	});
	[...new Set(outcome.retried.map(answer => answer.replace(/,"requestId".*/, '')))].forEach(answer => {
		printLine(`the trainer tried again after: ${answer}`);
	});
	printLine(isWhole(outcome) ? 'Every sample was delivered once, fresh and truly labelled.' : 'FAILED: a guarantee was broken.');
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

	return isWhole(outcome.value) ? exitCodes.done : exitCodes.failed;
}

/** The command `demo`. */
export const demoCommand: CommandModule<unknown, DemoArguments> = {
	command: 'demo',
	describe: 'Run a training step with an engine crash and a weight swap on this machine',
	builder: yargs => yargs.option('json', {type: 'boolean', default: false, describe: 'Print the figures as JSON'}),
	async handler({json}) {
		const code = await demo(json);
		// Connections that are kept alive would hold the process for some seconds.
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	},
};
