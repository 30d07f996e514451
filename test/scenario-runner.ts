/** Runs scenarios written in JSON against separate processes, and returns what was seen at the edges. */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {hashToHex} from '../src/base/common/hash.js';
import {shardOf} from '../src/leases/common/shards.js';
import {createHttpClient, readText} from '../src/platform/node/http-client.js';
import {createTrainerStandin, type TrainerRecord} from '../src/standins/node/trainer-standin.js';
import {
	callMember, customerKey, daemonNames, operatorKey, startWorld, waitUntil, type Member, type World,
} from './scenario-world.js';

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
	/** Sends a signal to a process, or starts it again. */
	z.strictObject({do: z.literal('signal'), to: z.string(), signal: z.enum(['SIGKILL', 'SIGSTOP', 'SIGCONT', 'SIGTERM'])}),
	z.strictObject({do: z.literal('start'), member: z.string()}),
	z.strictObject({do: z.literal('faults'), standin: z.string(), faults: z.record(z.string(), z.unknown())}),
	z.strictObject({do: z.literal('crash'), engine: z.string()}),
	/** Waits until engines have that many streams running, or have ended that many, or workers that many calls, or all engines serve that version, or engines were ordered again that often. */
	z.strictObject({do: z.literal('waitFor'), what: z.enum(['running', 'ended', 'calls', 'version', 'reorders']), atLeast: z.int()}),
	z.strictObject({do: z.literal('sleep'), ms: z.int()}),
	/** Waits for all background actions. */
	z.strictObject({do: z.literal('join')}),
	/** Waits until the daemons named serve and all shards are held. */
	z.strictObject({do: z.literal('settle'), daemons: z.array(z.string()).default([...daemonNames])}),
	z.strictObject({do: z.literal('exit'), member: z.string()}),
]);

const scenarioSchema = z.strictObject({
	name: z.string(),
	settings: z.record(z.string(), z.unknown()).default({}),
	engines: z.record(z.string(), z.unknown()).default({}),
	actions: z.array(action),
});

/** A scenario. */
export type Scenario = z.output<typeof scenarioSchema>;
type Action = z.output<typeof action>;

/** A caller's request and the answer to it; status 0 when the connection broke off. */
export type CallEntry = {
	readonly daemon: string;
	readonly route: string;
	readonly key: string | undefined;
	readonly body: string;
	readonly status: number;
	readonly replayed: boolean;
	readonly answer: string;
};

/** What was seen at the edges. */
export type EdgeRecord = {
	readonly calls: readonly CallEntry[];
	readonly steps: readonly TrainerRecord[];
	readonly exits: ReadonlyArray<{readonly member: string; readonly code: number | undefined}>;
	/** Daemons that were killed. */
	readonly killed: readonly string[];
	/** Records of the stand-ins by name. */
	readonly standins: Readonly<Record<string, StandinRecord>>;
	/** Logs of the daemons, to find the cause of a violation. */
	readonly logs: string;
};

const standinRecord = z.looseObject({
	streams: z.array(z.looseObject({
		model: z.string(), prompt: z.string(), seed: z.number(), outcome: z.string(), engine: z.string(),
	})).default([]),
	calls: z.union([z.array(z.object({body: z.string(), route: z.string()})), z.number()]).transform(calls => (typeof calls === 'number' ? [] : calls)).default([]),
	runs: z.array(z.object({body: z.string(), worker: z.string()})).default([]),
	latest: z.record(z.string(), z.number()).default({}),
	orders: z.array(z.looseObject({version: z.int(), verdict: z.string()})).default([]),
	status: z.looseObject({models: z.array(z.looseObject({version: z.int(), state: z.string()}))}).optional(),
});

/** What a stand-in recorded, as far as checkers read it. */
export type StandinRecord = z.output<typeof standinRecord>;

