/** Runs gossip on the daemon's loop: exchanges, probes through third daemons, pulls of buckets, and first contacts. */
import {err, ok} from 'neverthrow';
import type {Clock} from '../../base/common/clock.js';
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, formatFailure} from '../../base/common/failure.js';
import type {Random} from '../../base/common/random.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerAddress} from '../../peers/common/peers.js';
import {BUCKET_COUNT} from './bucket-digest.js';
import {createGossip, type GossipChanges} from './gossip.js';
import type {GossipLink, GossipReceiver} from './gossip-link.js';
import {OLDEST_PROTOCOL_VERSION, type MemberRecord} from './member-record.js';
import type {HeardRumor, Member, Membership} from './membership.js';

/** What membership runs on. */
export type MembershipOptions = {
	readonly self: Member;
	readonly periodMs: number;
	readonly fanout: number;
	/** Time for a direct and an indirect probe together. */
	readonly suspectAfterMs: number;
	/** Time from the first unanswered probe to the death of a member that does not refute. */
	readonly deadAfterMs: number;
	readonly isNear: (member: Member) => boolean;
	/** Periods that may pass between two rounds before this daemon counts itself as having been paused; 4 unless given. */
	readonly pausePeriods?: number;
	/** Addresses from settings, from the VM list and from a snapshot, contacted while no live member has them. */
	readonly candidates: () => readonly PeerAddress[];
	readonly link: GossipLink;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Membership with its receiving side. */
export type MembershipService = Membership & Disposable & {
	readonly receiver: GossipReceiver;
	/** Learns the whole fleet from candidates, without telling of this daemon yet; false when none answers. */
	readonly learnFleet: () => Promise<boolean>;
	/** Starts the rounds, once this daemon listens. */
	readonly open: () => void;
};

/** Helpers asked to contact a member that did not answer. */
const PROBE_HELPERS = 2;

const PAUSE_PERIODS = 4;

/** Time between two pulls of differing buckets. */
const PULL_INTERVAL_MS = 2000;

/** Time between two contacts of candidates that are not live members. */
const CONTACT_INTERVAL_MS = 2000;

/** Extra rounds for new rumors: how many may follow at once, and how often another one is allowed. */
const EXTRA_ROUNDS = 2;
const EXTRA_ROUND_INTERVAL_MS = 2000;

/** Candidates asked at once by a starting daemon. */
const FIRST_CANDIDATES = 3;

/** Creates the membership of one daemon and starts its rounds. */
export function createMembershipService(options: MembershipOptions): MembershipService {
	const {link, loop, clock, random, log} = options;
	const gossip = createGossip({
		self: options.self, suspicionMs: options.deadAfterMs - options.suspectAfterMs, isNear: options.isNear, random,
	});
	const changed = createEmitter<readonly Member[]>();
	const heard = createEmitter<HeardRumor>();
	let lastRoundAt = clock.monotonic();
	let lastPullAt = Number.NEGATIVE_INFINITY;
	let pauses = 0;
	let extraRounds = EXTRA_ROUNDS;
	let tasks: Disposable | undefined;

	function members(): readonly Member[] {
		return gossip.records().filter(record => record.state !== 'dead');
	}

	function report(changes: GossipChanges, via?: string): void {
		if (changes.members.length > 0) {
			changed.fire(members());
		}

		changes.rumors.forEach(rumor => {
			heard.fire({...rumor, ...(via !== undefined && {via})});
		});
		if (changes.rumors.length > 0) {
			runExtraRound();
		}
	}

	/** Passes new rumors on at once, a bounded number of times. */
	function runExtraRound(): void {
		if (tasks && extraRounds > 0) {
			extraRounds -= 1;
			runExchanges();
		}
	}

	async function isReachedByOthers(member: MemberRecord): Promise<boolean> {
		const helpers = gossip.peers(PROBE_HELPERS, [member.id]);
		const answers = await Promise.all(helpers.map(async helper => link.probe(helper, member)));
		return answers.some(answer => answer.unwrapOr(false));
	}

	async function exchangeWith(peer: PeerAddress): Promise<boolean> {
		const answer = await link.exchange(peer, gossip.compose());
		if (answer.isErr()) {
			log.debug('gossip failed', {failure: formatFailure(answer.error)});
			return false;
		}

		report(gossip.receive(answer.value, clock.monotonic()), answer.value.sender.id);
		pullStaleBucket(peer);
		return true;
	}

	async function checkMember(member: MemberRecord): Promise<void> {
		const pausesBefore = pauses;
		if (await exchangeWith(member) || await isReachedByOthers(member) || pauses !== pausesBefore) {
			return;
		}

		report(gossip.suspect(member.id, member.incarnation, clock.monotonic()));
	}

	function runExchanges(): void {
		gossip.peers(options.fanout, []).forEach(member => {
			void checkMember(member);
		});
	}

	async function pullBucket(peer: PeerAddress, bucket: number, page: number): Promise<boolean> {
		const pulled = await link.pull(peer, bucket, page);
		if (pulled.isErr()) {
			return false;
		}

		report(gossip.merge(pulled.value, clock.monotonic()));
		return pulled.value.more ? pullBucket(peer, bucket, page + 1) : true;
	}

	/** Pulls a bucket that differs, from a peer that has just answered. */
	function pullStaleBucket(peer: PeerAddress): void {
		const now = clock.monotonic();
		const bucket = now - lastPullAt >= PULL_INTERVAL_MS ? gossip.takeStaleBucket() : undefined;
		if (bucket !== undefined) {
			lastPullAt = now;
			void pullBucket(peer, bucket, 0);
		}
	}

	function noteRound(now: number): void {
		if (now - lastRoundAt > (options.pausePeriods ?? PAUSE_PERIODS) * options.periodMs) {
			pauses += 1;
			gossip.restartSuspicions(now);
		}

		lastRoundAt = now;
	}

	function openCandidates(): readonly PeerAddress[] {
		const live = new Set(members().map(member => `${member.address} ${member.peerPort}`));
		return options.candidates().filter(candidate => !live.has(`${candidate.address} ${candidate.peerPort}`));
	}

	function contactCandidate(): void {
		const open = openCandidates();
		const candidate = open[Math.floor(random() * open.length)];
		if (candidate) {
			void exchangeWith(candidate);
		}
	}

	async function learnFrom(peer: PeerAddress): Promise<boolean> {
		const buckets = Array.from({length: BUCKET_COUNT}, (_, bucket) => bucket);
		return buckets.reduce(async (previous, bucket) => await previous && pullBucket(peer, bucket, 0), Promise.resolve(true));
	}

	function startTasks(): Disposable {
		return joinDisposables([
			loop.every({
				name: 'gossip',
				periodMs: options.periodMs,
				jitterShare: 0.1,
				run(now) {
					noteRound(now);
					report(gossip.expire(now));
					runExchanges();
				},
			}),
			loop.every({
				name: 'contact candidates', periodMs: CONTACT_INTERVAL_MS, jitterShare: 0.3, run: contactCandidate,
			}),
			loop.every({
				name: 'allow extra rounds',
				periodMs: EXTRA_ROUND_INTERVAL_MS,
				run() {
					extraRounds = Math.min(EXTRA_ROUNDS, extraRounds + 1);
				},
			}),
		]);
	}

	return {
		self: () => gossip.self(),
		members,
		find: id => gossip.find(id),
		onDidChange: changed.event,
		onDidHear: heard.event,
		leave() {
			report(gossip.leave());
			runExchanges();
		},
		spread(rumor) {
			if (gossip.spread(rumor)) {
				runExtraRound();
			}
		},
		rumors: topic => gossip.rumors(topic),
		receiver: {
			exchange(message) {
				const {sender} = message;
				if (sender.protocol < OLDEST_PROTOCOL_VERSION) {
					const origin = {step: 'exchange gossip', peer: sender.id};
					return err(createNotRun('unsupported', origin, `protocol ${sender.protocol} is older than ${OLDEST_PROTOCOL_VERSION}, the oldest understood here`));
				}

				report(gossip.receive(message, clock.monotonic()), sender.id);
				return ok(gossip.compose());
			},
			async probe(peer) {
				return exchangeWith(peer);
			},
			pull: (bucket, page) => gossip.page(bucket, page),
		},
		async learnFleet() {
			const attempts = await Promise.all(openCandidates().slice(0, FIRST_CANDIDATES).map(async candidate => learnFrom(candidate)));
			return attempts.some(Boolean);
		},
		open() {
			lastRoundAt = clock.monotonic();
			tasks ??= startTasks();
			openCandidates().slice(0, FIRST_CANDIDATES).forEach(candidate => {
				void exchangeWith(candidate);
			});
			runExchanges();
		},
		dispose() {
			tasks?.dispose();
		},
	};
}
