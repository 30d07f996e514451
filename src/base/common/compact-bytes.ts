/**
 * Collects the chunks of a message in few blocks. Each chunk that Node.js delivers is an object of several hundred bytes, so
 * a message in chunks of one byte would take hundreds of times its size if its chunks were kept.
 */
import {Buffer} from 'node:buffer';

/** The collected bytes of one message. */
export type CompactBytes = {
	/** Copies a chunk; returns the bytes of memory that were allocated for it. */
	readonly add: (chunk: Uint8Array) => number;
	/** Returns all bytes in one piece, and drops the blocks. */
	readonly take: () => Uint8Array;
	readonly clear: () => void;
};

const FIRST_BLOCK_BYTES = 512;
const LARGEST_BLOCK_BYTES = 256 * 1024;
/** Blocks kept for further messages, 16 MB; otherwise refused messages stay in memory until the next garbage collection. */
const MAXIMUM_FREE_BLOCKS = 64;

const freeBlocks: Uint8Array[] = [];

function allocateBlock(size: number): Uint8Array {
	return (size === LARGEST_BLOCK_BYTES ? freeBlocks.pop() : undefined) ?? Buffer.allocUnsafeSlow(size);
}

function freeBlock(block: Uint8Array): void {
	if (block.length === LARGEST_BLOCK_BYTES && freeBlocks.length < MAXIMUM_FREE_BLOCKS) {
		freeBlocks.push(block);
	}
}

/** The size of a message that its sender has announced. */
export type AnnouncedSize = {
	readonly bytes: number;
	/** Share of the message that must have arrived before memory for all of it is allocated; 0 for senders that are trusted. */
	readonly allocationShare: number;
};

const NOT_ANNOUNCED: AnnouncedSize = {bytes: 0, allocationShare: 1};

/** Creates an empty collection. A message of the announced size is collected in one piece from `allocationShare` on, and needs no copy at its end. */
export function createCompactBytes(announced = NOT_ANNOUNCED): CompactBytes {
	let full: Uint8Array[] = [];
	let block: Uint8Array = new Uint8Array(0);
	let used = 0;
	let length = 0;

	/** Makes room for at least `bytes` more; returns the bytes of memory that were allocated beyond those that were freed. */
	function grow(bytes: number): number {
		const isWhole = length + bytes <= announced.bytes && length + bytes >= announced.bytes * announced.allocationShare;
		if (isWhole) {
			const before = [...full, block];
			const whole = Buffer.concat([...full, block.subarray(0, used)], announced.bytes);
			clear();
			block = whole;
			used = length;
			return announced.bytes - before.reduce((sum, {length: size}) => sum + size, 0);
		}

		if (used > 0) {
			full.push(block);
		}

		const size = Math.max(bytes, Math.min(LARGEST_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, block.length * 2)));
		block = allocateBlock(size);
		used = 0;
		return size;
	}

	function clear(): void {
		[...full, block].forEach(freeBlock);
		full = [];
		block = new Uint8Array(0);
		used = 0;
	}

	return {
		add(chunk) {
			const fitting = Math.min(chunk.length, block.length - used);
			block.set(chunk.subarray(0, fitting), used);
			used += fitting;
			length += fitting;
			const rest = chunk.subarray(fitting);
			if (rest.length === 0) {
				return 0;
			}

			const grownBytes = grow(rest.length);
			block.set(rest, used);
			used += rest.length;
			length += rest.length;
			return grownBytes;
		},
		take() {
			if (full.length > 0) {
				const bytes = Buffer.concat([...full, block.subarray(0, used)]);
				clear();
				return bytes;
			}

			// The only block belongs to the caller from now on.
			const bytes = block.subarray(0, used);
			block = new Uint8Array(0);
			used = 0;
			return bytes;
		},
		clear,
	};
}