const statusSchema = z.looseObject({
	configurationVersion: z.int(),
	shards: z.looseObject({count: z.int(), held: z.array(z.looseObject({shard: z.int()})), withoutKnownOwner: z.array(z.int())}),
});

const CALL_LIMIT_MS = 40_000;
const STEP_LIMIT_MS = 90_000;
const standinNames = ['engine-1', 'engine-2', 'engine-3', 'worker-1', 'worker-2', 'store', 'weight-store'];

/** Reads a scenario from the folder of scenarios. */
export function readScenario(name: string): Scenario {
	return scenarioSchema.parse(JSON.parse(readFileSync(path.join(import.meta.dirname, 'scenarios', `${name}.json`), 'utf8')));
}

/** Runs a scenario from start to end. */
export async function runScenario(scenario: Scenario): Promise<EdgeRecord> {
	const world = await startWorld(scenario.settings, scenario.engines);
	try {
		return await runIn(world, scenario);
	} finally {
		await world.dispose();
	}
}

async function runIn(world: World, scenario: Scenario): Promise<EdgeRecord> {
	const calls: CallEntry[] = [];
	const steps: TrainerRecord[] = [];
	const exits: Array<{readonly member: string; readonly code: number | undefined}> = [];
	const killed: string[] = [];
	const pending: Array<Promise<void>> = [];
	const bound = new Map<string, string>();

	/** Finds a process by name; `owner`, `other-1` and `other-2` are bound as of the last settling. */
	function find(name: string): Member {
		const member = world.members.get(bound.get(name) ?? name);
		if (!member) {
			throw new Error(`no process ${name}`);
		}

		return member;
	}

	async function readRecords(prefix: string): Promise<readonly StandinRecord[]> {
		return Promise.all(standinNames.filter(name => name.startsWith(prefix)).map(async name => standinRecord.parse(await callMember(find(name), 'GET /record'))));
	}

	async function settle(names: readonly string[]): Promise<void> {
		await waitUntil('daemons serve and hold all shards', async () => {
			const views = await Promise.all(names.map(async name => {
				const status = await callMember(find(name), 'GET /v1/status', undefined, operatorKey);
				return {name: bound.get(name) ?? name, view: statusSchema.parse(status)};
			}));
			const held = views.flatMap(({name, view}) => view.shards.held.map(entry => ({name, shard: entry.shard})));
			const count = views[0]?.view.shards.count ?? -1;
			const isSettled = held.length === count && views.every(({view}) => view.configurationVersion > 0 && view.shards.withoutKnownOwner.length === 0);
			if (isSettled) {
				const owner = held.find(entry => entry.shard === shardOf('trainer', 'diag-trainer', count))?.name ?? '';
				const others = daemonNames.filter(name => name !== owner);
				[['owner', owner], ['other-1', others[0]], ['other-2', others[1]]].forEach(([alias, name]) => {
					bound.set(alias ?? '', name ?? '');
				});
			}

			return isSettled;
		});
	}

	async function callOnce(call: Extract<Action, {do: 'call'}>, index: number): Promise<void> {
		const number = (text: string) => text.replaceAll('#', String(index));
		const [method = '', path = ''] = call.route.split(' ');
		const body = number(JSON.stringify(call.body));
		const key = call.key === undefined ? undefined : number(call.key);
		const answer = await createHttpClient(find(call.daemon).url).call({
			step: 'call', method, path, body, timeoutMs: CALL_LIMIT_MS, headers: {'content-type': 'application/json', authorization: `Bearer ${customerKey}`, ...(key && {'idempotency-key': key})},
		});
		calls.push({
			daemon: bound.get(call.daemon) ?? call.daemon, route: call.route, key, body,
			...answer.match(
				whole => ({status: whole.status, replayed: whole.headers['idempotency-replayed'] === 'true', answer: readText(whole)}),
				failure => ({status: 0, replayed: false, answer: failure.effect}),
			),
		});
	}

	async function runStep({do: _, background: __, groups, daemons, prompt, ...step}: Extract<Action, {do: 'step'}>): Promise<void> {
		const trainer = createTrainerStandin({
			daemonUrls: daemons.map(name => find(name).url), apiKey: customerKey, trainer: 'diag-trainer', model: 'diag', weightStoreUrl: find('weight-store').url,
		});
		const prompts = Array.from({length: groups}, (_, group) => prompt.replaceAll('#', String(group)));
		steps.push(await trainer.runStep({
			...step, weightVersion: 1, prompts, limitMs: STEP_LIMIT_MS,
		}));
	}

	async function waitFor({what, atLeast}: Extract<Action, {do: 'waitFor'}>): Promise<void> {
		await waitUntil(`${atLeast} ${what}`, async () => {
			const records = await readRecords(what === 'calls' ? 'worker' : 'engine');
			if (what === 'version') {
				return records.every(record => record.status?.models.every(model => model.state === 'serving' && model.version >= atLeast));
			}

			if (what === 'reorders') {
				return records.reduce((sum, record) => sum + Math.max(0, record.orders.length - 1), 0) >= atLeast;
			}

			const seen = what === 'calls' ? records.flatMap(record => record.calls).length : records.flatMap(record => record.streams).filter(stream => stream.outcome === what).length;
			return seen >= atLeast;
		});
	}

	async function perform(next: Action): Promise<void> {
		switch (next.do) {
			case 'call': {
				await Promise.all(Array.from({length: next.times}, async (_, index) => callOnce(next, index)));
				return;
			}

			case 'step': {
				return runStep(next);
			}

			case 'signal': {
				find(next.to).signal(next.signal);
				killed.push(...(next.signal === 'SIGKILL' ? [bound.get(next.to) ?? next.to] : []));
				return;
			}

			case 'start': {
				find(next.member).start();
				return;
			}

			case 'faults': {
				await callMember(find(next.standin), 'POST /faults', next.faults);
				return;
			}

			case 'crash': {
				await callMember(find(next.engine), 'POST /crash').catch(() => undefined);
				return;
			}

			case 'waitFor': {
				return waitFor(next);
			}

			case 'sleep': {
				await sleep(next.ms);
				return;
			}

			case 'join': {
				await Promise.all(pending);
				return;
			}

			case 'settle': {
				return settle(next.daemons);
			}

			case 'exit': {
				exits.push({member: next.member, code: await find(next.member).ended()});
			}
		}
	}

	await waitUntil('stand-ins listen', async () => {
		const records = await readRecords('');
		return records.length === standinNames.length;
	});
	await waitUntil('the configuration is accepted', async () => Boolean(await callMember(find('entry-1'), 'PUT /v1/configuration', {
		operator: 'eleni',
		ifVersion: 0,
		lists: {
			plans: [{
				name: 'workshop', customer: 'kivotos', keyHashes: [hashToHex(customerKey)], trainers: ['diag-trainer'],
			}],
			grants: ['diag-models', 'rounds-app'].map(pool => ({
				plan: 'workshop', pool, requestsPerSecond: 1000, tokensPerSecond: 1_000_000,
			})),
		},
	}, operatorKey)));
	await settle(daemonNames);
	await scenario.actions.reduce(async (previous, next) => {
		await previous;
		const done = perform(next);
		if ('background' in next && next.background) {
			pending.push(done);
			return;
		}

		await done;
	}, Promise.resolve());
	await Promise.all(pending);
	// A stand-in that has just crashed may break the first reading off.
	let records: ReadonlyArray<readonly [string, StandinRecord]> = [];
	await waitUntil('records are read', async () => {
		records = await Promise.all(standinNames.map(async name => [name, standinRecord.parse(await callMember(find(name), 'GET /record'))] as const));
		return true;
	});
	return {
		calls, steps, exits, killed, standins: Object.fromEntries(records), logs: daemonNames.map(name => `${name}:\n${find(name).log()}`).join('\n'),
	};
}
