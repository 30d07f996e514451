/** The stored form of a lease: one object of kind `lease` per shard. */
import {z} from 'zod';
import type {StoredObject} from '../../adapters/common/store.js';

const leaseRecordSchema = z.looseObject({
	daemonId: z.string(),
	incarnation: z.number(),
	address: z.string(),
	peerPort: z.number(),
	/** Duration of the lease after a renewal, in milliseconds, without the holder's margin. */
	durationMs: z.number(),
	/** Whether the holder has released the lease. */
	released: z.boolean(),
	/** Version of the object at acquisition. Absent until the first renewal; until then the object's own version is the fencing number. */
	fencing: z.number().optional(),
});

/** A lease as stored. Unknown fields, which a newer release of the daemon may have added, are kept. */
export type LeaseRecord = Readonly<z.output<typeof leaseRecordSchema>>;

/** A lease as read: version 0 and no record when the object does not exist. */
export type LeaseSnapshot = {
	readonly version: number;
	readonly record: LeaseRecord | undefined;
	/** Sequence of the write that created this version, if this daemon wrote it. */
	readonly ownSequence: string | undefined;
};

/** Returns the name of a shard's lease object. */
export function leaseNameOf(shard: number): string {
	return `shard-${shard}`;
}

/** Returns the shard of a lease object, or undefined for another object. */
export function shardOfLeaseName(name: string): number | undefined {
	const digits = /^shard-(\d+)$/.exec(name)?.[1];
	return digits === undefined ? undefined : Number(digits);
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/** Parses a lease object; a value that is not a lease record counts as a lease without a holder. */
export function readLease(object: StoredObject | undefined, writer: string): LeaseSnapshot {
	if (object === undefined) {
		return {version: 0, record: undefined, ownSequence: undefined};
	}

	return {
		version: object.version,
		record: leaseRecordSchema.safeParse(parseJson(object.value)).data,
		ownSequence: object.writeId.writer === writer ? object.writeId.sequence : undefined,
	};
}
