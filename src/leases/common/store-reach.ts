/**
 * Which daemons are cut off from the store. Each judges itself by its own calls and spreads a change as a rumor, so that
 * the others pass over it in the order of preference. Views may differ or lag: the lease alone makes an owner.
 */
import type {Clock} from '../../base/common/clock.js';
import type {Disposable} from '../../base/common/disposable.js';
import type {FailureCode} from '../../base/common/failure.js';
import type {Membership, Rumor} from '../../membership/common/membership.js';
import type {Store} from '../../adapters/common/store.js';
import {wrapStore} from '../../adapters/common/wrapped-store.js';

/** What the reach of a daemon rests on. */
export type StoreReachOptions = {
	readonly membership: Pick<Membership, 'self' | 'rumors' | 'onDidHear' | 'spread'>;
	readonly clock: Clock;
	/** Time from the first failure in a row after which this daemon counts itself as cut off. */
	readonly cutAfterMs: number;
};

/** The reach of all daemons, as one daemon knows it. */
export type StoreReach = Disposable & {
	/** Returns a view of the store whose calls are judged. */
	readonly judge: (store: Store) => Store;
	/** The daemons that have said to be cut off. */
	readonly cut: () => ReadonlySet<string>;
	/** Whether this daemon is cut off and has not called the store for so long that it should try. */
	readonly mustProbe: (now: number) => boolean;
};

/** The topic of rumors about the reach of the store. */
const TOPIC = 'store-reach';
const CUT = 'cut';
const REACHED = 'reached';

/** Failures in a row before a daemon counts itself as cut off. */
const CUT_FAILURES = 3;

/**
 * Time with answers only before a daemon takes its word back. When the whole fleet was cut off, the former candidates
 * take their shards in that time: they alone have watched the leases, so anybody else would have to wait.
 */
const RETURN_AFTER_MS = 5000;

/** Time between two changes that a daemon spreads about itself. */
const CHANGE_INTERVAL_MS = 10_000;

/** Time after its last call in which a daemon that is cut off tries again. */
const PROBE_AFTER_MS = 10_000;

const unanswered: ReadonlySet<FailureCode> = new Set(['unavailable', 'deadlineExceeded']);

/** Creates the reach of a daemon that has made no call yet. */
export function createStoreReach({membership, clock, cutAfterMs}: StoreReachOptions): StoreReach {
	const selfId = membership.self().id;
	const cut = new Set<string>();
	let version = 0;
	let failures = 0;
	let failingSince = 0;
	let answeringSince = clock.monotonic();
	let calledAt = Number.NEGATIVE_INFINITY;
	let changedAt = Number.NEGATIVE_INFINITY;

	function hear(rumor: Rumor): void {
		if (rumor.topic !== TOPIC) {
			return;
		}

		if (rumor.origin === selfId) {
			version = Math.max(version, rumor.version);
		}

		if (rumor.value === CUT) {
			cut.add(rumor.origin);
		} else {
			cut.delete(rumor.origin);
		}
	}

	/** Spreads a change; what an earlier start of this daemon has spread is corrected as well. */
	function spread(value: string, now: number): void {
		if (cut.has(selfId) === (value === CUT) || now - changedAt < CHANGE_INTERVAL_MS) {
			return;
		}

		changedAt = now;
		const rumor = {
			topic: TOPIC, origin: selfId, version: Math.max(version + 1, Math.floor(clock.wall())), value,
		};
		hear(rumor);
		membership.spread(rumor);
	}

	function noteAnswer(now: number): void {
		answeringSince = failures === 0 ? answeringSince : now;
		failures = 0;
		if (now - answeringSince >= RETURN_AFTER_MS) {
			spread(REACHED, now);
		}
	}

	function noteFailure(now: number): void {
		failingSince = failures === 0 ? now : failingSince;
		failures += 1;
		if (failures >= CUT_FAILURES && now - failingSince >= cutAfterMs) {
			spread(CUT, now);
		}
	}

	membership.rumors(TOPIC).forEach(rumor => {
		hear(rumor);
	});
	const hearing = membership.onDidHear(rumor => {
		hear(rumor);
	});

	return {
		judge: store => wrapStore(store, async (_call, _id, action) => {
			calledAt = clock.monotonic();
			const answer = await action();
			const now = clock.monotonic();
			if (answer.isErr() && unanswered.has(answer.error.code)) {
				noteFailure(now);
			} else {
				noteAnswer(now);
			}

			return answer;
		}),
		cut: () => cut,
		mustProbe: now => cut.has(selfId) && now - calledAt >= PROBE_AFTER_MS,
		dispose() {
			hearing.dispose();
		},
	};
}
