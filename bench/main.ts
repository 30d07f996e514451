/**
 * Runs the benches `bench/*.bench.ts` sequentially and prints their figures. If words are given as arguments, only benches
 * whose file name contains one of them run. With `--json`, the output is one JSON document.
 */
import {readdirSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {pathToFileURL} from 'node:url';
import type {Bench, Figure} from './figure.js';

type Report = {
	readonly file: string;
	readonly title: string;
	readonly figures: readonly Figure[];
};

const words = process.argv.slice(2).filter(word => !word.startsWith('--'));
const json = process.argv.includes('--json');

function listBenches(): readonly string[] {
	return readdirSync(import.meta.dirname)
		.filter(name => name.endsWith('.bench.ts') && (words.length === 0 || words.some(word => name.includes(word))))
		.toSorted();
}

function formatNumber(value: number): string {
	return value !== 0 && Math.abs(value) < 100 ? value.toPrecision(3) : value.toFixed(0);
}

function formatFigure(figure: Figure): Readonly<Record<string, string>> {
	const {baseline} = figure;
	return {
		figure: figure.name,
		value: formatNumber(figure.value),
		unit: figure.unit,
		...(baseline !== undefined && {
			baseline: formatNumber(baseline),
			ratio: formatNumber(figure.value / baseline),
			policy: figure.baselinePolicy ?? '',
		}),
	};
}

function printReport(report: Report): void {
	console.log(`\n${report.title} (${report.file})`);
	console.table(report.figures.map(figure => formatFigure(figure)));
}

async function runBench(file: string): Promise<Report> {
	// By convention, every module named `*.bench.ts` exports the members of `Bench`.

	const bench = await import(pathToFileURL(path.join(import.meta.dirname, file)).href) as Bench;
	const report = {file, title: bench.title, figures: await bench.run()};
	if (!json) {
		printReport(report);
	}

	return report;
}

const files = listBenches();
if (files.length === 0) {
	console.error(`no bench matches ${words.join(' ')}`);
	process.exitCode = 2;
}

const reports = await files.reduce<Promise<readonly Report[]>>(async (previous, file) => [...await previous, await runBench(file)], Promise.resolve([]));
if (json) {
	console.log(JSON.stringify(reports, undefined, '\t'));
}
