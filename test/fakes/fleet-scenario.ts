/** What scenarios over a fleet of daemons share: seeds, zones, and dependencies with a mechanism switched off. */
import process from 'node:process';
import {createNotRun} from '../../src/base/common/failure.js';
import type {Membership} from '../../src/membership/common/membership.js';
import type {Snapshots} from '../../src/persistence/common/snapshots.js';
import type {Store} from '../../src/adapters/common/store.js';
import {wrapStore} from '../../src/adapters/common/wrapped-store.js';

/** Seeds of each scenario. */
export const SEEDS = 3 * Number(process.env.FUZZ_FACTOR ?? 1);

/** Zones of the fleet; daemons are dealt out to them in turn. */
export const zones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria'];

/** Runs something a number of times, one after the other. */
export async function repeat(count: number, run: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await run(index);
	}, Promise.resolve());
}

/** Runs a scenario with each seed. */
export async function eachSeed(run: (seed: number) => Promise<void>): Promise<void> {
	await repeat(SEEDS, async index => run(index + 1));
}

/** Names the daemons of a fleet. */
export function listIds(count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `entry-${index + 1}`);
}

/** A data folder that outlives its daemon. */
export function createMemorySnapshots(): Snapshots {
	const texts = new Map<string, string>();
	return {
		read: name => texts.get(name),
		write(name, text) {
			texts.set(name, text);
		},
	};
}

/** Membership that neither spreads nor hears rumors. */
export function withoutRumors(membership: Membership): Membership {
	return {
		...membership, spread: () => undefined, rumors: () => [], onDidReceiveRumor: () => ({dispose: () => undefined}),
	};
}

/** A store by which a write whose answer was lost counts as one without effect, so that it is not read back. */
export function withoutDoubt(store: Store): Store {
	return wrapStore(store, async (_call, _id, action) => {
		const answer = await action();
		return answer.mapErr(failure => (failure.effect === 'outcomeUnknown' ? createNotRun(failure.code, failure, failure.message) : failure));
	});
}
