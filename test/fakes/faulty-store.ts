/** A store behind delays, outages and lost answers, and gates that freeze or kill a daemon at its next step. */
import {err} from 'neverthrow';
import {createNotRun, createOutcomeUnknown} from '../../src/base/common/failure.js';
import type {Random} from '../../src/base/common/random.js';
import type {Store} from '../../src/adapters/common/store.js';
import {wrapStore} from '../../src/adapters/common/wrapped-store.js';
import type {VirtualTime} from './virtual-loop.js';

/** Lets a daemon's steps pass, unless it is frozen or dead. */
export type Gate = {
	readonly pass: () => Promise<void>;
	readonly pause: (durationMs: number) => void;
	readonly kill: () => void;
};

/** Faults of the store, which tests change as they go. */
export type StoreControl = {
	down: boolean;
	/** Share of writes whose answer is lost after they took effect. */
	lostShare: number;
	readonly random: Random;
};

const LONGEST_DELAY_MS = 20;
/** What a dead daemon waits for. */
const never = new Promise<void>(() => {
	// Stays pending.
});

/** Creates an open gate. */
export function createGate(time: VirtualTime): Gate {
	let pausedUntil = 0;
	let dead = false;

	async function pass(): Promise<void> {
		if (dead) {
			await never;
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
			dead = true;
		},
	};
}

/** Creates a view of a store for one daemon. A call may take effect after its daemon has died. */
export function createDelayedStore(store: Store, time: VirtualTime, gate: Gate, control: StoreControl): Store {
	const origin = {step: 'call store', peer: 'store'};

	return wrapStore(store, async (kind, _id, action) => {
		await gate.pass();
		await time.loop.sleep(control.random() * LONGEST_DELAY_MS);
		const result = control.down ? err(createNotRun('unavailable', origin, 'the store is down')) : await action();
		await time.loop.sleep(control.random() * LONGEST_DELAY_MS);
		await gate.pass();
		const changes = kind === 'write' || kind === 'remove';
		return changes && !control.down && control.random() < control.lostShare
			? err(createOutcomeUnknown('unavailable', origin, 'the answer was lost'))
			: result;
	});
}
