/** Chooses the text of unfinished items that is added to a batch's log, so that little is generated again after an owner crashes. */
import type {ItemResult, PartialText, TextPart} from './batch.js';

/** Minimum number of new events of an item for which its text is stored before it is complete; about a third of a second of generation. */
const MINIMUM_EVENTS = 8;
/** Maximum text of parts in one record; an object of the store holds a megabyte, including results. */
const MAXIMUM_PARTS_CHARACTERS = 200_000;
/** Maximum text of results in one record. */
export const MAXIMUM_RESULTS_CHARACTERS = 600_000;

/** Returns the part of a text that follows the stored text, or the complete text where the two differ. */
function createPart(text: PartialText, stored: PartialText | undefined): TextPart {
	const continues = stored !== undefined && stored.softwareVersion === text.softwareVersion && stored.pieces.length <= text.pieces.length && stored.pieces.every((chunk, index) => chunk === text.pieces[index]);
	const after = continues ? stored.pieces.length : 0;
	return {
		itemId: text.itemId, after, pieces: text.pieces.slice(after), versions: text.versions, isComplete: text.isComplete, ...(text.softwareVersion !== undefined && {softwareVersion: text.softwareVersion}),
	};
}

function takeUpTo<T>(values: readonly T[], sizeOf: (value: T) => number, limit: number): readonly T[] {
	const sizes = values.map(value => sizeOf(value));
	const firstExcess = sizes.findIndex((_, index) => sizes.slice(0, index + 1).reduce((sum, size) => sum + size, 0) > limit);
	return firstExcess === -1 ? values : values.slice(0, firstExcess);
}

/** Chooses the parts to store, longest first, up to the size limit of a record. */
export function chooseTextParts(texts: readonly PartialText[], storedOf: (itemId: string) => PartialText | undefined): readonly TextPart[] {
	const parts = texts
		.map(text => createPart(text, storedOf(text.itemId)))
		.filter(part => part.pieces.length >= MINIMUM_EVENTS || (part.isComplete && storedOf(part.itemId)?.isComplete !== true))
		.toSorted((a, b) => b.pieces.length - a.pieces.length);
	return takeUpTo(parts, part => part.pieces.reduce((sum, chunk) => sum + chunk.length, 0), MAXIMUM_PARTS_CHARACTERS);
}

/** Returns the first results up to the size limit of a record, but at least one. */
export function takeResults(results: readonly ItemResult[]): readonly ItemResult[] {
	const fitting = takeUpTo(results, result => result.text.length, MAXIMUM_RESULTS_CHARACTERS);
	return fitting.length > 0 ? fitting : results.slice(0, 1);
}

/** Keeps the text with the most events of each item; the first of equals. */
export function chooseLongestTexts(texts: readonly PartialText[]): readonly PartialText[] {
	return texts.filter((text, index) => texts.every((other, otherIndex) => other.itemId !== text.itemId || other.lastEventId < text.lastEventId || (other.lastEventId === text.lastEventId && otherIndex >= index)));
}
