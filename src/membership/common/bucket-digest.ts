/** Digests over buckets of members and rumors, with which two daemons find out cheaply what differs between them. */
import {hashToUint32} from '../../base/common/hash.js';
import {keyOfRumor, type MemberRecord, type RumorRecord} from './member-record.js';

/** Buckets that members and rumors are divided into. */
export const BUCKET_COUNT = 16;

/** Returns the bucket of a member id or rumor key. */
export function bucketOf(key: string): number {
	return hashToUint32(key) % BUCKET_COUNT;
}

/** Digests that are kept up to date entry by entry. */
export type BucketDigest = {
	/** Replaces the entry of a key; an undefined text removes it. */
	readonly set: (key: string, text: string | undefined) => void;
	readonly read: () => readonly number[];
};

/** Creates digests over no entries. */
export function createBucketDigest(): BucketDigest {
	const hashes = new Map<string, number>();
	const digests = new Uint32Array(BUCKET_COUNT);

	/** Digests are sums modulo 2^32, which the typed array takes care of, so entries can be taken out again. */
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

/** The text of a member in its digest. The dead are left out: daemons forget them at different times. */
export function digestTextOfMember(record: MemberRecord): string | undefined {
	return record.state === 'dead' ? undefined : `${record.incarnation} ${record.state}`;
}

/** The text of a rumor in its digest. */
export function digestTextOfRumor(rumor: RumorRecord): string {
	return `${keyOfRumor(rumor)} ${rumor.version}`;
}
