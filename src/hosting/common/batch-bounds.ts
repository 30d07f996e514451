/** Bounds of the JSON text of a submitted batch. */
import {MAXIMUM_BATCH_CHARACTERS} from '../../batches/common/batch.js';
import type {JsonBounds} from './json-size.js';

/** The most bytes that one UTF-16 code unit takes in a JSON text, as `\u0000`. */
const MAXIMUM_CHARACTER_BYTES = 6;

/**
 * A text beyond these bounds is refused before it is decoded. Each value that a stored batch keeps takes at least 4 characters, so
 * only values that are ignored could exceed them in a batch that can be stored.
 */
export const BATCH_BOUNDS: JsonBounds = {values: 500_000, bytes: MAXIMUM_CHARACTER_BYTES * MAXIMUM_BATCH_CHARACTERS};
