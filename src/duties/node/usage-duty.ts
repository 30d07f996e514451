/** Reports the usage of each window while this daemon holds the lease on orders: collects the counts, stores them, and sends what is stored. */
import type {Clock} from '../../base/common/clock.js';
import type {Log} from '../../kernel/common/log.js';
import type {DutiesApi, UsageReport} from '../common/duties-api.js';
import type {FleetTime} from '../common/fleet-time.js';
import {
	collectUntil, computeRetryMs, isGivenUp, listDueWindows, MAXIMUM_WINDOWS, type WindowTimes,
} from '../common/usage-record.js';
import type {DutyCalls} from './duty-calls.js';
import type {UsageCollection} from './usage-collection.js';
import type {UsageStore} from './usage-store.js';

/** The duty of one daemon. */
export type UsageDuty = {
	/** Collects and stores the windows that have ended; called periodically, never twice at a time. */
	readonly collect: () => Promise<void>;
	/** Sends the oldest stored window; called periodically, never twice at a time. */
	readonly send: () => Promise<void>;
};

/** Dependencies of the duty. */
export type UsageDutyDependencies = {
	readonly api: DutiesApi;
	readonly lease: {readonly fencing: (now: number) => number | undefined};
	readonly calls: DutyCalls;
	readonly collection: UsageCollection;
	readonly store: UsageStore;
	readonly time: FleetTime;
	readonly times: WindowTimes;
	readonly clock: Clock;
	readonly log: Log;
};

/** All usage reports are one subject of the fencing numbers. */
const SUBJECT = 'usage';
/** Time between attempts to read or write the store while it fails. */
const STORE_RETRY_MS = 1000;

/** Creates the duty. */
export function createUsageDuty({
	api, lease, calls, collection, store, time, times, clock, log,
}: UsageDutyDependencies): UsageDuty {
	const startWindow = Math.floor(time.read(clock.monotonic()) / times.windowMs);
	let term: number | undefined;
	let knowsFleetTime = false;
	let storeTriedAt = Number.NEGATIVE_INFINITY;
	/** The newest window that this daemon has seen stored, also in earlier terms. */
	let newestStored = startWindow - 1;
	/** Collected windows that are not stored yet. */
	let collected: readonly UsageReport[] = [];
	const done = new Set<number>();
	const callsByWindow = new Map<number, number>();
	let sendAgainAt = Number.NEGATIVE_INFINITY;

	/** Whether this daemon holds the lease under the number of the present term. */
	function isCurrent(): boolean {
		return term !== undefined && lease.fencing(clock.monotonic()) === term;
	}

	function startTerm(fencing: number | undefined): void {
		// What was collected in an earlier term is dropped: another holder may have stored these windows, with other counts.
		term = fencing;
		knowsFleetTime = false;
		storeTriedAt = Number.NEGATIVE_INFINITY;
		collected = [];
		done.clear();
		callsByWindow.clear();
		sendAgainAt = Number.NEGATIVE_INFINITY;
		store.forget();
	}

	/** Logs that no window can be added before the clock has passed the newest one, which another holder with a wrong clock may have stored. */
	function reportAhead(): void {
		const newest = store.known()?.newest;
		newestStored = Math.max(newestStored, newest ?? newestStored);
		if (newest !== undefined && newest > Math.floor(time.read(clock.monotonic()) / times.windowMs)) {
			log.warn('stored usage is ahead of the clock; no usage is reported until then', {newest});
		}
	}

	async function storeCollected(): Promise<void> {
		const now = clock.monotonic();
		const known = store.known();
		if (known === undefined) {
			if (now - storeTriedAt >= STORE_RETRY_MS) {
				storeTriedAt = now;
				// What another daemon asked for counts up to the present window, as its clock may have been wrong.
				await store.load(Math.max(newestStored, Math.min(collection.newestAsked() ?? 0, Math.floor(time.read(now) / times.windowMs))));
				reportAhead();
			}

			return;
		}

		const missing = collected.filter(({windowId}) => windowId > known.newest);
		if (missing.length > 0) {
			await store.add(missing, done);
			const left = new Set(store.known()?.windows.map(({windowId}) => windowId));
			[...done].filter(windowId => store.known() !== undefined && !left.has(windowId)).forEach(windowId => {
				done.delete(windowId);
			});
		}

		// After a failed write, what is not found stored is written again.
		const {newest} = store.known() ?? {newest: undefined};
		newestStored = Math.max(newestStored, newest ?? newestStored);
		collected = newest === undefined ? collected : collected.filter(({windowId}) => windowId > newest);
	}

	async function collectDue(): Promise<void> {
		const record = store.known();
		if (record === undefined && collected.length === 0) {
			return;
		}

		const now = clock.monotonic();
		const unixMs = time.read(now);
		const newest = Math.max(record?.newest ?? 0, collected.at(-1)?.windowId ?? 0);
		const due = listDueWindows(newest, unixMs, times);
		if (due.length === 0) {
			return;
		}

		const added = await collection.collect(due, now + (collectUntil(due.at(-1)!, times) - unixMs), isCurrent);
		if (isCurrent()) {
			collected = [...collected, ...added].slice(-MAXIMUM_WINDOWS);
		}
	}

	return {
		async collect() {
			const fencing = lease.fencing(clock.monotonic());
			// The time without calls begins with the term, not with the first call.
			calls.heldForMs();
			if (fencing !== undefined && fencing !== term) {
				startTerm(fencing);
			}

			if (fencing === undefined) {
				return;
			}

			if (!knowsFleetTime) {
				// Asks for the clocks of the others before windows are numbered by the own.
				knowsFleetTime = true;
				await collection.collect([], Number.NEGATIVE_INFINITY, isCurrent);
			}

			await collectDue();
			if (isCurrent()) {
				await storeCollected();
			}
		},
		async send() {
			const oldest = isCurrent() ? store.known()?.windows.find(({windowId}) => !done.has(windowId)) : undefined;
			if (oldest === undefined || clock.monotonic() < sendAgainAt) {
				return;
			}

			const {windowId, counts} = oldest;
			const ageMs = Math.round(time.read(clock.monotonic()) - ((windowId + 1) * times.windowMs));
			const end = await calls.make({
				duty: 'usage',
				subject: SUBJECT,
				details: {windowId, organisations: Object.keys(counts).length, ageMs},
				send: async caller => api.reportUsage(caller, oldest),
			});
			if (end === 'notMade' || end === 'fenced') {
				return;
			}

			const made = (callsByWindow.get(windowId) ?? 0) + 1;
			callsByWindow.set(windowId, made);
			sendAgainAt = end === 'accepted' ? Number.NEGATIVE_INFINITY : clock.monotonic() + computeRetryMs(made);
			if (end === 'accepted' || isGivenUp(windowId, made, time.read(clock.monotonic()), times)) {
				done.add(windowId);
				callsByWindow.delete(windowId);
				if (end !== 'accepted') {
					log.warn('usage report is given up', {windowId, calls: made, outcome: end});
				}
			}
		},
	};
}
