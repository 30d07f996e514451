/** Runs the lease deciders of all shards on the daemon's loop, against the store. */
import {joinDisposables, type Disposable} from '../../base/common/disposable.js';
import type {Clock} from '../../base/common/clock.js';
import {createEmitter} from '../../base/common/event.js';
import {formatFailure} from '../../base/common/failure.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {Member, Membership} from '../../membership/common/membership.js';
import {writeSettled} from '../../adapters/common/settled-write.js';
import type {Store, StoredObject} from '../../adapters/common/store.js';
import {
	createLeaseDecider, type LeaseCandidate, type LeaseDecider, type LeaseRole, type LeaseTimes, type LeaseWrite,
} from './lease-decider.js';
import type {LeaseLink} from './lease-link.js';
import {leaseNameOf, readLease, shardOfLeaseName} from './lease-record.js';
import {createOwnerBeliefs, createOwnerRumor} from './owner-beliefs.js';
import {createShardPlacement} from './shard-placement.js';
import type {Holding, Shards} from './shards.js';
import {createStoreReach} from './store-reach.js';

/** What the shards of a daemon run on. */
export type ShardsOptions = {
	readonly self: LeaseCandidate;
	readonly count: number;
	readonly times: LeaseTimes;
	readonly store: Store;
	readonly link: LeaseLink;
	readonly membership: Membership;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly log: Log;
	/** Creates the decider of one shard. */
	readonly createDecider?: typeof createLeaseDecider;
	/** Creates the judgement of who reaches the store. */
	readonly createReach?: typeof createStoreReach;
};

/** Shards with the controls of their daemon. */
export type ShardsService = Shards & Disposable & {
	/** Tells whether this daemon reaches the store and would take a lease from its holder. */
	readonly prepare: (shard: number) => Promise<boolean>;
	/** Looks at a lease that was just released in favour of this daemon. */
	readonly takeOffer: (shard: number) => Promise<void>;
	/** Gives up all leases; resolves when they are released or the wait is over. */
	readonly releaseAll: () => Promise<void>;
};

/** Time between two looks at all deciders. */
const TICK_MS = 200;

/** Time for which a daemon must have been preferred before a lease is transferred to it. */
const STABLE_MS = 5000;

/** Time between two transfers by one daemon, so that a change of the fleet does not move all duties at once. */
const TRANSFER_INTERVAL_MS = 1000;

/** Reads in one tick from which on one listing replaces them. */
const LISTING_THRESHOLD = 3;

/** Renewals that must fail before a daemon says that it is cut off from the store. */
const CUT_RENEWALS = 2;

/** Rounds, one per tick, for which a leaving daemon tries to release its leases. */
const RELEASE_ROUNDS = 20;

