/** The lease on orders to engines: one daemon at a time holds it, in an object of the store whose revision is the fencing number. */
import type {Disposable} from '../../base/common/disposable.js';
import type {Clock} from '../../base/common/clock.js';
import type {Random} from '../../base/common/random.js';
import type {ApiObject, ObjectApi} from '../../adapters/common/object-api.js';
import type {Log} from '../../kernel/common/log.js';
import type {Loop} from '../../kernel/common/loop.js';
import type {PeerDaemon, PeerMesh} from '../../peers/common/peer-mesh.js';
import {mayOrder, mayTake, type LeaseTimes} from '../common/lease-policy.js';

/** The lease as one daemon sees it. */
export type OrderLease = Disposable & {
	/** Fencing number of orders; undefined when this daemon may not order at `now`. */
	readonly fencing: (now: number) => number | undefined;
	/** Gives the lease up. */
	readonly release: () => Promise<void>;
};

/** What the lease works with. */
export type OrderLeaseParts = {
	readonly api: ObjectApi;
	readonly mesh: PeerMesh;
	readonly clock: Clock;
	readonly loop: Loop;
	readonly random: Random;
	readonly log: Log;
	readonly times: LeaseTimes;
	readonly onDidTake: () => void;
	readonly onDidLose: () => void;
};

/** The lease object. */
type LeaseSpec = {
	/** Undefined after a release. */
	readonly holder?: PeerDaemon;
	readonly renewals: number;
};

type Sight = {
	readonly revision: number;
	readonly spec: LeaseSpec;
	readonly seenAt: number;
};

const LEASE_ID = {kind: 'order-leases', name: 'orders'};
/** Time between looks at the holder. */
const LOOK_MS = 1000;
const LOOK_JITTER = 0.4;
const FIRST_LOOK_MS = 1500;
const PING_TIMEOUT_MS = 700;

function readSpec(object: ApiObject): LeaseSpec {
	// Only daemons write to this kind.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return object.spec as LeaseSpec;
}

