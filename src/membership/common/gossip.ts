/**
 * A daemon's view of the fleet and the messages to its peers, following the SWIM protocol: updates are piggybacked on exchanges
 * with a few random peers, a member is suspected before it is declared dead, and a suspected member refutes the suspicion by
 * raising its incarnation. The size of a message is bounded for any size of the fleet. The module does no I/O; time and random
 * numbers are arguments.
 */
import type {Random} from '../../base/common/random.js';
import {
	bucketOf, createBucketDigest, digestTextOfMember, digestTextOfRumor,
} from './bucket-digest.js';
import {createBroadcastQueue, transmissionsFor} from './broadcast-queue.js';
import {
	isNewerRecord, keyOfRumor, type MemberRecord, type RumorRecord,
} from './member-record.js';
import type {Member, Rumor} from './membership.js';
import {choosePeers} from './peer-choice.js';

/** The message of one exchange, the same in both directions. */
export type GossipMessage = {
	readonly sender: MemberRecord;
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
	readonly digests: readonly number[];
};

/** One page of a bucket; `more` says whether another page follows. */
export type BucketPage = {
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
	readonly more: boolean;
};

/** Records that changed because of a message, a page or an expiry. */
export type GossipChanges = {
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
};

/** Settings and dependencies of a daemon's gossip. */
export type GossipOptions = {
	readonly self: Member;
	/** Time within which a suspected member must refute the suspicion. */
	readonly suspicionMs: number;
	readonly isSameRegion: (member: Member) => boolean;
	readonly random: Random;
};

/** The gossip state of one daemon. */
export type Gossip = {
	readonly self: () => MemberRecord;
	readonly find: (id: string) => MemberRecord | undefined;
	/** All records, including those of dead members. */
	readonly records: () => readonly MemberRecord[];
	readonly rumors: (topic: string) => readonly RumorRecord[];
	readonly peers: (count: number, excluded: readonly string[]) => readonly MemberRecord[];
	readonly compose: () => GossipMessage;
	readonly receive: (message: GossipMessage, now: number) => GossipChanges;
	/** Applies a page that was pulled from a peer. */
	readonly merge: (page: Omit<BucketPage, 'more'>, now: number) => GossipChanges;
	readonly page: (bucket: number, page: number) => BucketPage;
	/** Returns a bucket that differed in several successive messages and resets its count; undefined if there is none. */
	readonly takeStaleBucket: () => number | undefined;
	/** Records that a member responded neither to this daemon nor to the members that probed it on this daemon's behalf. */
	readonly suspect: (id: string, incarnation: number, now: number) => GossipChanges;
	/** Declares members dead that did not refute a suspicion in time, and removes records of members dead for `TOMBSTONE_TTL_MS`. */
	readonly expire: (now: number) => GossipChanges;
	/** Restarts the timeouts of all suspicions, after this daemon itself was paused. */
	readonly restartSuspicions: (now: number) => void;
	readonly leave: () => GossipChanges;
	/** Spreads a rumor; false when the same or a higher version is already known. */
	readonly spread: (rumor: RumorRecord) => boolean;
};

/** Maximum members in one message, apart from the sender. */
const MEMBERS_PER_MESSAGE = 6;

/** Maximum rumors in one message. */
const RUMORS_PER_MESSAGE = 6;

/** Maximum characters of all rumor values in one message; the first rumor is always included. */
const RUMOR_CHARACTERS_PER_MESSAGE = 600;

/** Maximum members, and maximum rumors, in one page of a bucket. */
const ENTRIES_PER_PAGE = 32;

/** Number of successive messages in which a bucket must differ before it is pulled. */
const STALE_AFTER_MESSAGES = 3;

/** Time for which the record of a dead member is kept, so that older records do not add the member again. */
const TOMBSTONE_TTL_MS = 60_000;

const noChanges: GossipChanges = {members: [], rumors: []};

