/** The text of one item as its runs generate it: events in sequence, and the weight versions that generated them. */
import type {PartialText} from './batch.js';

/** One event of a run, with its data. */
export type ProgressEvent = {
	readonly id: number;
	readonly data: string;
	readonly version: number | undefined;
};

/** The text of one item so far. */
export type GenerationProgress = {
	/** Begins a run at a weight version, on an engine of a software version; events of earlier runs are kept. */
	readonly beginRun: (version: number | undefined, softwareVersion: string | undefined) => void;
	/** Adds the next event; returns a description of the problem when the event is rejected. */
	readonly add: (event: ProgressEvent) => string | undefined;
	/** Marks the text as complete. */
	readonly complete: () => void;
	readonly isComplete: () => boolean;
	/** Drops all text, so that the next run begins at the start. */
	readonly reset: () => void;
	readonly lastEventId: () => number;
	/** Software version of the engines that generated the text; meaningless while there is no text. */
	readonly softwareVersion: () => string | undefined;
	readonly text: () => string;
	readonly versions: () => readonly number[];
	readonly partial: (itemId: string) => PartialText;
};

/** Creates the progress of an item, which continues the text of earlier runs if there is any. */
export function createGenerationProgress(earlier?: PartialText): GenerationProgress {
	let chunks = [...earlier?.pieces ?? []];
	let versions = new Set(earlier?.versions);
	let lastEventId = earlier?.lastEventId ?? 0;
	let currentVersion: number | undefined;
	let isComplete = earlier?.isComplete ?? false;
	let softwareVersion = earlier?.softwareVersion;

	return {
		beginRun(version, runSoftwareVersion) {
			currentVersion = version;
			softwareVersion = lastEventId === 0 ? runSoftwareVersion : softwareVersion;
		},
		add(event) {
			if (event.id !== lastEventId + 1) {
				return `event ${event.id} received after event ${lastEventId}`;
			}

			currentVersion = event.version ?? currentVersion;
			if (currentVersion === undefined) {
				return 'the server did not state the weight version of an event';
			}

			versions.add(currentVersion);
			chunks.push(event.data);
			lastEventId = event.id;
			return undefined;
		},
		complete() {
			isComplete = true;
		},
		isComplete: () => isComplete,
		reset() {
			isComplete = false;
			chunks = [];
			versions = new Set();
			lastEventId = 0;
		},
		lastEventId: () => lastEventId,
		softwareVersion: () => softwareVersion,
		text: () => chunks.join('\n'),
		versions: () => [...versions].toSorted((a, b) => a - b),
		partial: itemId => ({
			itemId, lastEventId, pieces: chunks, versions: [...versions], isComplete, ...(softwareVersion !== undefined && {softwareVersion}),
		}),
	};
}
