/** Estimates the memory that heads of requests take. */

/** The parts of a request's head that take memory. */
export type RequestHead = {
	readonly method?: string | undefined;
	readonly url?: string | undefined;
	readonly rawHeaders: readonly string[];
};

/**
 * Bytes of memory for each byte of a head that is not complete. A line of 4 bytes becomes two entries of a list and a text of
 * 24 bytes at least.
 */
export const UNFINISHED_HEAD_FACTOR = 12;
/** Bytes of memory of a request without headers, with its response and the functions that wait for it. */
const REQUEST_BYTES = 4096;
/** Bytes of memory for each line of a head, which is kept as it came, by name, and as it is passed on. */
const LINE_BYTES = 150;
/** Copies of the text of a head. */
const TEXT_COPIES = 3;
/** Bytes of a line beside name and value: the colon and the line end. */
const LINE_SEPARATOR_BYTES = 3;
/** Bytes of the first line beside method and path, and of the line end after the head. */
const FIRST_LINE_BYTES = 14;

/** Returns the least number of bytes in which a head can have been sent. */
export function computeHeadSize({method = '', url = '', rawHeaders}: RequestHead): number {
	return FIRST_LINE_BYTES + method.length + url.length + rawHeaders.reduce((sum, text) => sum + text.length, 0) + ((rawHeaders.length / 2) * LINE_SEPARATOR_BYTES);
}

/** Estimates the bytes of memory that a request with this head takes until its response is closed, without bodies. */
export function computeHeadCost(head: RequestHead): number {
	return REQUEST_BYTES + ((head.rawHeaders.length / 2) * LINE_BYTES) + (computeHeadSize(head) * TEXT_COPIES);
}
