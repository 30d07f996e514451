/** Bounds what a JSON text expands to, before it is decoded and parsed: a list of empty objects takes tens of times the memory of its text. */

const QUOTE = 0x22;
const BACKSLASH = 0x5C;
const SPACE = 0x20;
/** Bytes outside of texts that begin a value. */
const BEGINNINGS = '[{,:';
/** Bytes outside of texts without a meaning. */
const WHITE_SPACE = ' \t\n\r';

const markBytes = (characters: string): Uint8Array => Uint8Array.from({length: 256}, (_, byte) => (characters.includes(String.fromCodePoint(byte)) ? 1 : 0));
/** Tables of all bytes, as lookups in a set take several times as long. */
const beginsValue = markBytes(BEGINNINGS);
const isWhiteSpace = markBytes(WHITE_SPACE);
const isPunctuation = markBytes('[]{},:"');

/** Bounds of a JSON text. */
export type JsonBounds = {
	/** Values, names included. */
	readonly values: number;
	/** Bytes without the white space between values. */
	readonly bytes: number;
};

/** A JSON text without the white space between values, or the bound that it exceeds. */
export type CompactJson = {readonly text: Uint8Array} | {readonly exceeds: keyof JsonBounds};

/**
 * Removes the white space between the values of a JSON text; what it allocates follows from the bounds alone. A text that is not well-formed stays so:
 * one space is kept between two numbers or words, which would become one.
 */
export function compactJson(text: Uint8Array, bounds: JsonBounds): CompactJson {
	const compact = new Uint8Array(Math.min(text.length, bounds.bytes));
	let length = 0;
	let isInText = false;
	let isEscaped = false;
	let values = 1;
	let position = 0;
	// A loop by position, as an iterator or an array method would take several times as long for up to 33,554,432 bytes.
	while (position < text.length) {
		const byte = text[position]!;
		position += 1;
		if (isInText) {
			isInText = isEscaped || byte !== QUOTE;
			isEscaped = !isEscaped && byte === BACKSLASH;
		} else if (isWhiteSpace[byte] === 1) {
			continue;
		} else {
			isInText = byte === QUOTE;
			values += beginsValue[byte]!;
			const isBehindSpace = length > 0 && isWhiteSpace[text[position - 2]!] === 1;
			if (isBehindSpace && isPunctuation[byte] === 0 && isPunctuation[compact[length - 1]!] === 0) {
				compact[length] = SPACE;
				length += 1;
			}
		}

		if (values > bounds.values) {
			return {exceeds: 'values'};
		}

		if (length >= bounds.bytes) {
			return {exceeds: 'bytes'};
		}

		compact[length] = byte;
		length += 1;
	}

	return {text: compact.subarray(0, length)};
}
