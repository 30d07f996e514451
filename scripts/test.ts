/**
 * Runs all tests with uvu, up to four files in parallel, and prints `N passed, N failed` as its last line.
 * Files named `*.isolated.test.ts` run after the others, one at a time, because they load a whole process.
 *
 * Tests listed in KNOWN-RED.txt run and are printed like the others, but their failures do not count. With `--fuzz`,
 * randomized tests use more seeds. With a path as argument, only the test files whose path contains it run.
 */
import {spawn} from 'node:child_process';
import {
	existsSync, readdirSync, readFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {stripVTControlCharacters} from 'node:util';
import PQueue from 'p-queue';

type Report = {
	readonly file: string;
	readonly output: string;
	readonly passed: number;
	readonly failures: readonly string[];
};

const CONCURRENT_FILES = 4;
const FILE_TIMEOUT_MS = 300_000;
const root = path.resolve(import.meta.dirname, '..');

function listTests(): readonly string[] {
	return ['src', 'platform', 'test']
		.filter(folder => existsSync(path.join(root, folder)))
		.flatMap(folder => readdirSync(path.join(root, folder), {recursive: true, encoding: 'utf8'}).map(name => path.join(folder, name)))
		.filter(name => name.endsWith('.test.ts'))
		.toSorted();
}

/** Reads the names of the tests that are known to fail, from the lines `test: NAME`. */
function readKnownFailures(): readonly string[] {
	const file = path.join(root, 'KNOWN-RED.txt');
	return existsSync(file)
		? readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
		: [];
}

function createReport(file: string, output: string, exitCode: number): Report {
	const plainOutput = stripVTControlCharacters(output);
	const failures = [...plainOutput.matchAll(/^\s*FAIL\s.*"(.*)"$/gm)].map(match => match[1] ?? '');
	const passed = Number(/Passed:\s+(\d+)/.exec(plainOutput)?.[1] ?? 0);
	const total = Number(/Total:\s+(\d+)/.exec(plainOutput)?.[1] ?? 0);
	// The uvu runner does not report errors thrown by hooks, so the counts of passed and total tests are compared as well.
	const isIncomplete = failures.length === 0 && (exitCode !== 0 || passed !== total);
	return {
		file, output, passed, failures: isIncomplete ? [`${file} did not run to its end`] : failures,
	};
}

async function runTestFile(file: string): Promise<Report> {
	return new Promise(resolve => {
		const child = spawn(process.execPath, ['--import', 'tsx', 'node_modules/uvu/bin.js', path.dirname(file), `^${path.basename(file).replaceAll('.', String.raw`\.`)}$`], {
			cwd: root,
			env: {...process.env, FORCE_COLOR: '0', ...(process.argv.includes('--fuzz') && {FUZZ_FACTOR: '20'})},
			timeout: FILE_TIMEOUT_MS,
			killSignal: 'SIGKILL',
		});
		const chunks: string[] = [];
		[child.stdout, child.stderr].forEach(stream => {
			stream.on('data', chunk => {
				chunks.push(String(chunk));
			});
		});
		child.on('close', code => {
			resolve(createReport(file, chunks.join(''), code ?? 1));
		});
	});
}

const pathFilter = process.argv.slice(2).find(argument => !argument.startsWith('--')) ?? '';
const queue = new PQueue({concurrency: CONCURRENT_FILES});
const files = listTests().filter(file => file.includes(pathFilter));

async function runAndPrint(file: string): Promise<Report> {
	const report = await runTestFile(file);
	console.log(`${report.failures.length > 0 ? 'FAIL' : 'ok  '} ${report.file} (${report.passed} passed)`);
	if (report.failures.length > 0) {
		console.log(report.output);
	}

	return report;
}

async function runQueued(selected: readonly string[]): Promise<readonly Report[]> {
	return Promise.all(selected.map(async file => queue.add(async () => runAndPrint(file))));
}

const isIsolated = (file: string): boolean => file.endsWith('.isolated.test.ts');
const sharedReports = await runQueued(files.filter(file => !isIsolated(file)));
queue.concurrency = 1;
const reports = [...sharedReports, ...await runQueued(files.filter(file => isIsolated(file)))];

const knownFailures = readKnownFailures();
const failures = reports.flatMap(report => report.failures);
const unexpectedFailures = failures.filter(name => !knownFailures.includes(name));
knownFailures.forEach(name => {
	console.log(`known red: ${name}${failures.includes(name) ? ' (failed again)' : ' (did not fail in this run)'}`);
});
const passed = reports.reduce((sum, report) => sum + report.passed, 0);
console.log(`${passed} passed, ${unexpectedFailures.length} failed`);
process.exitCode = unexpectedFailures.length > 0 || passed === 0 ? 1 : 0;
