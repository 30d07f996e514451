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

test('the last written text is read, also after a restart', () => {
	const {folder, errors, snapshots} = createTestSnapshots();
	assert.is(snapshots.read('a'), undefined);
	snapshots.write('a', 'first');
	snapshots.write('a', 'zweite Fassung, ümlaut');
	assert.is(createFileSnapshots(folder, silentLog).read('a'), 'zweite Fassung, ümlaut');
	assert.equal(errors, []);
	rmSync(folder, {recursive: true});
});

/** Truncates a snapshot to each length, and returns the texts that were read. */
function readTruncated({snapshots, file}: TestSnapshots): ReadonlyArray<string | undefined> {
	snapshots.write('a', 'a text of some length');
	const complete = readFileSync(file);
	return Array.from({length: complete.length}, (_, length) => {
		writeFileSync(file, complete);
		truncateSync(file, length);
		return snapshots.read('a');
	});
}

/** Changes each byte of a snapshot in turn, and returns the texts that were read. */
function readCorrupt({snapshots, file}: TestSnapshots): ReadonlyArray<string | undefined> {
	snapshots.write('a', 'a text');
	const complete = readFileSync(file);
	return Array.from(complete, (byte, index) => {
		const changed = new Uint8Array(complete);
		changed[index] = (byte + 1) % 128;
		writeFileSync(file, changed);
		return snapshots.read('a');
	});
}

test('a file truncated to any length is ignored and logged as an error', () => {
	const world = createTestSnapshots();
	const read = readTruncated(world);
	assert.ok(read.length > 0);
	assert.equal(read.filter(text => text !== undefined), []);
	assert.is(world.errors.length, read.length);
	assert.is(world.errors[0], 'snapshot damaged and passed over: read snapshot');
	rmSync(world.folder, {recursive: true});
});

test('a file with any single byte changed is ignored', () => {
	const world = createTestSnapshots();
	const read = readCorrupt(world);
	assert.ok(read.length > 0);
	assert.equal(read.filter(text => text !== undefined), []);
	rmSync(world.folder, {recursive: true});
});

test('the check fails without a checksum: truncated and corrupt texts are read', () => {
	const world = createTestSnapshots(() => '0'.repeat(64));
	assert.ok(readTruncated(world).some(text => text !== undefined));
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

test('a write to a missing folder is logged as an error and does not throw', () => {
	const {folder, errors, snapshots} = createTestSnapshots();
	rmSync(folder, {recursive: true});
	snapshots.write('a', 'text');
	assert.equal(errors, ['snapshot not written: write snapshot']);
});

test.run();