/** Creates the shards of one daemon and starts to contend for their leases. */
export function createShardsService(options: ShardsOptions): ShardsService {
	const {self, count, membership, loop, clock, log} = options;
	const writer = `${self.daemonId}@${self.incarnation}`;
	const createDecider = options.createDecider ?? createLeaseDecider;
	const deciders: readonly LeaseDecider[] = Array.from({length: count}, () => createDecider(self, options.times));
	const placement = createShardPlacement(count);
	const reach = (options.createReach ?? createStoreReach)({membership, clock, cutAfterMs: CUT_RENEWALS * options.times.renewMs});
	const store = reach.judge(options.store);
	const beliefs = createOwnerBeliefs();
	const acquired = createEmitter<Holding>();
	const lost = createEmitter<number>();
	const reported = new Map<number, number>();
	const requestedReads = new Set<number>();
	let sequence = 0;
	let leaving = false;
	const transferring = new Set<number>();
	let transfers = 0;
	let lastTransferAt = Number.NEGATIVE_INFINITY;

	function reportChange(shard: number, now: number): void {
		const held = deciders[shard]?.held(now);
		const before = reported.get(shard);
		if (before !== undefined && before !== held?.fencing) {
			reported.delete(shard);
			lost.fire(shard);
		}

		if (held && before !== held.fencing) {
			reported.set(shard, held.fencing);
			membership.spread(createOwnerRumor(shard, held.fencing, self));
			acquired.fire({shard, ...held});
		}
	}

	function takeObject(shard: number, object: StoredObject | undefined): void {
		const now = clock.monotonic();
		const snapshot = readLease(object, writer);
		deciders[shard]?.observe(snapshot, now);
		beliefs.learn(shard, snapshot);
		reportChange(shard, now);
	}

	/** Reads one lease; false when the store did not answer. */
	async function readOne(shard: number): Promise<boolean> {
		const found = await store.read({kind: 'lease', name: leaseNameOf(shard)});
		found.match(object => {
			takeObject(shard, object);
		}, failure => {
			log.debug('lease not read', {failure: formatFailure(failure)});
		});
		return found.isOk();
	}

	async function readMany(shards: readonly number[]): Promise<void> {
		if (shards.length < LISTING_THRESHOLD) {
			await Promise.all(shards.map(async shard => readOne(shard)));
			return;
		}

		const listed = await store.list('lease', '');
		listed.match(objects => {
			const byShard = new Map(objects.map(object => [shardOfLeaseName(object.name), object]));
			shards.forEach(shard => {
				takeObject(shard, byShard.get(shard));
			});
		}, failure => {
			log.debug('leases not listed', {failure: formatFailure(failure)});
		});
	}

	async function offerRelease(shard: number, version: number): Promise<void> {
		membership.spread(createOwnerRumor(shard, version, undefined));
		const successor = placement.stablePreferred(shard, clock.monotonic(), 0);
		if (successor && successor.id !== self.daemonId) {
			await options.link.offer(successor, shard, version);
		}
	}

	async function runWrite(shard: number, write: LeaseWrite): Promise<void> {
		const written = await writeSettled(store, {
			kind: 'lease',
			name: leaseNameOf(shard),
			value: JSON.stringify(write.record),
			ifVersion: write.ifVersion,
			writeId: {writer, sequence: write.sequence},
		});
		const now = clock.monotonic();
		written.match(object => {
			deciders[shard]?.settle({kind: 'written', version: object.version}, write.record, now);
		}, failure => {
			const kind = failure.code === 'conflict' ? 'conflict' : 'failed';
			deciders[shard]?.settle({kind: failure.effect === 'notRun' ? kind : 'unknown'}, write.record, now);
			log.debug('lease not written', {failure: formatFailure(failure)});
		});
		reportChange(shard, now);
		if (written.isOk() && write.kind === 'release') {
			await offerRelease(shard, written.value.version);
		}
	}

	/** Hands a lease to the daemon that has become the preferred one, if that one says that it can take it. */
	async function transfer(shard: number, successor: Member): Promise<void> {
		const prepared = await options.link.prepare(successor, shard);
		if (prepared.unwrapOr(false)) {
			transferring.add(shard);
		}
	}

	function findSuccessor(shard: number, now: number): Member | undefined {
		const preferred = placement.stablePreferred(shard, now, STABLE_MS);
		const isHeld = deciders[shard]?.held(now) !== undefined;
		return isHeld && preferred?.id !== self.daemonId ? preferred : undefined;
	}

	function startTransfer(now: number): void {
		if (leaving || now - lastTransferAt < TRANSFER_INTERVAL_MS) {
			return;
		}

		const misplaced = deciders.flatMap((_, shard) => {
			const successor = findSuccessor(shard, now);
			return successor ? [{shard, successor}] : [];
		});
		const chosen = misplaced[transfers % misplaced.length];
		if (chosen) {
			lastTransferAt = now;
			transfers += 1;
			void transfer(chosen.shard, chosen.successor);
		}
	}

	function roleIn(shard: number): LeaseRole {
		return {
			rank: leaving ? undefined : placement.rank(shard, self.daemonId),
			yields: leaving || transferring.delete(shard),
		};
	}

	/** Runs one decider; true when it wants a read. */
	function runDecider(decider: LeaseDecider, shard: number, now: number): boolean {
		sequence += 1;
		const action = decider.decide(roleIn(shard), String(sequence), now);
		reportChange(shard, now);
		if (action.kind === 'write') {
			void runWrite(shard, action.write);
		}

		return action.kind === 'read';
	}

	function tick(): void {
		const now = clock.monotonic();
		placement.update(membership.members(), reach.cut(), now);
		startTransfer(now);
		const wanted = deciders.flatMap((decider, shard) => (runDecider(decider, shard, now) ? [shard] : []));
		const probed = wanted.length === 0 && reach.mustProbe(now) ? [sequence % count] : [];
		const reads = new Set([...wanted, ...requestedReads, ...probed]);
		requestedReads.clear();
		if (reads.size > 0) {
			void readMany([...reads]);
		}
	}

	function believedOwner(shard: number) {
		const belief = beliefs.find(shard);
		const member = belief && membership.find(belief.daemonId);
		return belief && member && member.state !== 'dead' && member.id !== self.daemonId ? belief : undefined;
	}

	function holding(shard: number, now: number): Holding | undefined {
		const held = deciders[shard]?.held(now);
		return held && {shard, fencing: held.fencing, validUntil: held.validUntil};
	}

	membership.rumors('shard-owner').forEach(rumor => {
		beliefs.hear(rumor);
	});
	const running = joinDisposables([
		reach,
		membership.onDidHear(rumor => {
			beliefs.hear(rumor);
		}),
		loop.every({
			name: 'decide leases', periodMs: TICK_MS, jitterShare: 0.1, run: tick,
		}),
	]);

	return {
		count,
		holding,
		owner(shard, now) {
			if (holding(shard, now)) {
				return {
					shard, daemonId: self.daemonId, address: self.address, peerPort: self.peerPort,
				};
			}

			return believedOwner(shard);
		},
		onDidAcquire: acquired.event,
		onDidLose: lost.event,
		reportWrongOwner(shard, daemonId) {
			if (beliefs.deny(shard, daemonId)) {
				requestedReads.add(shard);
			}
		},
		async prepare(shard) {
			const mayTake = !leaving && placement.rank(shard, self.daemonId) !== undefined;
			return mayTake ? readOne(shard) : false;
		},
		async takeOffer(shard) {
			await readOne(shard);
			const decider = deciders[shard];
			if (decider) {
				runDecider(decider, shard, clock.monotonic());
			}
		},
		async releaseAll() {
			leaving = true;
			const isDone = () => deciders.every(decider => decider.state().held === undefined && decider.state().pending === undefined);
			await Array.from({length: RELEASE_ROUNDS}).reduce<Promise<void>>(async previous => {
				await previous;
				if (!isDone()) {
					tick();
					await loop.sleep(TICK_MS);
				}
			}, Promise.resolve());
		},
		dispose() {
			running.dispose();
		},
	};
}
