/** Schema of the JSON scenarios. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {z} from 'zod';
import {daemonNames} from './scenario-world.js';

const background = z.boolean().default(false);
const action = z.discriminatedUnion('do', [
	/** Sends `times` concurrent calls to a route of a daemon. `#` in key and body is replaced by the index of the call. */
	z.strictObject({
		do: z.literal('call'), daemon: z.string(), route: z.string(), body: z.unknown(), key: z.string().optional(), times: z.int().default(1), background,
	}),
	/** Runs a step of a trainer. `#` in the prompt is replaced by the index of the group. */
	z.strictObject({
		do: z.literal('step'), daemons: z.array(z.string()), step: z.int(), groups: z.int().default(8), samplesPerGroup: z.int().default(8),
		maximumTokens: z.int().default(40), prompt: z.string().default('fault note #'),
		publish: z.strictObject({afterSamples: z.int(), version: z.int()}).optional(), background,
	}),
	/** Publishes weights through a daemon; repeats this until they are accepted. */
	z.strictObject({do: z.literal('publish'), daemon: z.string(), version: z.int()}),
	/** Changes the rate of all grants through a daemon; repeats this until the change is accepted. */
	z.strictObject({do: z.literal('configure'), daemon: z.string(), requestsPerSecond: z.int()}),
	/** Sends a signal to a process. */
	z.strictObject({do: z.literal('signal'), to: z.string(), signal: z.enum(['SIGKILL', 'SIGSTOP', 'SIGCONT', 'SIGTERM'])}),
	/** Starts a process again. */
	z.strictObject({do: z.literal('start'), member: z.string()}),
	/** Cuts the links from a daemon to other processes, immediately or from the first chunk that contains `at`; with `mutual` also the links back. */
	z.strictObject({
		do: z.literal('cut'), from: z.string(), to: z.array(z.string()), mutual: z.boolean().default(false), at: z.string().default(''),
	}),
	/** Restores all cut links; the bytes held back then arrive late. */
	z.strictObject({do: z.literal('heal')}),
	z.strictObject({do: z.literal('faults'), standin: z.string(), faults: z.record(z.string(), z.unknown())}),
	z.strictObject({do: z.literal('crash'), engine: z.string()}),
	/**
	 * Waits until `what` is at least `atLeast`: the number of streams that have `started` or `ended` at engines, of `calls` at
	 * workers, of repeated orders to engines (`reorders`), of cut links that hold bytes back (`held`), of orders that arrived
	 * with an old fencing number (`lateOrders`), of ordered pairs of daemons where the first does not see the second alive (`missing`), of
	 * shards without a holder (`lapsed`), or the lowest `version` that an engine serves.
	 * Only streams and calls whose prompt or body contains `containing` are counted.
	 */
	z.strictObject({
		do: z.literal('waitFor'), what: z.enum(['started', 'ended', 'calls', 'version', 'reorders', 'held', 'missing', 'lapsed', 'lateOrders']), atLeast: z.int(), containing: z.string().default(''),
	}),
	/** Waits until all daemons have the newest configuration. */
	z.strictObject({do: z.literal('agree')}),
	/** Waits for all background actions. */
	z.strictObject({do: z.literal('join')}),
	/** Waits until the given daemons have a configuration, see each other alive, and hold all shards. */
	z.strictObject({do: z.literal('settle'), daemons: z.array(z.string()).default([...daemonNames])}),
	z.strictObject({do: z.literal('exit'), member: z.string()}),
]);

const scenarioSchema = z.strictObject({
	name: z.string(),
	/** The object whose owner has the alias `owner`; the other daemons are `other-1` and `other-2`. With duty `key`, `name` is an idempotency key of the stock count. */
	owned: z.strictObject({duty: z.enum(['plan', 'trainer', 'pool', 'key']), name: z.string()}).default({duty: 'trainer', name: 'diag-trainer'}),
	/** The initial rate of all grants. */
	requestsPerSecond: z.int().default(1000),
	settings: z.record(z.string(), z.unknown()).default({}),
	engines: z.record(z.string(), z.unknown()).default({}),
	actions: z.array(action),
});

/** A scenario. */
export type Scenario = z.output<typeof scenarioSchema>;

/** An action of a scenario; with a type argument, only actions of that kind. */
export type Action<Kind extends Scenario['actions'][number]['do'] = Scenario['actions'][number]['do']> = Extract<Scenario['actions'][number], {do: Kind}>;

/** Reads a scenario from the folder `scenarios`; throws when it does not match the schema. */
export function readScenario(name: string): Scenario {
	return scenarioSchema.parse(JSON.parse(readFileSync(path.join(import.meta.dirname, 'scenarios', `${name}.json`), 'utf8')));
}
