/** The lease on orders as the store holds it, and what its holder says of it to other daemons. */
import {z} from 'zod';
import type {ApiObject} from '../../adapters/common/object-api.js';
import {createDecoder, decodePeerDaemon, peerDaemonSchema} from '../../peers/common/decode-call.js';
import type {PeerDaemon} from '../../peers/common/peer-mesh.js';

/** The stored lease. Earlier builds write only `holder` and `renewals`. */
export type LeaseRecord = {
	/** Undefined after a release. */
	readonly holder?: PeerDaemon;
	readonly renewals: number;
	/** Time after a renewal at which this holder's lease lapses, in milliseconds. */
	readonly lapseMs?: number;
	/** Names of the daemons that held the lease before, the last one first. */
	readonly earlierHolders?: readonly string[];
};

/** What a daemon replies when it is asked whether it holds the lease. */
export type LeaseReply = {
	readonly incarnation: string;
	readonly holds: boolean;
	/** The holder that this daemon knows of. */
	readonly holder?: PeerDaemon;
	/** Revision of the last renewal, the time since it was sent, and the lapse time, in milliseconds; earlier builds do not say. */
	readonly revision?: number;
	readonly renewedMsAgo?: number;
	readonly lapseMs?: number;
};

const decodeRecord = createDecoder<LeaseRecord>(z.object({
	holder: z.unknown().optional(), renewals: z.number(), lapseMs: z.number().positive().optional(), earlierHolders: z.array(z.string()).optional(),
}));

/** Decodes what a daemon replied. */
export const decodeLeaseReply = createDecoder<LeaseReply>(z.object({
	incarnation: z.string(), holds: z.boolean(), holder: peerDaemonSchema.optional(), revision: z.number().optional(), renewedMsAgo: z.number().nonnegative().optional(), lapseMs: z.number().positive().optional(),
}));

/** Reads the stored lease; undefined if it can not be decoded, so that it is not taken for released. */
export function readLeaseRecord({spec}: ApiObject): LeaseRecord | undefined {
	const record = decodeRecord(spec);
	return record === undefined || (record.holder !== undefined && decodePeerDaemon(record.holder) === undefined) ? undefined : record;
}
