/** The text of one item as its runs generate it: events in sequence, and the weight versions that generated them. */
import type {PartialText} from './batch.js';
import {MAXIMUM_RESULTS_CHARACTERS} from './text-parts.js';

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
	/** Adds the next event; returns a description of the problem when the event is rejected. All text is dropped when it becomes larger than a record of the batch's log may be. */
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
	/** Memory that the text takes, in bytes. */
	readonly memoryBytes: () => number;
	readonly versions: () => readonly number[];
	readonly partial: (itemId: string) => PartialText;
};

/** Memory of one event in addition to its characters. */
const EVENT_MEMORY_BYTES = 32;

/** Creates the progress of an item, which continues the text of earlier runs if there is any. */
export function createGenerationProgress(earlier?: PartialText): GenerationProgress {
	let chunks = [...earlier?.pieces ?? []];
	let versions = new Set(earlier?.versions);
	let lastEventId = earlier?.lastEventId ?? 0;
	let currentVersion: number | undefined;
	let isComplete = earlier?.isComplete ?? false;
	let softwareVersion = earlier?.softwareVersion;
	/** Length of the text, with the line ends between the events. */
	let length = chunks.reduce((sum, chunk) => sum + chunk.length + 1, 0);

	function reset(): void {
		isComplete = false;
		chunks = [];
		length = 0;
		versions = new Set();
		lastEventId = 0;
	}

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

			length += event.data.length + 1;
			if (length > MAXIMUM_RESULTS_CHARACTERS) {
				reset();
				return `the text is larger than ${MAXIMUM_RESULTS_CHARACTERS} characters`;
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
		reset,
		lastEventId: () => lastEventId,
		softwareVersion: () => softwareVersion,
		memoryBytes: () => length + (chunks.length * EVENT_MEMORY_BYTES),
		text: () => chunks.join('\n'),
		versions: () => [...versions].toSorted((a, b) => a - b),
		partial: itemId => ({
			itemId, lastEventId, pieces: chunks, versions: [...versions], isComplete, ...(softwareVersion !== undefined && {softwareVersion}),
		}),
	};
}
