/** A clock and a loop in virtual time, for deterministic tests of periodic tasks. */
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

/** Virtual time, which only `advance` moves forward. */
export type VirtualTime = {
	readonly clock: Clock;
	readonly loop: Loop;
	/** Advances the time by `durationMs`. Runs the actions due until then in order, and lets promises settle after each action. */
	readonly advance: (durationMs: number) => Promise<void>;
};

/** Number of microtask turns that are awaited after each action, so that promises settle. */
const SETTLE_MICROTASKS = 40;

async function settle(): Promise<void> {
	await Array.from({length: SETTLE_MICROTASKS}).reduce<Promise<void>>(async previous => previous.then(() => undefined), Promise.resolve());
}

/** Returns a seeded random source. */
export function createSeededRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/** Finds the insertion index of a new entry, so that it follows existing entries in execution order when they are due at the same time. */
function findInsertionIndex(entries: readonly Entry[], at: number): number {
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

/** Creates virtual time that starts at 0. No real timer is used: the code under test may await promises, but no real delays. */
export function createVirtualTime(random: Random = () => 0.5): VirtualTime {
	let now = 0;
	// Sorted by time, the earliest entry last.
	const entries: Entry[] = [];
	const clock: Clock = {monotonic: () => now, wall: () => 1_700_000_000_000 + now};

	function after(delayMs: number, action: (now: number) => void): Disposable {
		const entry: Entry = {at: now + Math.max(0, delayMs), action};
		entries.splice(findInsertionIndex(entries, entry.at), 0, entry);
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
			let isActive = true;
			let pending: Disposable | undefined;
			const schedule = () => {
				pending = after(jitter(task.periodMs, task.jitterShare ?? 0, random), at => {
					void Promise.resolve(task.run(at)).then(() => {
						if (isActive) {
							schedule();
						}
					});
				});
			};

			schedule();
			return createDisposable(() => {
				isActive = false;
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
			let hasMore = true;
			while (hasMore) {
				hasMore = await runNext(until);
			}

			now = until;
		},
	};
}

/** A loop whose actions can be held back, as those of a process that stands still are. */
export type FreezableLoop = Loop & {
	readonly freeze: () => void;
	/** Runs the actions that have become due meanwhile, in their order. */
	readonly thaw: () => void;
};

/** Creates the loop of one process over the loop that all processes of a test share. */
export function createFreezableLoop({clock, loop: {after, every, sleep}}: Pick<VirtualTime, 'clock' | 'loop'>): FreezableLoop {
	let held: Array<() => void> | undefined;
	const run = (action: () => void): void => {
		if (held === undefined) {
			action();
		} else {
			held.push(action);
		}
	};

	return {
		after: (delayMs, action) => after(delayMs, () => {
			run(() => {
				action(clock.monotonic());
			});
		}),
		every: task => every({
			...task, run: async () => new Promise<void>(resolve => {
				run(() => {
					void Promise.resolve(task.run(clock.monotonic())).then(resolve);
				});
			}),
		}),
		sleep: async delayMs => sleep(delayMs).then(async () => new Promise(resolve => {
			run(resolve);
		})),
		freeze() {
			held = [];
		},
		thaw() {
			const due = held ?? [];
			held = undefined;
			due.forEach(action => {
				action();
			});
		},
	};
}