/** Starts to hold or watch the lease. */
export function createOrderLease(parts: OrderLeaseParts): OrderLease {
	const {
		api, mesh, clock, loop, random, log, times,
	} = parts;
	let sight: Sight | undefined;
	let held: {readonly fencing: number; revision: number; renewedAt: number; renewals: number} | undefined;
	let isLeaving = false;
	let isOpen = true;

	function see(object: ApiObject, now: number): void {
		if (sight?.revision !== object.revision) {
			sight = {revision: object.revision, spec: readSpec(object), seenAt: now};
		}
	}

	function isSelf(holder: PeerDaemon | undefined): boolean {
		return holder?.name === mesh.self.name && holder.incarnation === mesh.self.incarnation;
	}

	function lose(reason: string): void {
		if (held !== undefined) {
			log.info('lost the lease on orders', {fencing: held.fencing, reason});
			held = undefined;
			parts.onDidLose();
		}
	}

	function hold(object: ApiObject, sentAt: number, renewals: number): void {
		see(object, sentAt);
		const isNew = held === undefined;
		held = {
			fencing: held?.fencing ?? object.revision, revision: object.revision, renewedAt: sentAt, renewals,
		};
		if (isNew) {
			log.info('took the lease on orders', {fencing: held.fencing});
			parts.onDidTake();
		}
	}

	async function readBack(): Promise<void> {
		const found = await api.read(LEASE_ID);
		found.match(object => {
			if (object !== undefined) {
				see(object, clock.monotonic());
			}
		}, failure => {
			log.debug('lease on orders not read', {code: failure.code, reason: failure.message});
		});
	}

	async function renew(current: NonNullable<typeof held>): Promise<void> {
		const sentAt = clock.monotonic();
		if (sentAt - current.renewedAt < times.renewMs) {
			return;
		}

		const renewals = current.renewals + 1;
		const written = await api.replace(LEASE_ID, {holder: mesh.self, renewals}, current.revision);
		if (written.isOk()) {
			hold(written.value, sentAt, renewals);
			return;
		}

		await readBack();
		const isOwnWrite = sight !== undefined && isSelf(sight.spec.holder) && sight.revision >= current.revision;
		if (isOwnWrite && sight!.spec.renewals === renewals) {
			// The renewal took effect although its answer was lost.
			held = {
				...current, revision: sight!.revision, renewedAt: sentAt, renewals,
			};
		} else if (sight !== undefined && !isSelf(sight.spec.holder)) {
			lose(`held by ${sight.spec.holder?.name ?? 'nobody'}`);
		} else if (!mayOrder(current.renewedAt, clock.monotonic(), times) && clock.monotonic() - current.renewedAt > 2 * times.lapseMs) {
			lose('not renewed in time');
		}
	}

	/** Asks the holder's process. `gone` is said only when that run of the process has certainly ended. */
	async function ping(holder: PeerDaemon): Promise<'holds' | 'gone' | 'unknown'> {
		const reply = await mesh.call(holder, 'order-lease', {}, PING_TIMEOUT_MS);
		if (reply.isErr()) {
			return reply.error.effect === 'notRun' && reply.error.message.includes('ECONNREFUSED') ? 'gone' : 'unknown';
		}

		// The body is what the handler below wrote.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const body = reply.value.body as {incarnation: string; holds: boolean; holder: PeerDaemon | undefined} | undefined;
		if (body?.incarnation !== holder.incarnation) {
			return 'gone';
		}

		return body.holds ? 'holds' : 'unknown';
	}

	async function take(isProcessGone: boolean): Promise<void> {
		const sentAt = clock.monotonic();
		const spec: LeaseSpec = {holder: mesh.self, renewals: 0};
		if (sight === undefined) {
			const created = await api.create(LEASE_ID, spec);
			if (created.isOk()) {
				hold(created.value, sentAt, 0);
			} else {
				await readBack();
			}

			return;
		}

		const isReleased = sight.spec.holder === undefined || isSelf(sight.spec.holder);
		if (!mayTake({seenAt: sight.seenAt, isProcessGone, isReleased}, sentAt, times)) {
			return;
		}

		const written = await api.replace(LEASE_ID, spec, sight.revision);
		if (written.isOk()) {
			hold(written.value, sentAt, 0);
			return;
		}

		log.info('lease on orders not taken', {code: written.error.code, reason: written.error.message});
		await readBack();
	}

	async function look(): Promise<void> {
		if (held !== undefined) {
			await renew(held);
			return;
		}

		if (isLeaving) {
			return;
		}

		const holder = sight?.spec.holder;
		const answer = holder === undefined || isSelf(holder) ? 'unknown' : await ping(holder);
		if (answer === 'holds') {
			return;
		}

		const before = sight?.revision;
		await readBack();
		await take(answer === 'gone' && sight?.revision === before);
	}

	mesh.handle('order-lease', async () => ({
		status: 200,
		body: {incarnation: mesh.self.incarnation, holds: held !== undefined && mayOrder(held.renewedAt, clock.monotonic(), times), holder: sight?.spec.holder},
	}));

	async function run(): Promise<void> {
		if (!isOpen) {
			return;
		}

		await look();
		loop.after(LOOK_MS * (1 + (LOOK_JITTER * random())), () => {
			void run();
		});
	}

	// Daemons that start together look one after another, and find the lease that the first has taken.
	loop.after(FIRST_LOOK_MS * random(), () => {
		void run();
	});
	return {
		fencing: now => (held !== undefined && !isLeaving && mayOrder(held.renewedAt, now, times) ? held.fencing : undefined),
		async release() {
			isLeaving = true;
			if (held === undefined) {
				return;
			}

			const {revision, renewals} = held;
			lose('released');
			const written = await api.replace(LEASE_ID, {renewals}, revision);
			if (written.isErr()) {
				log.info('lease on orders not released', {reason: written.error.message});
			}
		},
		dispose() {
			isOpen = false;
		},
	};
}
