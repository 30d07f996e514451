/** Tells event streams from other responses, and whether one ended in the middle of an event. */

/** What is known of the end of an event stream. */
export type EventTail = {
	readonly addChunk: (chunk: Uint8Array) => void;
	/** Whether bytes of an event were received whose end was not. */
	readonly endsWithinEvent: () => boolean;
};

const EVENT_STREAM_TYPE = 'text/event-stream';
/** Maximum length of a blank line, which ends an event, with the end of the line before it. */
const TAIL_BYTES = 4;
const decoder = new TextDecoder('latin1');

/** Whether a response is an event stream, by the value of its `content-type`. */
export function isEventStream(contentType: string | undefined): boolean {
	return contentType?.split(';', 1)[0]?.trim().toLowerCase() === EVENT_STREAM_TYPE;
}

/** Creates the tail of a stream without bytes. */
export function createEventTail(): EventTail {
	let tail = '';
	return {
		addChunk(chunk) {
			tail = `${tail}${decoder.decode(chunk.subarray(-TAIL_BYTES))}`.slice(-TAIL_BYTES);
		},
		endsWithinEvent: () => tail !== '' && !/[\n\r]{2}$/.test(tail.replaceAll('\r\n', '\n')),
	};
}
