/**
 * Snapshots as files in the data folder. A snapshot is written to a temporary file, synced and renamed. It contains a checksum,
 * so that a truncated or corrupt file is detected and ignored.
 */
import {
	closeSync, fsyncSync, mkdirSync, openSync, readFileSync, renameSync, writeSync,
} from 'node:fs';
import path from 'node:path';
import {hashToHex} from '../../base/common/hash.js';
import type {Log} from '../../kernel/common/log.js';
import type {Snapshots} from '../common/snapshots.js';

/** Length of the checksum line in characters: 64 hexadecimal digits and a line feed. */
const CHECKSUM_LINE_LENGTH = 65;

/** Computes the checksum of a text: 64 hexadecimal digits. */
export type Checksum = (text: string) => string;

function encode(text: string, checksum: Checksum): string {
	return `${checksum(text)}\n${text}`;
}

function decode(content: string, checksum: Checksum): string | undefined {
	const text = content.slice(CHECKSUM_LINE_LENGTH);
	return content.slice(0, CHECKSUM_LINE_LENGTH) === `${checksum(text)}\n` ? text : undefined;
}

function syncPath(target: string): void {
	const descriptor = openSync(target, 'r');
	try {
		fsyncSync(descriptor);
	} finally {
		closeSync(descriptor);
	}
}

function replaceFile(folder: string, file: string, content: string): void {
	const temporary = `${file}.tmp`;
	const descriptor = openSync(temporary, 'w');
	try {
		writeSync(descriptor, content);
		fsyncSync(descriptor);
	} finally {
		closeSync(descriptor);
	}

	renameSync(temporary, file);
	syncPath(folder);
}

function isMissing(error: unknown): boolean {
	return error instanceof Error && 'code' in error && error.code === 'ENOENT';
}

/** Creates snapshots in a folder, which is created if it does not exist. */
export function createFileSnapshots(folder: string, log: Log, checksum: Checksum = hashToHex): Snapshots {
	mkdirSync(folder, {recursive: true});
	const getFilePath = (name: string) => path.join(folder, `${name}.snapshot`);

	return {
		read(name) {
			const file = getFilePath(name);
			try {
				const text = decode(readFileSync(file, 'utf8'), checksum);
				if (text === undefined) {
					log.error('snapshot damaged and passed over', {step: 'read snapshot', peer: file});
				}

				return text;
			} catch (error) {
				if (!isMissing(error)) {
					log.error('snapshot not readable', {step: 'read snapshot', peer: file, error: String(error)});
				}

				return undefined;
			}
		},
		write(name, text) {
			const file = getFilePath(name);
			try {
				replaceFile(folder, file, encode(text, checksum));
			} catch (error) {
				log.error('snapshot not written', {step: 'write snapshot', peer: file, error: String(error)});
			}
		},
	};
}
