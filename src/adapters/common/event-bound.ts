/** Limits the size of one event of a stream, so that a peer whose event never ends cannot exhaust the memory. */

/** Maximum size of an event: an event contains a few tokens, and thousands of tokens take 16 KB. */
export const MAXIMUM_EVENT_BYTES = 256 * 1024;

/** Counts the bytes since the last complete event. */
export type EventBound = {
	/** Counts a chunk that was read, and whether an event ended in it; returns a message when the event is too large. */
	readonly addChunk: (bytes: number, hasEvent: boolean) => string | undefined;
};

/** Creates the size limit for the events of one stream. */
export function createEventBound(): EventBound {
	let pendingBytes = 0;
	return {
		addChunk(bytes, hasEvent) {
			pendingBytes = hasEvent ? bytes : pendingBytes + bytes;
			return pendingBytes > MAXIMUM_EVENT_BYTES ? `an event is larger than ${MAXIMUM_EVENT_BYTES} bytes` : undefined;
		},
	};
}
