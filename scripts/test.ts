/**
 * Runs all tests with uvu, a few files at a time, and ends with the line `N passed, N failed`.
 *
 * Failures listed in KNOWN-RED.txt are run and printed all the same, but do not count. With `--fuzz`, randomized tests
 * run more seeds. With a path, only test files whose path contains it run.
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

/** Reads the names of tests known to fail: the lines `test: NAME`. */
function readKnownRed(): readonly string[] {
	const file = path.join(root, 'KNOWN-RED.txt');
	return existsSync(file)
		? readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
		: [];
}

function createReport(file: string, output: string, exitCode: number): Report {
	const plain = stripVTControlCharacters(output);
	const failures = [...plain.matchAll(/^\s*FAIL\s.*"(.*)"$/gm)].map(match => match[1] ?? '');
	const passed = Number(/Passed:\s+(\d+)/.exec(plain)?.[1] ?? 0);
	const total = Number(/Total:\s+(\d+)/.exec(plain)?.[1] ?? 0);
	// The runner swallows errors thrown by hooks, so the counts are compared as well.
	const broke = failures.length === 0 && (exitCode !== 0 || passed !== total);
	return {
		file, output, passed, failures: broke ? [`${file} did not run to its end`] : failures,
	};
}

async function runFile(file: string): Promise<Report> {
	return new Promise(resolve => {
		const child = spawn(process.execPath, ['--import', 'tsx', 'node_modules/uvu/bin.js', path.dirname(file), `^${path.basename(file).replaceAll('.', String.raw`\.`)}$`], {
			cwd: root,
			env: {...process.env, FORCE_COLOR: '0', ...(process.argv.includes('--fuzz') && {FUZZ_FACTOR: '20'})},
			timeout: FILE_TIMEOUT_MS,
			killSignal: 'SIGKILL',
		});
		const pieces: string[] = [];
		[child.stdout, child.stderr].forEach(stream => {
			stream.on('data', piece => {
				pieces.push(String(piece));
			});
		});
		child.on('close', code => {
			resolve(createReport(file, pieces.join(''), code ?? 1));
		});
	});
}

const filter = process.argv.slice(2).find(argument => !argument.startsWith('--')) ?? '';
const queue = new PQueue({concurrency: CONCURRENT_FILES});
const files = listTests().filter(file => file.includes(filter));
const reports = await Promise.all(files.map(async file => queue.add(async () => {
	const report = await runFile(file);
	console.log(`${report.failures.length > 0 ? 'FAIL' : 'ok  '} ${report.file} (${report.passed} passed)`);
	if (report.failures.length > 0) {
		console.log(report.output);
	}

	return report;
})));

const knownRed = readKnownRed();
const failures = reports.flatMap(report => report.failures);
const unexpected = failures.filter(name => !knownRed.includes(name));
knownRed.forEach(name => {
	console.log(`known red: ${name}${failures.includes(name) ? ' (failed again)' : ' (did not fail in this run)'}`);
});
const passed = reports.reduce((sum, report) => sum + report.passed, 0);
console.log(`${passed} passed, ${unexpected.length} failed`);
process.exitCode = unexpected.length > 0 || passed === 0 ? 1 : 0;
