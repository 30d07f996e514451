/**
 * Golden files: the whole record of a session, kept in the repository and compared line by line. To accept a change on
 * purpose, run the tests with `UPDATE_GOLDEN=1` and review the difference.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import * as assert from 'uvu/assert';

/** Compares the lines of a session with its golden file. */
export function assertGolden(name: string, lines: readonly string[]): void {
	const file = path.join(import.meta.dirname, `${name}.golden.txt`);
	const text = `${lines.join('\n')}\n`;
	if (process.env.UPDATE_GOLDEN === '1') {
		writeFileSync(file, text);
	}

	assert.ok(existsSync(file), `${file} is missing; run with UPDATE_GOLDEN=1`);
	assert.fixture(text, readFileSync(file, 'utf8'));
}
