/** What of the unfinished texts of a batch its log lacks, so that little is generated anew after the loss of an owner. */
import type {ItemResult, PartialText, TextPart} from './batch.js';

/** Events of an item that are worth storing before it is complete: about a third of a second of generation. */
const FEWEST_EVENTS = 8;
/** Most characters of parts in one record; an object of the store holds a megabyte, results included. */
const LARGEST_PARTS = 200_000;
/** Most characters of finished texts in one record. */
const LARGEST_RESULTS = 600_000;

/** The part of a text that follows what is stored of it; the whole text where the two differ. */
function createPart(text: PartialText, stored: PartialText | undefined): TextPart {
	const continues = stored !== undefined && stored.pieces.length <= text.pieces.length && stored.pieces.every((piece, index) => piece === text.pieces[index]);
	const after = continues ? stored.pieces.length : 0;
	return {
		itemId: text.itemId, after, pieces: text.pieces.slice(after), versions: text.versions, isComplete: text.isComplete,
	};
}

function takeUpTo<T>(values: readonly T[], sizeOf: (value: T) => number, limit: number): readonly T[] {
	const sizes = values.map(value => sizeOf(value));
	const first = sizes.findIndex((_, index) => sizes.slice(0, index + 1).reduce((sum, size) => sum + size, 0) > limit);
	return first === -1 ? values : values.slice(0, first);
}

/** Chooses the parts that are worth storing, longest first, as far as a record holds them. */
export function chooseTextParts(texts: readonly PartialText[], storedOf: (itemId: string) => PartialText | undefined): readonly TextPart[] {
	const parts = texts
		.map(text => createPart(text, storedOf(text.itemId)))
		.filter(part => part.pieces.length >= FEWEST_EVENTS || (part.isComplete && storedOf(part.itemId)?.isComplete !== true))
		.toSorted((a, b) => b.pieces.length - a.pieces.length);
	return takeUpTo(parts, part => part.pieces.reduce((sum, piece) => sum + piece.length, 0), LARGEST_PARTS);
}

/** The first results, as far as a record holds them, one at least. */
export function takeResults(results: readonly ItemResult[]): readonly ItemResult[] {
	const fitting = takeUpTo(results, result => result.text.length, LARGEST_RESULTS);
	return fitting.length > 0 ? fitting : results.slice(0, 1);
}

/** Of the texts of one item, that with the most events. */
export function chooseLongestTexts(texts: readonly PartialText[]): readonly PartialText[] {
	return texts.filter((text, index) => texts.every((other, place) => other.itemId !== text.itemId || other.lastEventId < text.lastEventId || (other.lastEventId === text.lastEventId && place >= index)));
}
