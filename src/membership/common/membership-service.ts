/** Runs gossip on the daemon's loop: exchanges, probes through third daemons, pulls of buckets and contacts of candidates. */
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
import type {GossipTransport, GossipReceiver} from './gossip-transport.js';
import {OLDEST_PROTOCOL_VERSION, type MemberRecord} from './member-record.js';
import type {ReceivedRumor, Member, Membership} from './membership.js';

/** Settings and dependencies of the membership. */
export type MembershipOptions = {
	readonly self: Member;
	readonly periodMs: number;
	readonly fanout: number;
	/** Time limit of a direct and an indirect probe together. */
	readonly suspectAfterMs: number;
	/** Time from the first unanswered probe until a member that does not refute the suspicion is declared dead. */
	readonly deadAfterMs: number;
	readonly isSameRegion: (member: Member) => boolean;
	/** Number of periods between two rounds above which this daemon assumes that it was paused itself; 4 by default. */
	readonly pausePeriods?: number;
	/** Addresses from the settings, the VM list and the snapshot. Each is contacted as long as no live member has it. */
	readonly candidates: () => readonly PeerAddress[];
	readonly transport: GossipTransport;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** The membership with the side that receives calls from peers. */
export type MembershipService = Membership & Disposable & {
	readonly receiver: GossipReceiver;
	/** Pulls all records from candidates, without announcing this daemon yet; false when no candidate responds. */
	readonly fetchFleet: () => Promise<boolean>;
	/** Starts the periodic rounds. Call it when this daemon listens. */
	readonly startRounds: () => void;
};

/** Number of other members that are asked to probe a member that did not respond. */
const PROBE_HELPER_COUNT = 2;

const DEFAULT_PAUSE_PERIODS = 4;

/** Minimum time between two pulls of buckets that differ. */
const PULL_INTERVAL_MS = 2000;

/** Time between two contacts of candidates whose address no live member has. */
const CONTACT_INTERVAL_MS = 2000;

/** Limits of the extra rounds for new rumors: the maximum number in a burst, and the interval after which one more is allowed. */
const MAXIMUM_EXTRA_ROUNDS = 2;
const EXTRA_ROUND_INTERVAL_MS = 2000;

/** Number of candidates that a starting daemon contacts in parallel. */
const STARTUP_CANDIDATE_COUNT = 3;

/** Creates the membership of one daemon without starting its rounds. */
export function createMembershipService(options: MembershipOptions): MembershipService {
	const {transport, loop, clock, random, log} = options;
	const gossip = createGossip({
		self: options.self, suspicionMs: options.deadAfterMs - options.suspectAfterMs, isSameRegion: options.isSameRegion, random,
	});
	const membersChanged = createEmitter<readonly Member[]>();
	const rumorReceived = createEmitter<ReceivedRumor>();
	let lastRoundAt = clock.monotonic();
	let lastPullAt = Number.NEGATIVE_INFINITY;
	let pauses = 0;
	let extraRoundsLeft = MAXIMUM_EXTRA_ROUNDS;
	let tasks: Disposable | undefined;

	function members(): readonly Member[] {
		return gossip.records().filter(record => record.state !== 'dead');
	}

	function publishChanges(changes: GossipChanges, via?: string): void {
		if (changes.members.length > 0) {
			membersChanged.fire(members());
		}

		changes.rumors.forEach(rumor => {
			rumorReceived.fire({...rumor, ...(via !== undefined && {via})});
		});
		if (changes.rumors.length > 0) {
			runExtraRound();
		}
	}

	/** Forwards new rumors without waiting for the next round, as long as `extraRoundsLeft` allows. */
	function runExtraRound(): void {
		if (tasks && extraRoundsLeft > 0) {
			extraRoundsLeft -= 1;
			runExchanges();
		}
	}

	async function isReachableFromOthers(member: MemberRecord): Promise<boolean> {
		const helpers = gossip.peers(PROBE_HELPER_COUNT, [member.id]);
		const probes = await Promise.all(helpers.map(async helper => transport.probe(helper, member)));
		return probes.some(probe => probe.unwrapOr(false));
	}

	async function exchangeWith(peer: PeerAddress): Promise<boolean> {
		const response = await transport.exchange(peer, gossip.compose());
		if (response.isErr()) {
			log.debug('gossip exchange failed', {failure: formatFailure(response.error)});
			return false;
		}

		publishChanges(gossip.receive(response.value, clock.monotonic()), response.value.sender.id);
		pullStaleBucket(peer);
		return true;
	}

	async function checkMember(member: MemberRecord): Promise<void> {
		const pausesBefore = pauses;
		if (await exchangeWith(member) || await isReachableFromOthers(member) || pauses !== pausesBefore) {
			return;
		}

		publishChanges(gossip.suspect(member.id, member.incarnation, clock.monotonic()));
	}

	function runExchanges(): void {
		gossip.peers(options.fanout, []).forEach(member => {
			void checkMember(member);
		});
	}

	async function pullBucket(peer: PeerAddress, bucket: number, page: number): Promise<boolean> {
		const pulled = await transport.pull(peer, bucket, page);
		if (pulled.isErr()) {
			return false;
		}

		publishChanges(gossip.merge(pulled.value, clock.monotonic()));
		return pulled.value.more ? pullBucket(peer, bucket, page + 1) : true;
	}

	/** Pulls a differing bucket from a peer that has just responded, at most once per `PULL_INTERVAL_MS`. */
	function pullStaleBucket(peer: PeerAddress): void {
		const now = clock.monotonic();
		const bucket = now - lastPullAt >= PULL_INTERVAL_MS ? gossip.takeStaleBucket() : undefined;
		if (bucket !== undefined) {
			lastPullAt = now;
			void pullBucket(peer, bucket, 0);
		}
	}

	/** Records the time of a round. After a pause of this daemon, restarts all suspicions, because refutations could not arrive meanwhile. */
	function recordRound(now: number): void {
		if (now - lastRoundAt > (options.pausePeriods ?? DEFAULT_PAUSE_PERIODS) * options.periodMs) {
			pauses += 1;
			gossip.restartSuspicions(now);
		}

		lastRoundAt = now;
	}

	/** Lists the candidates whose address no live member has. */
	function listUnknownCandidates(): readonly PeerAddress[] {
		const live = new Set(members().map(member => `${member.address} ${member.peerPort}`));
		return options.candidates().filter(candidate => !live.has(`${candidate.address} ${candidate.peerPort}`));
	}

	function contactCandidate(): void {
		const unknown = listUnknownCandidates();
		const candidate = unknown[Math.floor(random() * unknown.length)];
		if (candidate) {
			void exchangeWith(candidate);
		}
	}

	async function pullAllBuckets(peer: PeerAddress): Promise<boolean> {
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
					recordRound(now);
					publishChanges(gossip.expire(now));
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
					extraRoundsLeft = Math.min(MAXIMUM_EXTRA_ROUNDS, extraRoundsLeft + 1);
				},
			}),
		]);
	}

	return {
		self: () => gossip.self(),
		members,
		find: id => gossip.find(id),
		onDidChange: membersChanged.event,
		onDidReceiveRumor: rumorReceived.event,
		leave() {
			publishChanges(gossip.leave());
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
					return err(createNotRun('unsupported', origin, `protocol ${sender.protocol} is older than ${OLDEST_PROTOCOL_VERSION}, the oldest supported version`));
				}

				publishChanges(gossip.receive(message, clock.monotonic()), sender.id);
				return ok(gossip.compose());
			},
			async probe(peer) {
				return exchangeWith(peer);
			},
			pull: (bucket, page) => gossip.page(bucket, page),
		},
		async fetchFleet() {
			const attempts = await Promise.all(listUnknownCandidates().slice(0, STARTUP_CANDIDATE_COUNT).map(async candidate => pullAllBuckets(candidate)));
			return attempts.some(Boolean);
		},
		startRounds() {
			lastRoundAt = clock.monotonic();
			tasks ??= startTasks();
			listUnknownCandidates().slice(0, STARTUP_CANDIDATE_COUNT).forEach(candidate => {
				void exchangeWith(candidate);
			});
			runExchanges();
		},
		dispose() {
			tasks?.dispose();
		},
	};
}
