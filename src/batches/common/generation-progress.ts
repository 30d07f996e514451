/** The text of one item as its runs generate it: events in sequence, and the weight versions that made them. */
import type {PartialText} from './batch.js';

/** An event of a run. */
export type ProgressEvent = {
	readonly id: number;
	readonly data: string;
	readonly version: number | undefined;
};

/** The text of one item. */
export type GenerationProgress = {
	/** Begins a run at a weight version; events before it stay. */
	readonly beginRun: (version: number | undefined) => void;
	/** Takes the next event; returns what is wrong with it, if anything. */
	readonly add: (event: ProgressEvent) => string | undefined;
	/** Notes that the text is whole. */
	readonly complete: () => void;
	readonly isComplete: () => boolean;
	/** Forgets all text, for a run from the start. */
	readonly reset: () => void;
	readonly lastEventId: () => number;
	readonly text: () => string;
	readonly versions: () => readonly number[];
	readonly partial: (itemId: string) => PartialText;
};

/** Creates the progress of an item, from the text of earlier runs if there is any. */
export function createGenerationProgress(earlier?: PartialText): GenerationProgress {
	let pieces = [...earlier?.pieces ?? []];
	let versions = new Set(earlier?.versions);
	let lastEventId = earlier?.lastEventId ?? 0;
	let running: number | undefined;
	let isComplete = earlier?.isComplete ?? false;

	return {
		beginRun(version) {
			running = version;
		},
		add(event) {
			if (event.id !== lastEventId + 1) {
				return `event ${event.id} follows event ${lastEventId}`;
			}

			running = event.version ?? running;
			if (running === undefined) {
				return 'the server did not state a weight version';
			}

			versions.add(running);
			pieces.push(event.data);
			lastEventId = event.id;
			return undefined;
		},
		complete() {
			isComplete = true;
		},
		isComplete: () => isComplete,
		reset() {
			isComplete = false;
			pieces = [];
			versions = new Set();
			lastEventId = 0;
		},
		lastEventId: () => lastEventId,
		text: () => pieces.join('\n'),
		versions: () => [...versions].toSorted((a, b) => a - b),
		partial: itemId => ({
			itemId, lastEventId, pieces, versions: [...versions], isComplete,
		}),
	};
}
