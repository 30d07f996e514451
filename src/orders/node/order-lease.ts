/** The lease on orders to engines. One daemon at a time holds it; the lease is an object of the store, and the revision with which the holder took it is the fencing number. */
import type {Disposable} from '../../base/common/disposable.js';
import {readClocks, type Clock, type ClockReading} from '../../base/common/clock.js';
import type {Random} from '../../base/common/random.js';
import type {ApiObject, ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {createReachRecord} from '../../gateway/common/reach-record.js';
import {
	canOrder, canTake, mustRelease, reachesLongEnough, type LeaseTimes,
} from '../common/lease-policy.js';

/** The lease as one daemon sees it. */
export type OrderLease = Disposable & {
	/** Fencing number for orders; undefined when this daemon may not give orders at `now`. */
	readonly fencing: (now: number) => number | undefined;
	/** Releases the lease, and takes it no more. */
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

/** The stored lease object. */
type LeaseSpec = {
	/** Undefined after a release. */
	readonly holder?: PeerDaemon;
	readonly renewals: number;
};

type ObservedLease = {
	readonly revision: number;
	readonly spec: LeaseSpec;
	readonly seenAt: number;
};

type HeldLease = {
	readonly fencing: number;
	readonly revision: number;
	readonly renewedAt: ClockReading;
	readonly renewals: number;
};

const LEASE_ID = {kind: 'order-leases', name: 'orders'};
/** Time between checks of the lease, without jitter. */
const CHECK_INTERVAL_MS = 1000;
const CHECK_JITTER_SHARE = 0.4;
const MAXIMUM_INITIAL_DELAY_MS = 1500;
const PING_TIMEOUT_MS = 700;

function readSpec(object: ApiObject): LeaseSpec {
	// Only daemons write to this kind.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return object.spec as LeaseSpec;
}

/** Starts to watch the lease, and to take it when it is free. */
export function createOrderLease(dependencies: OrderLeaseDependencies): OrderLease {
	const {
		api, mesh, clock, loop, random, log, times,
	} = dependencies;
	let observed: ObservedLease | undefined;
	let held: HeldLease | undefined;
	/** When the holder last replied that it holds the lease, and when the lease was last read. */
	let heldAt = Number.NEGATIVE_INFINITY;
	let readAt = Number.NEGATIVE_INFINITY;
	let isLeaving = false;
	let isOpen = true;
	const reach = createReachRecord();

	function recordObservation(object: ApiObject, now: number): void {
		if (observed?.revision !== object.revision) {
			observed = {revision: object.revision, spec: readSpec(object), seenAt: now};
		}
	}

	function isSelf(holder: PeerDaemon | undefined): boolean {
		return holder?.name === mesh.self.name && holder.incarnation === mesh.self.incarnation;
	}

	function lose(reason: string): void {
		if (held !== undefined) {
			log.info('lost the lease on orders', {fencing: held.fencing, reason});
			held = undefined;
			dependencies.onDidLose();
		}
	}

	function recordHeld(object: ApiObject, sentAt: ClockReading, renewals: number): void {
		recordObservation(object, sentAt.monotonic);
		const isNew = held === undefined;
		held = {
			fencing: held?.fencing ?? object.revision, revision: object.revision, renewedAt: sentAt, renewals,
		};
		if (isNew) {
			log.info('took the lease on orders', {fencing: held.fencing});
			dependencies.onDidTake();
		}
	}

	async function readLease(): Promise<void> {
		const found = await api.read(LEASE_ID);
		found.match(object => {
			readAt = clock.monotonic();
			if (object !== undefined) {
				recordObservation(object, readAt);
			}
		}, failure => {
			log.debug('lease on orders not read', {code: failure.code, reason: failure.message});
		});
	}

	async function renew(current: HeldLease): Promise<void> {
		const sentAt = readClocks(clock);
		if (sentAt.monotonic - current.renewedAt.monotonic < times.renewMs && canOrder(current.renewedAt, sentAt, times)) {
			return;
		}

		const renewals = current.renewals + 1;
		const written = await api.replace(LEASE_ID, {holder: mesh.self, renewals}, current.revision);
		if (written.isOk()) {
			recordHeld(written.value, sentAt, renewals);
			return;
		}

		await readLease();
		const isOwnWrite = observed !== undefined && isSelf(observed.spec.holder) && observed.revision >= current.revision;
		if (isOwnWrite && observed!.spec.renewals === renewals) {
			// The renewal took effect although its response was lost.
			held = {
				...current, revision: observed!.revision, renewedAt: sentAt, renewals,
			};
		} else if (observed !== undefined && !isSelf(observed.spec.holder)) {
			lose(`held by ${observed.spec.holder?.name ?? 'nobody'}`);
		} else if (clock.monotonic() - current.renewedAt.monotonic > 2 * times.lapseMs) {
			lose('not renewed in time');
		}
	}

	/**
	 * Asks the holder's process whether it holds the lease. Returns `gone` only when that run of the process has certainly ended, because another
	 * run answers at its address. A refused connection is no proof: a partition refuses as well, and the holder behind it may still reach the engines.
	 */
	async function ping(holder: PeerDaemon): Promise<'holds' | 'gone' | 'holdsNot' | 'silent'> {
		const reply = await mesh.call(holder, 'order-lease', {}, PING_TIMEOUT_MS);
		if (reply.isErr()) {
			return 'silent';
		}

		// The handler below creates the body on the other daemon.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const body = reply.value.body as {incarnation: string; holds: boolean; holder: PeerDaemon | undefined} | undefined;
		if (body?.incarnation !== holder.incarnation) {
			return 'gone';
		}

		return body.holds ? 'holds' : 'holdsNot';
	}

	async function take(hasProcessEnded: boolean): Promise<void> {
		const sentAt = readClocks(clock);
		const spec: LeaseSpec = {holder: mesh.self, renewals: 0};
		if (observed === undefined) {
			const created = await api.create(LEASE_ID, spec);
			if (created.isOk()) {
				recordHeld(created.value, sentAt, 0);
			} else {
				await readLease();
			}

			return;
		}

		const isReleased = observed.spec.holder === undefined || isSelf(observed.spec.holder);
		if (!canTake({seenAt: observed.seenAt, hasProcessEnded, isReleased}, sentAt.monotonic, times)) {
			return;
		}

		const written = await api.replace(LEASE_ID, spec, observed.revision);
		if (written.isOk()) {
			recordHeld(written.value, sentAt, 0);
			return;
		}

		log.info('lease on orders not taken', {code: written.error.code, reason: written.error.message});
		await readLease();
	}

	/** Releases the lease, so that another daemon takes it at once. */
	async function giveUp(reason: string): Promise<void> {
		if (held === undefined) {
			return;
		}

		const {revision, renewals} = held;
		lose(reason);
		const written = await api.replace(LEASE_ID, {renewals}, revision);
		if (written.isErr()) {
			log.info('lease on orders not released', {reason: written.error.message});
		}
	}

	/** Whether the lease was read since its holder has been silent, and has not lapsed since: until then, reading it again would change nothing. */
	function awaitsLapse(now: number): boolean {
		return observed !== undefined && readAt > heldAt && now - observed.seenAt < times.lapseMs;
	}

	async function checkLease(): Promise<void> {
		const now = clock.monotonic();
		reach.record(dependencies.reachesEngines(), now);
		if (held !== undefined && mustRelease(reach.lostForMs(now), times)) {
			await giveUp('the engines can not be reached');
			return;
		}

		if (held !== undefined) {
			await renew(held);
			return;
		}

		if (isLeaving || !reachesLongEnough(reach.reachedForMs(now), times)) {
			return;
		}

		const holder = observed?.spec.holder;
		const status = holder === undefined || isSelf(holder) ? 'holdsNot' : await ping(holder);
		if (status === 'holds') {
			heldAt = clock.monotonic();
			return;
		}

		if (status === 'silent' && awaitsLapse(clock.monotonic())) {
			return;
		}

		const before = observed?.revision;
		await readLease();
		await take(status === 'gone' && observed?.revision === before);
	}

	mesh.handle('order-lease', async () => ({
		status: 200,
		body: {incarnation: mesh.self.incarnation, holds: held !== undefined && canOrder(held.renewedAt, readClocks(clock), times), holder: observed?.spec.holder},
	}));

	async function run(): Promise<void> {
		if (!isOpen) {
			return;
		}

		await checkLease();
		loop.after(CHECK_INTERVAL_MS * (1 + (CHECK_JITTER_SHARE * random())), () => {
			void run();
		});
	}

	// A random delay makes daemons that start together check one after another, so that the others find the lease that the first has taken.
	loop.after(MAXIMUM_INITIAL_DELAY_MS * random(), () => {
		void run();
	});
	return {
		fencing: now => (held !== undefined && !isLeaving && dependencies.reachesEngines() && canOrder(held.renewedAt, {monotonic: now, wall: clock.wall()}, times) ? held.fencing : undefined),
		async release() {
			isLeaving = true;
			await giveUp('released');
		},
		dispose() {
			isOpen = false;
		},
	};
}
