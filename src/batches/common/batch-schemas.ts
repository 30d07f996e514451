/** Decoders of batches, their logs and the calls about them, as daemons of several builds store and send them. */
import {z} from 'zod';
import {createDecoder, peerDaemonSchema} from '../../peers/common/decode-call.js';
import {isOrganisationName} from '../../gateway/common/deployment.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';
import {batchReaderSchema, type BatchReader} from './batch-access.js';
import type {
	Batch, LogRecord, PartialText, ResultPage, StoredBatch,
} from './batch.js';
import type {OpenedBatch} from './batches.js';

const scoringSchema = z.object({
	requestId: z.string(), host: z.string(), path: z.string(), body: z.string(),
});
const itemSchema = z.object({
	id: z.string(), group: z.string(), path: z.string(), headers: z.record(z.string(), z.string()), body: z.string(), expectedTokens: z.number().optional(), scoring: scoringSchema.optional(),
});
const batchSchema = z.object({
	id: z.string(), host: z.string(), path: z.string(), model: z.string(), oldestVersion: z.number(), targetGroups: z.number(), items: z.array(itemSchema), organisation: z.string().refine(isOrganisationName).optional(),
});
const resultSchema = z.object({
	id: z.string(), isDone: z.boolean(), text: z.string(), versions: z.array(z.number()), score: z.string().optional(),
});
const textSchema = z.object({
	itemId: z.string(), pieces: z.array(z.string()), versions: z.array(z.number()), isComplete: z.boolean(), softwareVersion: z.string().optional(),
});
const partialSchema = textSchema.extend({lastEventId: z.number()});
const recordSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('results'), writeId: z.string(), results: z.array(resultSchema), parts: z.array(textSchema.extend({after: z.number()})).optional(),
	}),
	z.object({type: z.literal('owner'), writeId: z.string(), owner: peerDaemonSchema}),
	z.object({type: z.literal('end'), writeId: z.string()}),
]);
const openedSchema = z.object({model: z.string(), oldestVersion: z.number()});

/** Decodes a batch as it is stored. */
export const decodeStoredBatch = createDecoder<StoredBatch>(z.object({owner: peerDaemonSchema, batch: batchSchema}));
/** Decodes a record of a batch's log. */
export const decodeLogRecord = createDecoder<LogRecord>(recordSchema);
/** Decodes a page of results. */
export const decodePage = createDecoder<ResultPage>(z.object({total: z.number(), next: z.number(), results: z.array(resultSchema)}));
/** Decodes a call for a batch at its owner. */
export const decodeOwnedCall = createDecoder<{readonly batchId: string; readonly incarnation: string; readonly after?: number; readonly waitMs?: number; readonly itemId?: string; readonly reader?: BatchReader}>(z.object({
	batchId: z.string(), incarnation: z.string(), after: z.number().optional(), waitMs: z.number().optional(), itemId: z.string().optional(), reader: batchReaderSchema.optional(),
}));
/** Decodes the submission of a batch to its chosen owner. */
export const decodeSubmission = createDecoder<{readonly batch: Batch}>(z.object({batch: batchSchema}));
/** Decodes the announcement of an accepted batch. The organisation is null for a batch of none, and undefined where a daemon of an earlier build does not tell. */
export const decodeAnnouncement = createDecoder<{readonly batchId: string; readonly owner: PeerDaemon; readonly needs: OpenedBatch; readonly organisation?: string | undefined}>(z.object({
	batchId: z.string(), owner: peerDaemonSchema, needs: openedSchema, organisation: z.string().nullable().optional(),
}));
/** Decodes a hand-over. */
export const decodeAdoption = createDecoder<{readonly batchId: string; readonly owner: PeerDaemon; readonly partials: readonly PartialText[]}>(z.object({batchId: z.string(), owner: peerDaemonSchema, partials: z.array(partialSchema)}));
/** Decodes the question whether a daemon reaches the engines of a batch. */
export const decodeReachCall = createDecoder<Pick<Batch, 'host' | 'path'>>(z.object({host: z.string(), path: z.string()}));
