/** The form of scenarios written in JSON. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {z} from 'zod';
import {daemonNames} from './scenario-world.js';

const background = z.boolean().default(false);
const action = z.discriminatedUnion('do', [
	/** Calls a route of a daemon, `times` times at once; `#` in key and body becomes the number of the call. */
	z.strictObject({
		do: z.literal('call'), daemon: z.string(), route: z.string(), body: z.unknown(), key: z.string().optional(), times: z.int().default(1), background,
	}),
	/** Runs a trainer's step; `#` in the prompt becomes the number of the group. */
	z.strictObject({
		do: z.literal('step'), daemons: z.array(z.string()), step: z.int(), groups: z.int().default(8), samplesPerGroup: z.int().default(8),
		maximumTokens: z.int().default(40), prompt: z.string().default('fault note #'),
		publish: z.strictObject({afterSamples: z.int(), version: z.int()}).optional(), background,
	}),
	/** Publishes weights through a daemon, again until they are accepted. */
	z.strictObject({do: z.literal('publish'), daemon: z.string(), version: z.int()}),
	/** Changes the rate of all grants through a daemon. */
	z.strictObject({do: z.literal('configure'), daemon: z.string(), requestsPerSecond: z.int()}),
	/** Sends a signal to a process, or starts it again. */
	z.strictObject({do: z.literal('signal'), to: z.string(), signal: z.enum(['SIGKILL', 'SIGSTOP', 'SIGCONT', 'SIGTERM'])}),
	z.strictObject({do: z.literal('start'), member: z.string()}),
	/** Cuts what a daemon calls on others, at once or from the first bytes `at` on; with `mutual` also what they call on it. */
	z.strictObject({
		do: z.literal('cut'), from: z.string(), to: z.array(z.string()), mutual: z.boolean().default(false), at: z.string().default(''),
	}),
	/** Heals all cuts: what was held back arrives late. */
	z.strictObject({do: z.literal('heal')}),
	z.strictObject({do: z.literal('faults'), standin: z.string(), faults: z.record(z.string(), z.unknown())}),
	z.strictObject({do: z.literal('crash'), engine: z.string()}),
	/**
	 * Waits until that many streams have started or ended at engines, or calls come to workers, or all engines serve that
	 * version, or engines were ordered again that often, or cut links hold bytes, or orders with old fencing numbers came, or daemons miss each other, or shards lapsed.
	 */
	z.strictObject({do: z.literal('waitFor'), what: z.enum(['started', 'ended', 'calls', 'version', 'reorders', 'held', 'missing', 'lapsed', 'lateOrders']), atLeast: z.int()}),
	/** Waits until all daemons serve the newest configuration. */
	z.strictObject({do: z.literal('agree')}),
	/** Waits for all background actions. */
	z.strictObject({do: z.literal('join')}),
	/** Waits until the daemons named serve, see each other alive, and hold all shards. */
	z.strictObject({do: z.literal('settle'), daemons: z.array(z.string()).default([...daemonNames])}),
	z.strictObject({do: z.literal('exit'), member: z.string()}),
]);

const scenarioSchema = z.strictObject({
	name: z.string(),
	/** The duty whose owner is called `owner`; the other daemons are `other-1` and `other-2`. */
	owned: z.strictObject({duty: z.enum(['plan', 'trainer', 'pool', 'key']), name: z.string()}).default({duty: 'trainer', name: 'diag-trainer'}),
	settings: z.record(z.string(), z.unknown()).default({}),
	engines: z.record(z.string(), z.unknown()).default({}),
	actions: z.array(action),
});

/** A scenario. */
export type Scenario = z.output<typeof scenarioSchema>;

/** One action of a scenario, or those of one kind. */
export type Action<Kind extends Scenario['actions'][number]['do'] = Scenario['actions'][number]['do']> = Extract<Scenario['actions'][number], {do: Kind}>;

/** Reads a scenario from the folder of scenarios. */
export function readScenario(name: string): Scenario {
	return scenarioSchema.parse(JSON.parse(readFileSync(path.join(import.meta.dirname, 'scenarios', `${name}.json`), 'utf8')));
}
