/** Forwards the bytes of a stream to its caller. */
import {performance} from 'node:perf_hooks';
import {createEventBlocks} from '../../adapters/common/event-blocks.js';
import {MAXIMUM_EVENT_BYTES} from '../../adapters/common/event-bound.js';
import {createEventTail} from '../../adapters/common/event-stream.js';
import type {BytesHeld} from '../../base/common/byte-budget.js';
import {responseBudget} from '../../base/common/message-budgets.js';
import type {ServerProtocol} from '../common/server-protocol.js';

/** The forwarding of one response. */
export type EventForwarder = {
	/** Forwards a chunk; returns a description of the error if the stream is malformed. */
	readonly forward: (chunk: Uint8Array) => string | undefined;
	/** Whether bytes of an event were received whose end was not. */
	readonly endsWithinEvent: () => boolean;
	/** Stops counting the bytes that it holds, when the response has ended. */
	readonly release: () => void;
};

/**
 * Forwards bytes. With `completeEventsOnly`, for streams that can be resumed, it forwards only complete events, so that another
 * server can continue after the last one and the caller never receives part of an event twice.
 */
export function createEventForwarder(protocol: ServerProtocol, write: (chunk: Uint8Array) => void, onEvent: (id: number) => void, completeEventsOnly: () => boolean): EventForwarder {
	const reader = protocol.createEventReader(event => {
		onEvent(event.id);
	});
	const blocks = createEventBlocks();
	let heldBytes: BytesHeld | undefined;
	let excess: string | undefined;

	/** Counts the incomplete event toward the memory for responses; most events come whole, and hold nothing. */
	function countPending(): void {
		if (heldBytes === undefined && blocks.pendingBytes() === 0) {
			return;
		}

		heldBytes ??= responseBudget.open(reason => {
			excess = reason;
		}, performance.now());
		heldBytes.set(blocks.pendingBytes(), performance.now());
	}

	/** The last bytes that were forwarded as they arrived. */
	const tail = createEventTail();
	return {
		release() {
			heldBytes?.release();
		},
		endsWithinEvent: () => blocks.pendingBytes() > 0 || tail.endsWithinEvent(),
		forward(chunk) {
			if (!completeEventsOnly()) {
				tail.addChunk(chunk);
				write(chunk);
				return undefined;
			}

			const complete = blocks.add(chunk);
			if (complete !== undefined) {
				write(complete);
				reader.feed(complete);
			}

			countPending();
			return excess ?? (blocks.pendingBytes() > MAXIMUM_EVENT_BYTES ? `an event is larger than ${MAXIMUM_EVENT_BYTES} bytes` : undefined);
		},
	};
}
