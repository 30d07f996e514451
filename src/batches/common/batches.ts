/** The batches of a hosted deployment as callers use them, at any daemon. */
import type {Result} from 'neverthrow';
import {createServiceKey} from '../../kernel/common/contribution.js';
import type {Event} from '../../base/common/event.js';
import type {Failure} from '../../base/common/failure.js';
import type {Batch, ResultPage} from './batch.js';

/** What an accepted batch asks of its model. */
export type OpenedBatch = {
	readonly model: string;
	readonly oldestVersion: number;
};

/** Batches. Failures: `notFound` (no such batch), `unavailable` (this daemon cannot say at present). */
export type Batches = {
	/** Accepts a batch once it is stored; a batch that was accepted before is accepted again. */
	readonly submit: (batch: Batch, deadlineAt: number) => Promise<Result<void, Failure>>;
	/** Reads results from a position on, and waits up to `waitMs` for one. */
	readonly read: (batchId: string, after: number, waitMs: number) => Promise<Result<ResultPage, Failure>>;
	/** Returns the decoded body of an item. */
	readonly readBody: (batchId: string, itemId: string) => Promise<Result<Uint8Array, Failure>>;
	/** Ends a batch: from then on no item of it starts. */
	readonly end: (batchId: string) => Promise<Result<void, Failure>>;
	/** Hands batches to other daemons, as far as any takes them. */
	readonly handOver: () => Promise<void>;
	/** Fires when a batch was accepted here, or by another daemon that announced it. */
	readonly onDidOpen: Event<OpenedBatch>;
};

/** The daemon's batches. */
export const batchesKey = createServiceKey<Batches>('batches');
