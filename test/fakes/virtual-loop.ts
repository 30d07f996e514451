/** A clock and a loop over virtual time, for deterministic tests of periodic work. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock} from '../../src/base/common/clock.js';
import {createDisposable, type Disposable} from '../../src/base/common/disposable.js';
import {jitter, type Random} from '../../src/base/common/random.js';
import type {Loop} from '../../src/kernel/common/loop.js';

type Entry = {
	readonly at: number;
	readonly action: (now: number) => void;
};

/** Virtual time with its controls. */
export type VirtualTime = {
	readonly clock: Clock;
	readonly loop: Loop;
	/** Runs everything that is due up to `durationMs` from now, in order, letting promises settle in between. */
	readonly advance: (durationMs: number) => Promise<void>;
};

/** Turns of the microtask queue that are let pass after each action. */
const SETTLE_TURNS = 40;

async function settle(): Promise<void> {
	await Array.from({length: SETTLE_TURNS}).reduce<Promise<void>>(async previous => previous.then(() => undefined), Promise.resolve());
}

/** Returns a seeded random source. */
export function createSeededRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Finds the place of a new entry among entries that are later or at the same time. */
function findPlace(entries: readonly Entry[], at: number): number {
	let low = 0;
	let high = entries.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if ((entries[middle]?.at ?? 0) > at) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Creates virtual time that starts at 0. Work awaits real promises only; no real timer is used. */
export function createVirtualTime(random: Random = () => 0.5): VirtualTime {
	let now = 0;
	// Kept in order of time, the earliest last.
	const entries: Entry[] = [];
	const clock: Clock = {monotonic: () => now, wall: () => 1_700_000_000_000 + now};

	function after(delayMs: number, action: (now: number) => void): Disposable {
		const entry: Entry = {at: now + Math.max(0, delayMs), action};
		entries.splice(findPlace(entries, entry.at), 0, entry);
		return createDisposable(() => {
			const index = entries.indexOf(entry);
			if (index !== -1) {
				entries.splice(index, 1);
			}
		});
	}

	async function runNext(until: number): Promise<boolean> {
		const next = entries.at(-1);
		if (next === undefined || next.at > until) {
			return false;
		}

		entries.pop();
		now = next.at;
		next.action(now);
		await settle();
		return true;
	}

	const loop: Loop = {
		after,
		every(task) {
			let active = true;
			let pending: Disposable | undefined;
			const schedule = () => {
				pending = after(jitter(task.periodMs, task.jitterShare ?? 0, random), at => {
					void Promise.resolve(task.run(at)).then(() => {
						if (active) {
							schedule();
						}
					});
				});
			};

			schedule();
			return createDisposable(() => {
				active = false;
				pending?.dispose();
			});
		},
		async sleep(delayMs) {
			return new Promise(resolve => {
				after(delayMs, () => {
					resolve();
				});
			});
		},
	};

	return {
		clock,
		loop,
		async advance(durationMs) {
			const until = now + durationMs;
			await settle();
			let more = true;
			while (more) {
				more = await runNext(until);
			}

			now = until;
		},
	};
}
