/** A store behind delays, outages and lost answers, and gates that freeze or kill a daemon at its next step. */
import {err, type Result} from 'neverthrow';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../src/base/common/failure.js';
import type {Random} from '../../src/base/common/random.js';
import {Store} from '../../src/platform/common/store.js';
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

	async function call<T>(action: () => Promise<Result<T, Failure>>, changes: boolean): Promise<Result<T, Failure>> {
		await gate.pass();
		await time.loop.sleep(control.random() * LONGEST_DELAY_MS);
		const result: Result<T, Failure> = control.down ? err(createNotRun('unavailable', origin, 'the store is down')) : await action();
		await time.loop.sleep(control.random() * LONGEST_DELAY_MS);
		await gate.pass();
		return changes && !control.down && control.random() < control.lostShare
			? err(createOutcomeUnknown('unavailable', origin, 'the answer was lost'))
			: result;
	}

	return new (class extends Store {
		override read: Store['read'] = async id => call(async () => store.read(id), false);
		override write: Store['write'] = async write => call(async () => store.write(write), true);
		override remove: Store['remove'] = async removal => call(async () => store.remove(removal), true);
		override list: Store['list'] = async (kind, prefix) => call(async () => store.list(kind, prefix), false);
		override watch: Store['watch'] = (kind, listener) => store.watch(kind, listener);
	})();
}
