/** Splits the bytes of an event stream after complete events. Each byte is searched and copied once, whatever the size of the chunks. */
import {Buffer} from 'node:buffer';
import {createCompactBytes} from '../../base/common/compact-bytes.js';

/** The bytes of one event stream. */
export type EventBlocks = {
	/** Adds bytes; returns the bytes up to the end of the last complete event that were not returned before, undefined while no event has ended. */
	readonly add: (chunk: Uint8Array) => Uint8Array | undefined;
	/** Number of bytes since the last complete event. */
	readonly pendingBytes: () => number;
};

const LINE_FEED = 10;
/** The end of a line and a blank line, which ends an event. */
const EVENT_END = '\n\n';

/** Creates the blocks of a stream without bytes. */
export function createEventBlocks(): EventBlocks {
	const pending = createCompactBytes();
	let pendingBytes = 0;
	let endsWithLineFeed = false;

	/** Returns the index after the last event that ends in a chunk, 0 if none does. */
	function findEnd(chunk: Uint8Array): number {
		const index = Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length).lastIndexOf(EVENT_END);
		if (index !== -1) {
			return index + EVENT_END.length;
		}

		return endsWithLineFeed && chunk[0] === LINE_FEED ? 1 : 0;
	}

	function keep(bytes: Uint8Array): void {
		pending.add(bytes);
		pendingBytes += bytes.length;
		endsWithLineFeed = bytes.length === 0 ? endsWithLineFeed : bytes.at(-1) === LINE_FEED;
	}

	function joinPending(bytes: Uint8Array): Uint8Array {
		pending.add(bytes);
		return pending.take();
	}

	return {
		add(chunk) {
			const end = findEnd(chunk);
			if (end === 0) {
				keep(chunk);
				return undefined;
			}

			const complete = pendingBytes === 0 ? chunk.subarray(0, end) : joinPending(chunk.subarray(0, end));
			pendingBytes = 0;
			endsWithLineFeed = false;
			keep(chunk.subarray(end));
			return complete;
		},
		pendingBytes: () => pendingBytes,
	};
}
