/** Runs the lease deciders of all shards on the daemon's loop, and carries out their actions in the store. */
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
import type {LeaseTransport} from './lease-transport.js';
import {leaseNameOf, readLease, shardOfLeaseName} from './lease-record.js';
import {createOwnerCache, createOwnerRumor} from './owner-cache.js';
import {createShardPlacement} from './shard-placement.js';
import type {Holding, Shards} from './shards.js';
import {createStoreConnectivity} from './store-connectivity.js';

/** Dependencies and options of the shards of a daemon. */
export type ShardsOptions = {
	readonly self: LeaseCandidate;
	readonly count: number;
	readonly times: LeaseTimes;
	readonly store: Store;
	readonly transport: LeaseTransport;
	readonly membership: Membership;
	readonly loop: Loop;
	readonly clock: Clock;
	readonly log: Log;
	/** Creates the decider of one shard. */
	readonly createDecider?: typeof createLeaseDecider;
	/** Creates the connectivity of the daemons to the store. */
	readonly createConnectivity?: typeof createStoreConnectivity;
};

/** Shards with the operations for their daemon and its peers. */
export type ShardsService = Shards & Disposable & {
	/** Returns whether this daemon can reach the store and would take a lease from its holder. */
	readonly prepare: (shard: number) => Promise<boolean>;
	/** Reads a lease that was released in favour of this daemon, and acquires it if it is free. */
	readonly takeOffer: (shard: number) => Promise<void>;
	/** Releases all leases; resolves when they are released or after `RELEASE_ROUNDS` ticks. */
	readonly releaseAll: () => Promise<void>;
};

/** Interval at which all deciders run. */
const TICK_INTERVAL_MS = 200;

/** Time for which a daemon must have been the preferred owner before a lease is transferred to it. */
const STABLE_PREFERENCE_MS = 5000;

/** Minimum interval between two transfers by one daemon, so that a change of the fleet doesn't move all shards at once. */
const TRANSFER_INTERVAL_MS = 1000;

/** Number of reads in one tick from which on a single listing replaces them. */
const LISTING_THRESHOLD_READS = 3;

/** Number of renewal intervals with only failed calls after which a daemon reports that it is partitioned from the store. */
const PARTITIONED_AFTER_RENEWALS = 2;

/** Rounds, one per tick, in which a leaving daemon attempts to release its leases. */
const RELEASE_ROUNDS = 20;

