import {
	mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {silentLog, type Log} from '../../kernel/common/log.js';
import {createFileSnapshots} from '../node/file-snapshots.js';

const test = suite('file snapshots');

function createTestSnapshots() {
	const folder = mkdtempSync(path.join(tmpdir(), 'snapshots-'));
	const errors: string[] = [];
	const log: Log = {
		...silentLog,
		error(message, fields) {
			errors.push(`${message}: ${String(fields?.step)}`);
		},
	};
	return {
		folder, errors, snapshots: createFileSnapshots(folder, log), file: path.join(folder, 'a.snapshot'),
	};
}

test('reads back what was written last, also in a later start', () => {
	const {folder, errors, snapshots} = createTestSnapshots();
	assert.is(snapshots.read('a'), undefined);
	snapshots.write('a', 'first');
	snapshots.write('a', 'zweite Fassung, ümlaut');
	assert.is(createFileSnapshots(folder, silentLog).read('a'), 'zweite Fassung, ümlaut');
	assert.equal(errors, []);
	rmSync(folder, {recursive: true});
});

test('passes over a file torn at any length, and reports it', () => {
	const {folder, errors, snapshots, file} = createTestSnapshots();
	snapshots.write('a', 'a text of some length');
	const whole = readFileSync(file);
	Array.from({length: whole.length}, (_, length) => length).forEach(length => {
		writeFileSync(file, whole);
		truncateSync(file, length);
		assert.is(snapshots.read('a'), undefined);
	});
	assert.is(errors.length, whole.length);
	assert.is(errors[0], 'snapshot damaged and passed over: read snapshot');
	rmSync(folder, {recursive: true});
});

test('passes over a file with any one byte changed', () => {
	const {folder, snapshots, file} = createTestSnapshots();
	snapshots.write('a', 'a text');
	const whole = readFileSync(file);
	whole.forEach((byte, index) => {
		const changed = new Uint8Array(whole);
		changed[index] = (byte + 1) % 128;
		writeFileSync(file, changed);
		assert.is(snapshots.read('a'), undefined);
	});
	rmSync(folder, {recursive: true});
});

test('a crash before the rename leaves the previous snapshot', () => {
	const {folder, snapshots, file} = createTestSnapshots();
	snapshots.write('a', 'previous');
	writeFileSync(`${file}.tmp`, 'half of the ne');
	assert.is(createFileSnapshots(folder, silentLog).read('a'), 'previous');
	rmSync(folder, {recursive: true});
});

test('a folder that cannot be written is reported and keeps the daemon running', () => {
	const {folder, errors, snapshots} = createTestSnapshots();
	rmSync(folder, {recursive: true});
	snapshots.write('a', 'text');
	assert.equal(errors, ['snapshot not written: write snapshot']);
});

test.run();
