/** The interface of a hosted deployment to its batches; each daemon serves all batches. */
import type {Result} from 'neverthrow';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import type {BatchReader} from './batch-access.js';
import type {Batch, ResultPage} from './batch.js';

/** The model that an accepted batch needs, and the oldest weight version of it that the batch accepts. */
export type OpenedBatch = {
	readonly model: string;
	readonly oldestVersion: number;
};

/**
 * Batches. Failures: `notFound` (no such batch for this reader), `unavailable` (this daemon cannot tell at present). Without a reader, a batch of an
 * organisation is `unavailable`.
 */
export type Batches = {
	/** Accepts a batch once it is stored. Submitting an accepted batch again succeeds without a second run. */
	readonly submit: (batch: Batch, deadlineAt: number) => Promise<Result<void, Failure>>;
	/** Reads results from position `after` on; waits up to `waitMs` milliseconds while there are none. */
	readonly read: (batchId: string, after: number, waitMs: number, reader?: BatchReader) => Promise<Result<ResultPage, Failure>>;
	/** Returns the decoded request body of an item. */
	readonly readBody: (batchId: string, itemId: string, reader?: BatchReader) => Promise<Result<Uint8Array, Failure>>;
	/** Ends a batch, so that no item of it starts any more. */
	readonly end: (batchId: string, reader?: BatchReader) => Promise<Result<void, Failure>>;
	/** Hands this daemon's batches over to other daemons; a batch that none accepts is not handed over. */
	readonly handOver: () => Promise<void>;
	/** Fires when this daemon has accepted a batch, or another daemon has announced one that it accepted. */
	readonly onDidOpen: Event<OpenedBatch>;
};

/** Key of the daemon's batches. */
export const batchesKey = createServiceKey<Batches>('batches');
