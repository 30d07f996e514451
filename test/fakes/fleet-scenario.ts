/** Shared parts of scenarios with a fleet of daemons: seeds, availability zones, and dependencies with one mechanism switched off. */
import process from 'node:process';
import {createNotRun} from '../../src/base/common/failure.js';
import type {Membership} from '../../src/membership/common/membership.js';
import type {Snapshots} from '../../src/persistence/common/snapshots.js';
import type {Store} from '../../src/adapters/common/store.js';
import {wrapStore} from '../../src/adapters/common/wrapped-store.js';

/** Number of seeds with which each scenario runs. */
export const SEEDS = 3 * Number(process.env.FUZZ_FACTOR ?? 1);

/** Availability zones of the fleet; daemons are assigned to them round-robin. */
export const availabilityZones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria'];

/** Calls `run` `count` times, one call after the other. */
export async function repeat(count: number, run: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await run(index);
	}, Promise.resolve());
}

/** Runs a scenario with each seed, one after the other. */
export async function forEachSeed(run: (seed: number) => Promise<void>): Promise<void> {
	await repeat(SEEDS, async index => run(index + 1));
}

/** Returns the ids of the daemons of a fleet. */
export function listIds(count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `entry-${index + 1}`);
}

/** Creates snapshots in memory that survive a restart of their daemon, as a data folder does. */
export function createMemorySnapshots(): Snapshots {
	const texts = new Map<string, string>();
	return {
		read: name => texts.get(name),
		write(name, text) {
			texts.set(name, text);
		},
	};
}

/** Wraps a membership so that it neither sends nor receives rumors. */
export function withoutRumors(membership: Membership): Membership {
	return {
		...membership, spread: () => undefined, rumors: () => [], onDidReceiveRumor: () => ({dispose: () => undefined}),
	};
}

/** Wraps a store so that a call whose outcome is unknown is reported as not run, and the caller doesn't read back its write. */
export function withoutUnknownOutcomes(store: Store): Store {
	return wrapStore(store, async (_call, _id, action) => {
		const answer = await action();
		return answer.mapErr(failure => (failure.effect === 'outcomeUnknown' ? createNotRun(failure.code, failure, failure.message) : failure));
	});
}
