import {
	mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {silentLog, type Log} from '../../kernel/common/log.js';
import {createFileSnapshots, type Checksum} from '../node/file-snapshots.js';

const test = suite('file snapshots');

function createTestSnapshots(checksum?: Checksum) {
	const folder = mkdtempSync(path.join(tmpdir(), 'snapshots-'));
	const errors: string[] = [];
	const log: Log = {
		...silentLog,
		error(message, fields) {
			errors.push(`${message}: ${String(fields?.step)}`);
		},
	};
	return {
		folder, errors, snapshots: createFileSnapshots(folder, log, checksum), file: path.join(folder, 'a.snapshot'),
	};
}

type TestSnapshots = ReturnType<typeof createTestSnapshots>;

test('reads back what was written last, also in a later start', () => {
	const {folder, errors, snapshots} = createTestSnapshots();
	assert.is(snapshots.read('a'), undefined);
	snapshots.write('a', 'first');
	snapshots.write('a', 'zweite Fassung, ümlaut');
	assert.is(createFileSnapshots(folder, silentLog).read('a'), 'zweite Fassung, ümlaut');
	assert.equal(errors, []);
	rmSync(folder, {recursive: true});
});

/** Tears a snapshot at every length, and returns the texts that were read. */
function readTorn({snapshots, file}: TestSnapshots): ReadonlyArray<string | undefined> {
	snapshots.write('a', 'a text of some length');
	const whole = readFileSync(file);
	return Array.from({length: whole.length}, (_, length) => {
		writeFileSync(file, whole);
		truncateSync(file, length);
		return snapshots.read('a');
	});
}

/** Changes each byte of a snapshot in turn, and returns the texts that were read. */
function readCorrupt({snapshots, file}: TestSnapshots): ReadonlyArray<string | undefined> {
	snapshots.write('a', 'a text');
	const whole = readFileSync(file);
	return Array.from(whole, (byte, index) => {
		const changed = new Uint8Array(whole);
		changed[index] = (byte + 1) % 128;
		writeFileSync(file, changed);
		return snapshots.read('a');
	});
}

test('passes over a file torn at any length, and reports it', () => {
	const world = createTestSnapshots();
	const read = readTorn(world);
	assert.ok(read.length > 0);
	assert.equal(read.filter(text => text !== undefined), []);
	assert.is(world.errors.length, read.length);
	assert.is(world.errors[0], 'snapshot damaged and passed over: read snapshot');
	rmSync(world.folder, {recursive: true});
});

test('passes over a file with any one byte changed', () => {
	const world = createTestSnapshots();
	const read = readCorrupt(world);
	assert.ok(read.length > 0);
	assert.equal(read.filter(text => text !== undefined), []);
	rmSync(world.folder, {recursive: true});
});

test('without the checksum, torn and corrupt texts are taken and caught', () => {
	const world = createTestSnapshots(() => '0'.repeat(64));
	assert.ok(readTorn(world).some(text => text !== undefined));
	assert.ok(readCorrupt(world).some(text => text !== undefined));
	rmSync(world.folder, {recursive: true});
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