/** Creates the gossip state of a daemon that knows only itself. */
export function createGossip(options: GossipOptions): Gossip {
	const records = new Map<string, MemberRecord>();
	const changedAtById = new Map<string, number>();
	const rumors = new Map<string, RumorRecord>();
	const memberQueue = createBroadcastQueue();
	const rumorQueue = createBroadcastQueue();
	const digest = createBucketDigest();
	const differingMessagesByBucket = new Map<number, number>();
	const selfId = options.self.id;

	function storeRecord(record: MemberRecord, now: number): void {
		records.set(record.id, record);
		changedAtById.set(record.id, now);
		digest.set(record.id, digestTextOfMember(record));
		memberQueue.add(record.id);
	}

	function removeRecord(id: string): void {
		records.delete(id);
		changedAtById.delete(id);
		digest.set(id, undefined);
		memberQueue.remove(id);
	}

	function self(): MemberRecord {
		return records.get(selfId) ?? options.self;
	}

	/** Refutes a record that gives this daemon a worse state or a higher incarnation than its own, by raising the incarnation. */
	function refute(report: MemberRecord, now: number): readonly MemberRecord[] {
		if (!isNewerRecord(report, self())) {
			return [];
		}

		storeRecord({...self(), incarnation: report.incarnation + 1}, now);
		return [self()];
	}

	function applyRecord(report: MemberRecord, now: number): readonly MemberRecord[] {
		if (report.id === selfId) {
			return refute(report, now);
		}

		const known = records.get(report.id);
		if (isNewerRecord(report, known)) {
			storeRecord(report, now);
			return [report];
		}

		// The peer's record is outdated, so the newer one is sent again.
		if (known && isNewerRecord(known, report)) {
			memberQueue.add(known.id);
		}

		return [];
	}

	function applyRumor(rumor: RumorRecord): readonly RumorRecord[] {
		const key = keyOfRumor(rumor);
		const known = rumors.get(key);
		if (known && known.version >= rumor.version) {
			return [];
		}

		rumors.set(key, rumor);
		digest.set(key, digestTextOfRumor(rumor));
		rumorQueue.add(key);
		return [rumor];
	}

	function merge(page: Omit<BucketPage, 'more'>, now: number): GossipChanges {
		return {
			members: page.members.flatMap(record => applyRecord(record, now)),
			rumors: page.rumors.flatMap(rumor => applyRumor(rumor)),
		};
	}

	function recordDifferences(peerDigests: readonly number[]): void {
		digest.read().forEach((own, bucket) => {
			const differs = peerDigests.length > 0 && peerDigests[bucket] !== own;
			differingMessagesByBucket.set(bucket, differs ? (differingMessagesByBucket.get(bucket) ?? 0) + 1 : 0);
		});
	}

	function composeRumors(transmissions: number): readonly RumorRecord[] {
		let characters = 0;
		return rumorQueue.take(RUMORS_PER_MESSAGE, transmissions)
			.flatMap(key => rumors.get(key) ?? [])
			.filter((rumor, index) => {
				characters += rumor.value.length;
				const fits = index === 0 || characters <= RUMOR_CHARACTERS_PER_MESSAGE;
				if (!fits) {
					rumorQueue.add(keyOfRumor(rumor));
				}

				return fits;
			});
	}

	function declareDead(record: MemberRecord, now: number): MemberRecord {
		const dead: MemberRecord = {...record, state: 'dead'};
		storeRecord(dead, now);
		return dead;
	}

	function ageOf(record: MemberRecord, now: number): number {
		return now - (changedAtById.get(record.id) ?? now);
	}

	storeRecord(options.self, 0);

	return {
		self,
		find: id => records.get(id),
		records: () => [...records.values()],
		rumors: topic => [...rumors.values()].filter(rumor => rumor.topic === topic),
		peers(count, excluded) {
			const candidates = [...records.values()].filter(record => record.state !== 'dead' && record.id !== selfId && !excluded.includes(record.id));
			return choosePeers(candidates, options.isSameRegion, count, options.random);
		},
		compose() {
			const transmissions = transmissionsFor(records.size);
			return {
				sender: self(),
				members: memberQueue.take(MEMBERS_PER_MESSAGE, transmissions).flatMap(id => records.get(id) ?? []),
				rumors: composeRumors(transmissions),
				digests: digest.read(),
			};
		},
		receive(message, now) {
			const changes = merge({members: [message.sender, ...message.members], rumors: message.rumors}, now);
			recordDifferences(message.digests);
			return changes;
		},
		merge,
		page(bucket, page) {
			const ownRecords = [...records.values()].filter(record => bucketOf(record.id) === bucket);
			const ownRumors = [...rumors.values()].filter(rumor => bucketOf(keyOfRumor(rumor)) === bucket);
			const from = page * ENTRIES_PER_PAGE;
			const to = from + ENTRIES_PER_PAGE;
			return {
				members: ownRecords.slice(from, to),
				rumors: ownRumors.slice(from, to),
				more: Math.max(ownRecords.length, ownRumors.length) > to,
			};
		},
		takeStaleBucket() {
			const stale = [...differingMessagesByBucket].find(([, count]) => count >= STALE_AFTER_MESSAGES)?.[0];
			if (stale !== undefined) {
				differingMessagesByBucket.set(stale, 0);
			}

			return stale;
		},
		suspect(id, incarnation, now) {
			const known = records.get(id);
			if (known?.incarnation !== incarnation || known.state === 'suspect' || known.state === 'dead') {
				return noChanges;
			}

			const suspected: MemberRecord = {...known, state: 'suspect'};
			storeRecord(suspected, now);
			return {members: [suspected], rumors: []};
		},
		expire(now) {
			const known = [...records.values()];
			known
				.filter(record => record.state === 'dead' && ageOf(record, now) >= TOMBSTONE_TTL_MS)
				.forEach(record => {
					removeRecord(record.id);
				});
			const expired = known.filter(record => record.state === 'suspect' && ageOf(record, now) >= options.suspicionMs);
			return {members: expired.map(record => declareDead(record, now)), rumors: []};
		},
		restartSuspicions(now) {
			[...records.values()]
				.filter(record => record.state === 'suspect')
				.forEach(record => {
					changedAtById.set(record.id, now);
				});
		},
		leave() {
			if (self().state === 'leaving') {
				return noChanges;
			}

			const leaving: MemberRecord = {...self(), incarnation: self().incarnation + 1, state: 'leaving'};
			storeRecord(leaving, 0);
			return {members: [leaving], rumors: []};
		},
		spread: (rumor: Rumor) => applyRumor(rumor).length > 0,
	};
}
