/** Batches: generations that a trainer submits together, which run in the background and are read as they complete. */
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** Maximum length of a batch as JSON; an object of the store holds a megabyte. */
export const MAXIMUM_BATCH_CHARACTERS = 900_000;

/** A scoring call that follows a complete generation. */
export type ScoringCall = {
	readonly requestId: string;
	readonly host: string;
	readonly path: string;
	/** Base64. */
	readonly body: string;
};

/** One generation of a batch. */
export type BatchItem = {
	readonly id: string;
	/** Items of one group share their prompt; the trainer can use a group once all of its items are complete. */
	readonly group: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	/** Base64. */
	readonly body: string;
	/** Output tokens that the trainer expects; undefined when it states none. */
	readonly expectedTokens: number | undefined;
	readonly scoring: ScoringCall | undefined;
};

/** A batch as it was submitted. */
export type Batch = {
	readonly id: string;
	readonly host: string;
	readonly path: string;
	readonly model: string;
	/** Oldest weight version that may generate any part of an item's text. */
	readonly oldestVersion: number;
	/** Number of complete groups with which the trainer's step is complete. */
	readonly targetGroups: number;
	readonly items: readonly BatchItem[];
	/** Name of the organisation that submitted the batch; undefined without organisations in the configuration, and where a daemon of an earlier build stored the batch. */
	readonly organisation?: string;
};

/** The outcome of one item. Its position and content never change once it is stored. */
export type ItemResult = {
	readonly id: string;
	readonly isDone: boolean;
	readonly text: string;
	readonly versions: readonly number[];
	readonly score: string | undefined;
};

/** A page of results, from a position on. */
export type ResultPage = {
	readonly total: number;
	readonly next: number;
	readonly results: readonly ItemResult[];
};

/** Text generated so far, from which another run can continue. */
export type PartialText = {
	readonly itemId: string;
	readonly lastEventId: number;
	readonly pieces: readonly string[];
	readonly versions: readonly number[];
	/** The text is complete; only its score may be missing. */
	readonly isComplete: boolean;
	/** Software version of the engines that generated the text; undefined where a daemon of an earlier build stored it. */
	readonly softwareVersion?: string;
};

/** Text of an unfinished item that continues the text in the log, so that another owner need not generate it again. */
export type TextPart = {
	readonly itemId: string;
	/** Number of events before this part; 0 replaces the text in the log. */
	readonly after: number;
	readonly pieces: readonly string[];
	/** Weight versions that generated the text from its start to the end of this part. */
	readonly versions: readonly number[];
	/** The text is complete with this part. */
	readonly isComplete: boolean;
	/** Software version of the engines that generated the text. */
	readonly softwareVersion?: string;
};

/** A batch as it is stored, with its first owner. */
export type StoredBatch = {
	readonly owner: PeerDaemon;
	/** Unix time in milliseconds, by the clock of the daemon that accepted it. */
	readonly acceptedAt: number;
	readonly batch: Batch;
};

/** A record of a batch's log. Records are created in sequence; the store rejects a second record at the same position. */
export type LogRecord
	= | {readonly type: 'results'; readonly writeId: string; readonly results: readonly ItemResult[]; readonly parts?: readonly TextPart[]}
		| {readonly type: 'owner'; readonly writeId: string; readonly owner: PeerDaemon}
		| {readonly type: 'end'; readonly writeId: string}
	/** A record that this build can't decode. It is read, never written. */
		| {readonly type: 'unknown'; readonly writeId: string};
