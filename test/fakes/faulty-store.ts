/** Wraps a store with delays, outages and lost answers, and provides gates that pause or stop a daemon at its next store call. */
import {err} from 'neverthrow';
import {createNotRun, createOutcomeUnknown} from '../../src/base/common/failure.js';
import type {Random} from '../../src/base/common/random.js';
import type {Store} from '../../src/adapters/common/store.js';
import {wrapStore} from '../../src/adapters/common/wrapped-store.js';
import type {VirtualTime} from './virtual-loop.js';

/** Blocks the store calls of a daemon while it is paused, and forever once it is killed. */
export type Gate = {
	readonly pass: () => Promise<void>;
	readonly pause: (durationMs: number) => void;
	readonly kill: () => void;
};

/** Faults of the store; tests change them while a scenario runs. */
export type StoreFaults = {
	down: boolean;
	/** Share of writes and removals, from 0 to 1, whose answer is lost after they took effect. */
	lostAnswerShare: number;
	readonly random: Random;
};

const MAXIMUM_DELAY_MS = 20;
/** Never resolves, so that a killed daemon makes no progress. */
const neverResolved = new Promise<void>(() => {
	// Never resolves.
});

/** Creates an open gate. */
export function createGate(time: VirtualTime): Gate {
	let pausedUntil = 0;
	let isKilled = false;

	async function pass(): Promise<void> {
		if (isKilled) {
			await neverResolved;
		}

		const waitMs = pausedUntil - time.clock.monotonic();
		if (waitMs > 0) {
			await time.loop.sleep(waitMs);
			await pass();
		}
	}

	return {
		pass,
		pause(durationMs) {
			pausedUntil = time.clock.monotonic() + durationMs;
		},
		kill() {
			isKilled = true;
		},
	};
}

/** Creates a view of a store for one daemon. A call may take effect after its daemon was killed. */
export function createDelayedStore(store: Store, time: VirtualTime, gate: Gate, control: StoreFaults): Store {
	const origin = {step: 'call store', peer: 'store'};

	return wrapStore(store, async (kind, _id, action) => {
		await gate.pass();
		await time.loop.sleep(control.random() * MAXIMUM_DELAY_MS);
		const result = control.down ? err(createNotRun('unavailable', origin, 'the store is down')) : await action();
		await time.loop.sleep(control.random() * MAXIMUM_DELAY_MS);
		await gate.pass();
		const changes = kind === 'write' || kind === 'remove';
		return changes && !control.down && control.random() < control.lostAnswerShare
			? err(createOutcomeUnknown('unavailable', origin, 'the answer was lost'))
			: result;
	});
}
