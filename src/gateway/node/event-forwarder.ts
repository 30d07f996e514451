/** Forwards the bytes of a stream to its caller. */
import {createEventBlocks} from '../../adapters/common/event-blocks.js';
import {MAXIMUM_EVENT_BYTES} from '../../adapters/common/event-bound.js';
import {createEventTail} from '../../adapters/common/event-stream.js';
import type {ServerProtocol} from '../common/server-protocol.js';

/** The forwarding of one response. */
export type EventForwarder = {
	/** Forwards a chunk; returns a description of the error if the stream is malformed. */
	readonly forward: (chunk: Uint8Array) => string | undefined;
	/** Whether bytes of an event were received whose end was not. */
	readonly endsWithinEvent: () => boolean;
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
	/** The last bytes that were forwarded as they arrived. */
	const tail = createEventTail();
	return {
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

			return blocks.pendingBytes() > MAXIMUM_EVENT_BYTES ? `an event is larger than ${MAXIMUM_EVENT_BYTES} bytes` : undefined;
		},
	};
}
