/**
 * The lease on orders to engines. One daemon at a time holds it; the lease is an object of the store, and the revision with which the holder took it
 * is the fencing number. All that only the holder may do goes through `act`, which ends with the holder's term.
 */
import type {Result} from 'neverthrow';
import type {Disposable} from '../../base/common/disposable.js';
import {
	computeElapsedMs, readClocks, type Clock, type ClockReading,
} from '../../base/common/clock.js';
import type {Failure} from '../../base/common/failure.js';
import type {Random} from '../../base/common/random.js';
import type {ApiObject, ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {createReachRecord} from '../../gateway/common/reach-record.js';
import {createExclusiveActions, type ExclusiveAction} from '../common/exclusive-actions.js';
import {
	addHolder, chooseLapseMs, computeFirstActionAt, computeRemainingMs, computeRenewalMs, type LeaseTimes,
} from '../common/lease-policy.js';
import {decodeLeaseReply, type LeaseRecord, type LeaseReply} from '../common/lease-record.js';
import {createObservedLease} from '../common/observed-lease.js';
import {watchTermEnd} from './term-end.js';

/** The lease as one daemon sees it. */
export type OrderLease = Disposable & {
	/** Fencing number of the term; undefined when this daemon may not act at `now`. */
	readonly fencing: (now: number) => number | undefined;
	/** Performs what only the holder may do. Returns undefined, without performing it, when this daemon may not act. */
	readonly act: <T>(action: ExclusiveAction<T>) => Promise<Result<T, Failure> | undefined>;
	/** Stops acting and releases the lease, and takes it no more. */
	readonly release: () => Promise<void>;
};

/** Dependencies of the lease. */
export type OrderLeaseDependencies = {
	readonly api: ObjectApi;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly times: LeaseTimes;
	/** Whether this daemon can connect to the engines. */
	readonly reachesEngines: () => boolean;
	readonly onDidTake: () => void;
	readonly onDidLose: () => void;
};

type HeldLease = {
	readonly fencing: number;
	readonly revision: number;
	readonly renewedAt: ClockReading;
	/** Lapse time from the last renewal on. */
	readonly lapseMs: number;
	readonly earlierHolders: readonly string[];
	/** Number of actions that were begun before the last renewal. */
	readonly actionsBefore: number;
	/** Earliest time of an action, so that holders do not take turns too fast. */
	readonly firstActionAt: number;
	/** The holder has stopped acting and waits for the actions under way before it releases the lease. */
	readonly isEnding: boolean;
};

/** A renewal as it was sent. */
type Renewal = {
	/** Number of the renewal, which no other of this daemon's run has. */
	readonly renewals: number;
	readonly lapseMs: number;
	readonly sentAt: ClockReading;
};

const LEASE_ID = {kind: 'order-leases', name: 'orders'};
/** Time between checks of the lease, without jitter. */
const CHECK_INTERVAL_MS = 1000;
const CHECK_JITTER_SHARE = 0.4;
const MAXIMUM_INITIAL_DELAY_MS = 1500;
/** Time after a failed renewal at which the holder tries again, as long as its term lasts. */
const RENEWAL_RETRY_MS = 250;
const PING_TIMEOUT_MS = 700;

/** Starts to watch the lease, and to take it when it is free. */
export function createOrderLease(dependencies: OrderLeaseDependencies): OrderLease {
	const {
		api, mesh, clock, loop, random, log, times,
	} = dependencies;
	const startedAt = clock.monotonic();
	const actions = createExclusiveActions();
	const reach = createReachRecord();
	const observed = createObservedLease(mesh.self, times);
	let held: HeldLease | undefined;
	let renewals = 0;
	/** Renewals since the last one that is known to have taken effect. */
	let openRenewals: readonly Renewal[] = [];
	/** Whether the lease was read since its holder has been silent. */
	let hasReadInSilence = false;
	let isLeaving = false;
	let isOpen = true;

	function lose(reason: string): void {
		if (held !== undefined) {
			log.info('lost the lease on orders', {fencing: held.fencing, reason});
			held = undefined;
			dependencies.onDidLose();
		}
	}

	/** Time for which the term with this fencing number still lasts at `now`; 0 or less once it has ended. */
	function remainingMs(fencing: number, now: number): number {
		return held?.fencing === fencing ? computeRemainingMs(held.renewedAt, {monotonic: now, wall: clock.wall()}, held.lapseMs) : 0;
	}

	/** Fencing number with which an action may start at `now`. */
	function findFencing(now: number): number | undefined {
		return held === undefined || held.isEnding || isLeaving || now < held.firstActionAt || !dependencies.reachesEngines() || remainingMs(held.fencing, now) <= 0
			? undefined
			: held.fencing;
	}

	function recordTaken(object: ApiObject, {sentAt, lapseMs}: Renewal, earlierHolders: readonly string[]): void {
		observed.recordObject(object, sentAt.monotonic);
		const firstActionAt = computeFirstActionAt(mesh.self.name, earlierHolders, actions.lastActedAt() ?? startedAt, times);
		openRenewals = [];
		held = {
			fencing: object.revision, revision: object.revision, renewedAt: sentAt, lapseMs, earlierHolders, actionsBefore: actions.count(), firstActionAt, isEnding: false,
		};
		actions.startTerm();
		log.info('took the lease on orders', {fencing: held.fencing, waitMs: Math.max(0, Math.round(firstActionAt - sentAt.monotonic))});
		dependencies.onDidTake();
	}

	async function readLease(): Promise<void> {
		const found = await api.read(LEASE_ID);
		found.match(object => {
			if (object !== undefined) {
				observed.recordObject(object, clock.monotonic());
			}
		}, failure => {
			log.debug('lease on orders not read', {code: failure.code, reason: failure.message});
		});
	}

	function createRecord({renewals: number, lapseMs}: Renewal, earlierHolders: readonly string[]): LeaseRecord {
		return {
			holder: mesh.self, renewals: number, lapseMs, earlierHolders,
		};
	}

	function recordRenewal(current: HeldLease, {sentAt, lapseMs}: Renewal, revision: number): void {
		openRenewals = [];
		held = {
			...current, revision, renewedAt: sentAt, lapseMs, actionsBefore: actions.count(),
		};
	}

	async function renew(current: HeldLease): Promise<void> {
		const sentAt = readClocks(clock);
		if (computeElapsedMs(current.renewedAt, sentAt) < computeRenewalMs(current.lapseMs)) {
			return;
		}

		renewals += 1;
		const renewal = {renewals, lapseMs: chooseLapseMs(actions.count() - current.actionsBefore, times), sentAt};
		openRenewals = [...openRenewals, renewal];
		const written = await api.replace(LEASE_ID, createRecord(renewal, current.earlierHolders), current.revision);
		if (held?.fencing !== current.fencing) {
			return;
		}

		if (written.isOk()) {
			observed.recordObject(written.value, sentAt.monotonic);
			recordRenewal(held, renewal, written.value.revision);
			return;
		}

		await readLease();
		const found = observed.current();
		if (held?.fencing !== current.fencing || found === undefined) {
			return;
		}

		// A renewal without a response may have taken effect, also an earlier one: the term counts from when that one was sent.
		const effective = openRenewals.find(open => open.renewals === found.record?.renewals);
		if (!observed.isOwn()) {
			lose(`held by ${found.record?.holder?.name ?? 'nobody'}`);
		} else if (effective !== undefined) {
			recordRenewal(held, effective, found.revision);
		} else if (clock.monotonic() - current.renewedAt.monotonic > times.expiryMs) {
			lose('not renewed in time');
		}
	}

	/** Asks the holder's process whether it holds the lease. Its reply also says when the lease was renewed, so that it need not be read. */
	async function ping(holder: PeerDaemon): Promise<'holds' | 'holdsNot' | 'silent'> {
		const reply = await mesh.call(holder, 'order-lease', {}, PING_TIMEOUT_MS);
		const body = reply.isOk() ? decodeLeaseReply(reply.value.body) : undefined;
		if (body?.incarnation !== holder.incarnation) {
			// Another run of the process, or another daemon at its address, says nothing of what this run has sent.
			return 'silent';
		}

		const {revision, renewedMsAgo, lapseMs} = body;
		if (revision !== undefined && renewedMsAgo !== undefined && lapseMs !== undefined) {
			observed.recordStatement(holder, {revision, lapseMs, renewedBy: clock.monotonic() - renewedMsAgo});
		}

		return body.holds ? 'holds' : 'holdsNot';
	}

	/** Asks another daemon which one holds the lease, so that a daemon that starts beside a holder need not read the store. */
	async function askForHolder(): Promise<PeerDaemon | undefined> {
		const others = mesh.others();
		const other = others[Math.floor(random() * others.length)];
		const reply = other === undefined ? undefined : await mesh.call(other, 'order-lease', {}, PING_TIMEOUT_MS);
		return reply?.isOk() ? decodeLeaseReply(reply.value.body)?.holder : undefined;
	}

	async function take(): Promise<void> {
		renewals += 1;
		const first: Renewal = {renewals, lapseMs: times.busyLapseMs, sentAt: readClocks(clock)};
		const before = observed.current();
		const earlierHolders = addHolder(before?.record?.holder?.name, before?.record?.earlierHolders ?? []);
		const record = createRecord(first, earlierHolders);
		const written = before === undefined ? await api.create(LEASE_ID, record) : await api.replace(LEASE_ID, record, before.revision);
		if (written.isOk()) {
			recordTaken(written.value, first, earlierHolders);
			return;
		}

		log.info('lease on orders not taken', {code: written.error.code, reason: written.error.message});
		await readLease();
	}

	/** Whether this daemon may take the lease. Its own is free unless something that it has sent has no answer. */
	const mayTake = (): boolean => observed.mayTake(clock.monotonic(), !actions.hasUnanswered());

	/**
	 * Stops acting, and releases the lease so that another daemon takes it at once. While something that was sent has no answer, its effect may
	 * still come, and the lease is left to lapse instead.
	 */
	async function giveUp(reason: string): Promise<void> {
		if (held === undefined || held.isEnding) {
			return;
		}

		const {fencing} = held;
		held = {...held, isEnding: true};
		await actions.whenIdle();
		if (held?.fencing !== fencing) {
			return;
		}

		const {revision, earlierHolders} = held;
		const isAnswered = !actions.hasUnanswered();
		lose(isAnswered ? reason : `${reason}; lapses, as an action has no answer`);
		if (!isAnswered) {
			return;
		}

		const released: LeaseRecord = {renewals, earlierHolders: addHolder(mesh.self.name, earlierHolders)};
		const written = await api.replace(LEASE_ID, released, revision);
		if (written.isErr()) {
			log.info('lease on orders not released', {reason: written.error.message});
		}
	}

	async function checkLease(): Promise<void> {
		const now = clock.monotonic();
		reach.record(dependencies.reachesEngines(), now);
		if (held?.isEnding === false) {
			await (reach.lostForMs(now) >= times.lostReachMs ? giveUp('the engines can not be reached') : renew(held));
			return;
		}

		if (held !== undefined || isLeaving || reach.reachedForMs(now) < times.soundReachMs) {
			return;
		}

		const holder = observed.current() === undefined ? await askForHolder() : observed.current()?.record?.holder;
		const status = holder === undefined || observed.isOwn() ? 'holdsNot' : await ping(holder);
		if (status === 'holds') {
			hasReadInSilence = false;
			return;
		}

		// A silent holder may have released the lease before; otherwise reading it again before it lapses would change nothing.
		if (status === 'silent' && hasReadInSilence && !mayTake()) {
			return;
		}

		hasReadInSilence = true;
		await readLease();
		if (mayTake() && !isLeaving) {
			await take();
		}
	}

	mesh.handle('order-lease', async () => {
		const reading = readClocks(clock);
		const holder = observed.current()?.record?.holder;
		const body: LeaseReply = {
			incarnation: mesh.self.incarnation,
			holds: held !== undefined && !held.isEnding && computeRemainingMs(held.renewedAt, reading, held.lapseMs) > 0,
			...(holder !== undefined && {holder}),
			// By the monotonic clock alone: a wall clock that jumps must not make the others count the lease as lapsed.
			...(held !== undefined && {revision: held.revision, lapseMs: held.lapseMs, renewedMsAgo: reading.monotonic - held.renewedAt.monotonic}),
		};
		return {status: 200, body};
	});

	/** Time until the next check. That of a holder falls on the time of its next renewal. */
	function computeDelayMs(now: ClockReading): number {
		if (held === undefined || held.isEnding || computeRemainingMs(held.renewedAt, now, held.lapseMs) <= 0) {
			return CHECK_INTERVAL_MS * (1 + (CHECK_JITTER_SHARE * random()));
		}

		return Math.max(RENEWAL_RETRY_MS, Math.min(CHECK_INTERVAL_MS, computeRenewalMs(held.lapseMs) - computeElapsedMs(held.renewedAt, now)));
	}

	async function run(): Promise<void> {
		if (!isOpen) {
			return;
		}

		await checkLease();
		loop.after(computeDelayMs(readClocks(clock)), () => {
			void run();
		});
	}

	// A random delay makes daemons that start together check one after another, so that the others find the lease that the first has taken.
	loop.after(MAXIMUM_INITIAL_DELAY_MS * random(), () => {
		void run();
	});
	return {
		fencing: findFencing,
		async act(action) {
			const fencing = findFencing(clock.monotonic());
			if (fencing === undefined) {
				return undefined;
			}

			const end = watchTermEnd(() => remainingMs(fencing, clock.monotonic()), loop);
			try {
				return await actions.perform({fencing, isCurrent: () => findFencing(clock.monotonic()) === fencing, signal: end.signal}, action, clock.monotonic);
			} finally {
				end.dispose();
			}
		},
		async release() {
			isLeaving = true;
			await giveUp('released');
		},
		dispose() {
			isOpen = false;
		},
	};
}
