/**
 * Tracks which daemons are partitioned from the store. Each daemon derives its own state from its own calls and spreads a
 * change as a rumor, so that the others skip it in the order of preference. The views of daemons may differ or lag, because
 * only the lease decides who is the owner.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {FailureCode} from '../../base/common/failure.js';
import type {Membership, Rumor} from '../../membership/common/membership.js';
import type {Store} from '../../adapters/common/store.js';
import {wrapStore} from '../../adapters/common/wrapped-store.js';

/** Dependencies and options of the store connectivity. */
export type StoreConnectivityOptions = {
	readonly membership: Pick<Membership, 'self' | 'rumors' | 'onDidReceiveRumor' | 'spread'>;
	readonly clock: Clock;
	/** Time since the first of consecutive failures after which this daemon counts itself as partitioned. */
	readonly partitionedAfterMs: number;
};

/** The connectivity of all daemons to the store, as known to one daemon. */
export type StoreConnectivity = Disposable & {
	/** Returns a view of the store whose calls determine this daemon's connectivity. */
	readonly monitor: (store: Store) => Store;
	/** The daemons that have reported to be partitioned from the store. */
	readonly partitioned: () => ReadonlySet<string>;
	/** Whether this daemon is partitioned and has not called the store for `PROBE_INTERVAL_MS`, so that it should call it again. */
	readonly mustProbe: (now: number) => boolean;
};

/** Topic of rumors about the connectivity to the store. */
const TOPIC = 'store-reach';
/** Values of the rumors, as daemons exchange them. */
const PARTITIONED = 'cut';
const CONNECTED = 'reached';

/** Consecutive failures after which a daemon counts itself as partitioned. */
const PARTITIONED_AFTER_FAILURES = 3;

/**
 * Time without failures before a daemon reports that it is connected again. After a partition of the complete fleet, the
 * former candidates acquire their shards during that time: only they have watched the leases, so other daemons would first
 * have to wait for the leases to expire.
 */
const CONNECTED_AFTER_MS = 5000;

/** Minimum interval between two changes that a daemon spreads about itself. */
const CHANGE_INTERVAL_MS = 10_000;

/** Time after its last call at which a partitioned daemon calls the store again. */
const PROBE_INTERVAL_MS = 10_000;

const unansweredCodes: ReadonlySet<FailureCode> = new Set(['unavailable', 'deadlineExceeded']);

/** Creates the store connectivity of a daemon that has made no call yet. */
export function createStoreConnectivity({membership, clock, partitionedAfterMs}: StoreConnectivityOptions): StoreConnectivity {
	const selfId = membership.self().id;
	const partitioned = new Set<string>();
	let version = 0;
	let failures = 0;
	let failingSince = 0;
	let answeringSince = clock.monotonic();
	let lastCalledAt = Number.NEGATIVE_INFINITY;
	let lastChangedAt = Number.NEGATIVE_INFINITY;

	function applyRumor(rumor: Rumor): void {
		if (rumor.topic !== TOPIC) {
			return;
		}

		if (rumor.origin === selfId) {
			version = Math.max(version, rumor.version);
		}

		if (rumor.value === PARTITIONED) {
			partitioned.add(rumor.origin);
		} else {
			partitioned.delete(rumor.origin);
		}
	}

	/** Spreads a change of this daemon's state. Also corrects a state that an earlier run of this daemon has spread. */
	function spread(value: string, now: number): void {
		if (partitioned.has(selfId) === (value === PARTITIONED) || now - lastChangedAt < CHANGE_INTERVAL_MS) {
			return;
		}

		lastChangedAt = now;
		const rumor = {
			topic: TOPIC, origin: selfId, version: Math.max(version + 1, Math.floor(clock.wall())), value,
		};
		applyRumor(rumor);
		membership.spread(rumor);
	}

	function recordAnswer(now: number): void {
		answeringSince = failures === 0 ? answeringSince : now;
		failures = 0;
		if (now - answeringSince >= CONNECTED_AFTER_MS) {
			spread(CONNECTED, now);
		}
	}

	function recordFailure(now: number): void {
		failingSince = failures === 0 ? now : failingSince;
		failures += 1;
		if (failures >= PARTITIONED_AFTER_FAILURES && now - failingSince >= partitionedAfterMs) {
			spread(PARTITIONED, now);
		}
	}

	membership.rumors(TOPIC).forEach(rumor => {
		applyRumor(rumor);
	});
	const rumorSubscription = membership.onDidReceiveRumor(rumor => {
		applyRumor(rumor);
	});

	return {
		monitor: store => wrapStore(store, async (_call, _id, action) => {
			lastCalledAt = clock.monotonic();
			const answer = await action();
			const now = clock.monotonic();
			if (answer.isErr() && unansweredCodes.has(answer.error.code)) {
				recordFailure(now);
			} else {
				recordAnswer(now);
			}

			return answer;
		}),
		partitioned: () => partitioned,
		mustProbe: now => partitioned.has(selfId) && now - lastCalledAt >= PROBE_INTERVAL_MS,
		dispose() {
			rumorSubscription.dispose();
		},
	};
}
