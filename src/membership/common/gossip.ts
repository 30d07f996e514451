/**
 * Decides what a daemon believes of the fleet and what it tells its peers, after SWIM: updates ride on exchanges with
 * a few random peers, a suspicion comes before a death, and a suspected member refutes by raising its incarnation. The
 * bytes of a message are bounded whatever the size of the fleet. Does no I/O; time and chance are arguments.
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

/** What two daemons tell each other in one exchange, in either direction. */
export type GossipMessage = {
	readonly sender: MemberRecord;
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
	readonly digests: readonly number[];
};

/** Part of a bucket. */
export type BucketPage = {
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
	readonly more: boolean;
};

/** What a message, a page or the passing of time has changed. */
export type GossipChanges = {
	readonly members: readonly MemberRecord[];
	readonly rumors: readonly RumorRecord[];
};

/** Limits and times of a gossip. */
export type GossipOptions = {
	readonly self: Member;
	/** Time that a suspected member has for its refutation. */
	readonly suspicionMs: number;
	readonly isNear: (member: Member) => boolean;
	readonly random: Random;
};

/** The gossip of one daemon. */
export type Gossip = {
	readonly self: () => MemberRecord;
	readonly find: (id: string) => MemberRecord | undefined;
	/** All records, the dead included. */
	readonly records: () => readonly MemberRecord[];
	readonly rumors: (topic: string) => readonly RumorRecord[];
	readonly peers: (count: number, excluded: readonly string[]) => readonly MemberRecord[];
	readonly compose: () => GossipMessage;
	readonly receive: (message: GossipMessage, now: number) => GossipChanges;
	/** Takes over a page that was pulled from a peer. */
	readonly merge: (page: Omit<BucketPage, 'more'>, now: number) => GossipChanges;
	readonly page: (bucket: number, page: number) => BucketPage;
	/** A bucket that has differed from the peers' for several messages. */
	readonly takeStaleBucket: () => number | undefined;
	/** Notes that a member answered neither to this daemon nor to others on its behalf. */
	readonly suspect: (id: string, incarnation: number, now: number) => GossipChanges;
	/** Declares members dead whose suspicion was not refuted in time, and forgets those long dead. */
	readonly expire: (now: number) => GossipChanges;
	/** Starts all suspicions anew, after this daemon itself was paused. */
	readonly restartSuspicions: (now: number) => void;
	readonly leave: () => GossipChanges;
	/** Spreads a rumor; false when a version as high is known already. */
	readonly spread: (rumor: RumorRecord) => boolean;
};

/** Members in one message, apart from the sender. */
const MEMBERS_PER_MESSAGE = 6;

/** Rumors in one message. */
const RUMORS_PER_MESSAGE = 6;

/** Characters of rumor values in one message; the first rumor always fits. */
const RUMOR_CHARACTERS_PER_MESSAGE = 600;

/** Entries in one page of a bucket. */
const ENTRIES_PER_PAGE = 32;

/** Messages in a row in which a bucket must differ before it is pulled. */
const STALE_AFTER_MESSAGES = 3;

/** Time for which a dead member is remembered, so that old reports do not bring it back. */
const TOMBSTONE_MS = 60_000;

const noChanges: GossipChanges = {members: [], rumors: []};

/** Creates the gossip of one daemon that knows only itself. */
export function createGossip(options: GossipOptions): Gossip {
	const records = new Map<string, MemberRecord>();
	const changedAt = new Map<string, number>();
	const rumors = new Map<string, RumorRecord>();
	const memberQueue = createBroadcastQueue();
	const rumorQueue = createBroadcastQueue();
	const digest = createBucketDigest();
	const differences = new Map<number, number>();
	const selfId = options.self.id;

	function store(record: MemberRecord, now: number): void {
		records.set(record.id, record);
		changedAt.set(record.id, now);
		digest.set(record.id, digestTextOfMember(record));
		memberQueue.add(record.id);
	}

	function forget(id: string): void {
		records.delete(id);
		changedAt.delete(id);
		digest.set(id, undefined);
		memberQueue.remove(id);
	}

	function self(): MemberRecord {
		return records.get(selfId) ?? options.self;
	}

	/** Refutes a report that holds this daemon for worse than it is, or for a later start than this one. */
	function refute(report: MemberRecord, now: number): readonly MemberRecord[] {
		if (!isNewerRecord(report, self())) {
			return [];
		}

		store({...self(), incarnation: report.incarnation + 1}, now);
		return [self()];
	}

	function takeRecord(report: MemberRecord, now: number): readonly MemberRecord[] {
		if (report.id === selfId) {
			return refute(report, now);
		}

		const known = records.get(report.id);
		if (isNewerRecord(report, known)) {
			store(report, now);
			return [report];
		}

		// The peer is behind: tell it and others again.
		if (known && isNewerRecord(known, report)) {
			memberQueue.add(known.id);
		}

		return [];
	}

	function takeRumor(rumor: RumorRecord): readonly RumorRecord[] {
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
			members: page.members.flatMap(record => takeRecord(record, now)),
			rumors: page.rumors.flatMap(rumor => takeRumor(rumor)),
		};
	}

	function noteDifferences(theirs: readonly number[]): void {
		digest.read().forEach((own, bucket) => {
			const differs = theirs.length > 0 && theirs[bucket] !== own;
			differences.set(bucket, differs ? (differences.get(bucket) ?? 0) + 1 : 0);
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
		store(dead, now);
		return dead;
	}

	function ageOf(record: MemberRecord, now: number): number {
		return now - (changedAt.get(record.id) ?? now);
	}

	store(options.self, 0);

	return {
		self,
		find: id => records.get(id),
		records: () => [...records.values()],
		rumors: topic => [...rumors.values()].filter(rumor => rumor.topic === topic),
		peers(count, excluded) {
			const candidates = [...records.values()].filter(record => record.state !== 'dead' && record.id !== selfId && !excluded.includes(record.id));
			return choosePeers(candidates, options.isNear, count, options.random);
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
			noteDifferences(message.digests);
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
			const stale = [...differences].find(([, count]) => count >= STALE_AFTER_MESSAGES)?.[0];
			if (stale !== undefined) {
				differences.set(stale, 0);
			}

			return stale;
		},
		suspect(id, incarnation, now) {
			const known = records.get(id);
			if (known?.incarnation !== incarnation || known.state === 'suspect' || known.state === 'dead') {
				return noChanges;
			}

			const suspected: MemberRecord = {...known, state: 'suspect'};
			store(suspected, now);
			return {members: [suspected], rumors: []};
		},
		expire(now) {
			const known = [...records.values()];
			known
				.filter(record => record.state === 'dead' && ageOf(record, now) >= TOMBSTONE_MS)
				.forEach(record => {
					forget(record.id);
				});
			const expired = known.filter(record => record.state === 'suspect' && ageOf(record, now) >= options.suspicionMs);
			return {members: expired.map(record => declareDead(record, now)), rumors: []};
		},
		restartSuspicions(now) {
			[...records.values()]
				.filter(record => record.state === 'suspect')
				.forEach(record => {
					changedAt.set(record.id, now);
				});
		},
		leave() {
			if (self().state === 'leaving') {
				return noChanges;
			}

			const leaving: MemberRecord = {...self(), incarnation: self().incarnation + 1, state: 'leaving'};
			store(leaving, 0);
			return {members: [leaving], rumors: []};
		},
		spread: (rumor: Rumor) => takeRumor(rumor).length > 0,
	};
}
