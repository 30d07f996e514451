/**
 * Golden files: the complete record of a session, stored in the repository and compared line by line. To accept an intended
 * change, run the tests with `UPDATE_GOLDEN=1` and review the difference.
 */
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import * as assert from 'uvu/assert';

/** Asserts that the lines of a session equal its golden file; with `UPDATE_GOLDEN=1`, writes the file first. */
export function assertGolden(name: string, lines: readonly string[]): void {
	const file = path.join(import.meta.dirname, `${name}.golden.txt`);
	const text = `${lines.join('\n')}\n`;
	if (process.env.UPDATE_GOLDEN === '1') {
		writeFileSync(file, text);
	}

	assert.ok(existsSync(file), `${file} is missing; run with UPDATE_GOLDEN=1`);
	assert.fixture(text, readFileSync(file, 'utf8'));
}
