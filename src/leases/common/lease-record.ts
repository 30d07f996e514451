/** The stored form of a lease: one object of kind `lease` per shard. */
import {z} from 'zod';
import type {StoredObject} from '../../adapters/common/store.js';

const leaseRecord = z.looseObject({
	daemonId: z.string(),
	incarnation: z.number(),
	address: z.string(),
	peerPort: z.number(),
	/** How long after a renewal the holder may act, before its own margin. */
	durationMs: z.number(),
	/** Whether the holder has given the lease up. */
	released: z.boolean(),
	/** Version of the object at acquisition; absent until the first renewal, when the object's own version is meant. */
	fencing: z.number().optional(),
});

/** A lease as stored. Fields that a newer version has added are kept. */
export type LeaseRecord = Readonly<z.output<typeof leaseRecord>>;

/** A lease as read: version 0 and no record when the object does not exist. */
export type LeaseSnapshot = {
	readonly version: number;
	readonly record: LeaseRecord | undefined;
	/** Sequence of the write that made this version, if this daemon wrote it. */
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

/** Reads a lease; a value that is not a lease record counts as one without a holder. */
export function readLease(object: StoredObject | undefined, writer: string): LeaseSnapshot {
	if (object === undefined) {
		return {version: 0, record: undefined, ownSequence: undefined};
	}

	return {
		version: object.version,
		record: leaseRecord.safeParse(parseJson(object.value)).data,
		ownSequence: object.writeId.writer === writer ? object.writeId.sequence : undefined,
	};
}
