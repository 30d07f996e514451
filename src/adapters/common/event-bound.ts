/** Bounds one event of a stream, so that a peer whose event never ends does not fill the memory. */

/** Largest event, in bytes: an event holds a few tokens; thousands of them come to 16 KB. */
export const LARGEST_EVENT_BYTES = 256 * 1024;

/** Counts the bytes since the last whole event. */
export type EventBound = {
	/** Notes a piece that has been read, and whether an event ended in it; returns what is wrong, if anything. */
	readonly note: (bytes: number, hasEvent: boolean) => string | undefined;
};

/** Creates the bound of one stream. */
export function createEventBound(): EventBound {
	let pending = 0;
	return {
		note(bytes, hasEvent) {
			pending = hasEvent ? bytes : pending + bytes;
			return pending > LARGEST_EVENT_BYTES ? `an event is larger than ${LARGEST_EVENT_BYTES} bytes` : undefined;
		},
	};
}
