/** Digests over buckets of members and rumors. Two daemons compare them to find which buckets differ, without exchanging all entries. */
import {hashToUint32} from '../../base/common/hash.js';
import {keyOfRumor, type MemberRecord, type RumorRecord} from './member-record.js';

/** Number of buckets that members and rumors are divided into. */
export const BUCKET_COUNT = 16;

/** Returns the bucket of a member id or rumor key. */
export function bucketOf(key: string): number {
	return hashToUint32(key) % BUCKET_COUNT;
}

/** Digests that are updated incrementally, entry by entry. */
export type BucketDigest = {
	/** Replaces the entry of a key; an undefined text removes it. */
	readonly set: (key: string, text: string | undefined) => void;
	readonly read: () => readonly number[];
};

/** Creates the digests of empty buckets. */
export function createBucketDigest(): BucketDigest {
	const hashes = new Map<string, number>();
	const digests = new Uint32Array(BUCKET_COUNT);

	/** A digest is a sum modulo 2^32, so that an entry can be removed by subtraction; the typed array applies the modulo. */
	function add(key: string, amount: number): void {
		const bucket = bucketOf(key);
		digests[bucket] = (digests[bucket] ?? 0) + amount;
	}

	return {
		set(key, text) {
			add(key, -(hashes.get(key) ?? 0));
			hashes.delete(key);
			if (text !== undefined) {
				const hash = hashToUint32(`${key} ${text}`);
				hashes.set(key, hash);
				add(key, hash);
			}
		},
		read: () => [...digests],
	};
}

/** The text from which a member's digest is computed; undefined for dead members, because daemons remove them at different times. */
export function digestTextOfMember(record: MemberRecord): string | undefined {
	return record.state === 'dead' ? undefined : `${record.incarnation} ${record.state}`;
}

/** The text from which a rumor's digest is computed. */
export function digestTextOfRumor(rumor: RumorRecord): string {
	return `${keyOfRumor(rumor)} ${rumor.version}`;
}
