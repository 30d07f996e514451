/** Which texts HTTP can carry in a head, so that what one process has sent is known to be sendable to another. */

const FIELD_NAME = /^[!#$%&'*+.^_`|~\w-]+$/;
const UNSENDABLE_IN_VALUE = /[^\t\u0020-\u007E\u0080-\u00FF]/;
const REQUEST_TARGET = /^[\u0021-\u00FF]+$/;

/** Lowest and highest status of a final response. */
export const MINIMUM_STATUS = 200;
export const MAXIMUM_STATUS = 599;

/** Whether a text can be the name of a header. */
export function isFieldName(text: string): boolean {
	return FIELD_NAME.test(text);
}

/** Whether a text can be the value of a header. */
export function isFieldValue(text: string): boolean {
	return !UNSENDABLE_IN_VALUE.test(text);
}

/** Whether a text can be the path, with query, of a request. */
export function isRequestTarget(text: string): boolean {
	return REQUEST_TARGET.test(text);
}

/** Describes the first header that cannot be sent, in a list of names and values by turns as Node.js reports them; undefined when all can be. */
export function findUnsendableHeader(rawHeaders: readonly string[]): string | undefined {
	const position = rawHeaders.findIndex((text, index) => !(index % 2 === 0 ? isFieldName(text) : isFieldValue(text)));
	if (position === -1) {
		return undefined;
	}

	return position % 2 === 0
		? `${JSON.stringify(rawHeaders[position])} is not a header name`
		: `the value of header ${rawHeaders[position - 1]!} has characters that can't be sent`;
}