/** Creates the shards of one daemon and starts to contend for their leases. */
export function createShardsService(options: ShardsOptions): ShardsService {
	const {self, count, membership, loop, clock, log} = options;
	const writer = `${self.daemonId}@${self.incarnation}`;
	const createDecider = options.createDecider ?? createLeaseDecider;
	const deciders: readonly LeaseDecider[] = Array.from({length: count}, () => createDecider(self, options.times));
	const placement = createShardPlacement(count);
	const connectivity = (options.createConnectivity ?? createStoreConnectivity)({membership, clock, partitionedAfterMs: PARTITIONED_AFTER_RENEWALS * options.times.renewMs});
	const store = connectivity.monitor(options.store);
	const owners = createOwnerCache();
	const acquired = createEmitter<Holding>();
	const lost = createEmitter<number>();
	const reportedFencing = new Map<number, number>();
	const requestedReads = new Set<number>();
	let sequence = 0;
	let isLeaving = false;
	const transferring = new Set<number>();
	let transfers = 0;
	let lastTransferAt = Number.NEGATIVE_INFINITY;

	/** Fires the events of a gained or lost lease, and spreads a gained one. */
	function reportChange(shard: number, now: number): void {
		const held = deciders[shard]?.held(now);
		const before = reportedFencing.get(shard);
		if (before !== undefined && before !== held?.fencing) {
			reportedFencing.delete(shard);
			lost.fire(shard);
		}

		if (held && before !== held.fencing) {
			reportedFencing.set(shard, held.fencing);
			membership.spread(createOwnerRumor(shard, held.fencing, self));
			acquired.fire({shard, ...held});
		}
	}

	function applyObject(shard: number, object: StoredObject | undefined): void {
		const now = clock.monotonic();
		const snapshot = readLease(object, writer);
		deciders[shard]?.observe(snapshot, now);
		owners.applyLease(shard, snapshot);
		reportChange(shard, now);
	}

	/** Reads one lease; false when the store did not answer. */
	async function readOne(shard: number): Promise<boolean> {
		const found = await store.read({kind: 'lease', name: leaseNameOf(shard)});
		found.match(object => {
			applyObject(shard, object);
		}, failure => {
			log.debug('lease not read', {failure: formatFailure(failure)});
		});
		return found.isOk();
	}

	async function readMany(shards: readonly number[]): Promise<void> {
		if (shards.length < LISTING_THRESHOLD_READS) {
			await Promise.all(shards.map(async shard => readOne(shard)));
			return;
		}

		const listed = await store.list('lease', '');
		listed.match(objects => {
			const byShard = new Map(objects.map(object => [shardOfLeaseName(object.name), object]));
			shards.forEach(shard => {
				applyObject(shard, byShard.get(shard));
			});
		}, failure => {
			log.debug('leases not listed', {failure: formatFailure(failure)});
		});
	}

	async function offerRelease(shard: number, version: number): Promise<void> {
		membership.spread(createOwnerRumor(shard, version, undefined));
		const successor = placement.stablePreferred(shard, clock.monotonic(), 0);
		if (successor && successor.id !== self.daemonId) {
			await options.transport.offer(successor, shard, version);
		}
	}

	async function writeLease(shard: number, write: LeaseWrite): Promise<void> {
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

	/** Marks a lease for transfer to the daemon that has become the preferred owner, if that daemon reports that it can take it. */
	async function transfer(shard: number, successor: Member): Promise<void> {
		const prepared = await options.transport.prepare(successor, shard);
		if (prepared.unwrapOr(false)) {
			transferring.add(shard);
		}
	}

	function findSuccessor(shard: number, now: number): Member | undefined {
		const preferred = placement.stablePreferred(shard, now, STABLE_PREFERENCE_MS);
		const isHeld = deciders[shard]?.held(now) !== undefined;
		return isHeld && preferred?.id !== self.daemonId ? preferred : undefined;
	}

	function startTransfer(now: number): void {
		if (isLeaving || now - lastTransferAt < TRANSFER_INTERVAL_MS) {
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
			rank: isLeaving ? undefined : placement.rank(shard, self.daemonId),
			mustRelease: isLeaving || transferring.delete(shard),
		};
	}

	/** Runs one decider; returns whether the lease must be read. */
	function runDecider(decider: LeaseDecider, shard: number, now: number): boolean {
		sequence += 1;
		const action = decider.decide(roleIn(shard), String(sequence), now);
		reportChange(shard, now);
		if (action.kind === 'write') {
			void writeLease(shard, action.write);
		}

		return action.kind === 'read';
	}

	function tick(): void {
		const now = clock.monotonic();
		placement.update(membership.members(), connectivity.partitioned(), now);
		startTransfer(now);
		const wanted = deciders.flatMap((decider, shard) => (runDecider(decider, shard, now) ? [shard] : []));
		const probed = wanted.length === 0 && connectivity.mustProbe(now) ? [sequence % count] : [];
		const reads = new Set([...wanted, ...requestedReads, ...probed]);
		requestedReads.clear();
		if (reads.size > 0) {
			void readMany([...reads]);
		}
	}

	function findCachedOwner(shard: number) {
		const cached = owners.find(shard);
		const member = cached && membership.find(cached.daemonId);
		return cached && member && member.state !== 'dead' && member.id !== self.daemonId ? cached : undefined;
	}

	function holding(shard: number, now: number): Holding | undefined {
		const held = deciders[shard]?.held(now);
		return held && {shard, fencing: held.fencing, validUntil: held.validUntil};
	}

	membership.rumors('shard-owner').forEach(rumor => {
		owners.applyRumor(rumor);
	});
	const running = joinDisposables([
		connectivity,
		membership.onDidReceiveRumor(rumor => {
			owners.applyRumor(rumor);
		}),
		loop.every({
			name: 'decide leases', periodMs: TICK_INTERVAL_MS, jitterShare: 0.1, run: tick,
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

			return findCachedOwner(shard);
		},
		onDidAcquire: acquired.event,
		onDidLose: lost.event,
		reportWrongOwner(shard, daemonId) {
			if (owners.invalidate(shard, daemonId)) {
				requestedReads.add(shard);
			}
		},
		async prepare(shard) {
			const canTake = !isLeaving && placement.rank(shard, self.daemonId) !== undefined;
			return canTake ? readOne(shard) : false;
		},
		async takeOffer(shard) {
			await readOne(shard);
			const decider = deciders[shard];
			if (decider) {
				runDecider(decider, shard, clock.monotonic());
			}
		},
		async releaseAll() {
			isLeaving = true;
			const isDone = () => deciders.every(decider => decider.state().held === undefined && decider.state().pending === undefined);
			await Array.from({length: RELEASE_ROUNDS}).reduce<Promise<void>>(async previous => {
				await previous;
				if (!isDone()) {
					tick();
					await loop.sleep(TICK_INTERVAL_MS);
				}
			}, Promise.resolve());
		},
		dispose() {
			running.dispose();
		},
	};
}
