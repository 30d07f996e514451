/** Runs JSON scenarios against separate processes, and returns what was observed outside the daemons. */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {hashToHex} from '../src/base/common/hash.js';
import {shardOf} from '../src/leases/common/shards.js';
import {readText} from '../src/adapters/node/http-responses.js';
import {createHttpClient} from '../src/adapters/node/http-client.js';
import {claimKeyOf} from '../src/requests/common/claims.js';
import {createTrainerStandin, type TrainerRecord} from '../src/standins/node/trainer-standin.js';
import {
	standinRecord, type CallEntry, type EdgeRecord, type StandinRecord,
} from './edge-record.js';
import {keepEvidence} from './scenario-evidence.js';
import type {Action, Scenario} from './scenario-schema.js';
import {
	callMember, customerKey, daemonNames, operatorKey, startWorld, waitUntil, type Member, type World,
} from './scenario-world.js';

const statusSchema = z.looseObject({
	configurationVersion: z.int(),
	members: z.array(z.looseObject({state: z.string()})),
	shards: z.looseObject({count: z.int(), held: z.array(z.looseObject({shard: z.int()})), withoutKnownOwner: z.array(z.int())}),
});

const CALL_TIMEOUT_MS = 40_000;
const STEP_TIMEOUT_MS = 90_000;
const OBSERVATION_INTERVAL_MS = 100;
const standinNames = ['engine-1', 'engine-2', 'engine-3', 'worker-1', 'worker-2', 'store', 'weight-store'];

/** Starts the processes of a scenario, runs its actions and stops the processes. */
export async function runScenario(scenario: Scenario): Promise<EdgeRecord> {
	const world = await startWorld(scenario.settings, scenario.engines, scenario.actions.some(next => next.do === 'cut'));
	try {
		return await runActions(world, scenario);
	} catch (error) {
		const folder = await keepEvidence(scenario.name, world);
		throw new Error(`${String(error)}; statuses and logs of the processes in ${folder}`, {cause: error});
	} finally {
		await world.dispose();
	}
}

/** Creates the lists of all scenarios; `requestsPerSecond` is the rate of all grants. */
function createLists(requestsPerSecond: number) {
	return {
		plans: [{
			name: 'workshop', customer: 'kivotos', keyHashes: [hashToHex(customerKey)], trainers: ['diag-trainer'],
		}],
		grants: ['diag-models', 'rounds-app'].map(pool => ({
			plan: 'workshop', pool, requestsPerSecond, tokensPerSecond: 1_000_000,
		})),
	};
}

async function runActions(world: World, scenario: Scenario): Promise<EdgeRecord> {
	const calls: CallEntry[] = [];
	const steps: TrainerRecord[] = [];
	const exits: Array<{readonly member: string; readonly code: number | undefined}> = [];
	const configurations: Array<{readonly daemon: string; readonly version: number}> = [];
	const killed: string[] = [];
	const pending: Array<Promise<void>> = [];
	const cutLinks = new Set<string>();
	const nameByAlias = new Map<string, string>();
	const observing = new AbortController();
	let newestVersion = 0;

	/** Returns the name of a process. The aliases `owner`, `other-1` and `other-2` are resolved once all daemons have settled for the first time. */
	function resolveName(name: string): string {
		return nameByAlias.get(name) ?? name;
	}

	function find(name: string): Member {
		const member = world.members.get(resolveName(name));
		if (!member) {
			throw new Error(`scenario has no process ${name}`);
		}

		return member;
	}

	async function readRecords(prefix: string): Promise<readonly StandinRecord[]> {
		return Promise.all(standinNames.filter(name => name.startsWith(prefix)).map(async name => standinRecord.parse(await callMember(find(name), 'GET /record'))));
	}

	async function readStatuses(names: readonly string[]) {
		return Promise.all(names.map(async name => statusSchema.parse(await callMember(find(name), 'GET /v1/status', undefined, operatorKey))));
	}

	function countAlive(view: z.output<typeof statusSchema>): number {
		return view.members.filter(member => member.state === 'alive').length;
	}

	async function awaitSettled(names: readonly string[]): Promise<void> {
		await waitUntil('daemons have a configuration, see each other alive, and hold all shards', async () => {
			const views = await readStatuses(names);
			const held = views.flatMap(view => view.shards.held).length;
			return views.every(view => held === view.shards.count && view.configurationVersion > 0 && countAlive(view) >= names.length && view.shards.withoutKnownOwner.length === 0);
		});
	}

	async function bindAliases(): Promise<void> {
		const {duty} = scenario.owned;
		const name = duty === 'key'
			? claimKeyOf({
				plan: 'workshop', pool: 'rounds-app', method: 'POST', path: '/stock/count', idempotencyKey: scenario.owned.name,
			})
			: scenario.owned.name;
		const views = await readStatuses(daemonNames);
		const owned = shardOf(duty, name, views[0]?.shards.count ?? 1);
		const owner = daemonNames.find((_, index) => views[index]?.shards.held.some(({shard}) => shard === owned)) ?? daemonNames[0];
		const [first, second] = daemonNames.filter(daemon => daemon !== owner);
		nameByAlias.set('owner', owner).set('other-1', first ?? '').set('other-2', second ?? '');
	}

	async function configure(daemon: string, requestsPerSecond: number): Promise<void> {
		await waitUntil('the configuration is accepted', async () => {
			const [view] = await readStatuses([daemon]);
			const accepted = await callMember(find(daemon), 'PUT /v1/configuration', {
				operator: 'eleni', ifVersion: view?.configurationVersion, lists: createLists(requestsPerSecond),
			}, operatorKey);
			newestVersion = z.object({version: z.int()}).parse(accepted).version;
			return true;
		});
	}

	/** Records the configuration version of a daemon until the scenario has ended. */
	async function observe(daemon: string): Promise<void> {
		while (!observing.signal.aborted) {
			try {
				const [view] = await readStatuses([daemon]);
				configurations.push({daemon, version: view?.configurationVersion ?? 0});
			} catch {
				// The daemon is currently down or partitioned.
			}

			await sleep(OBSERVATION_INTERVAL_MS);
		}
	}

	async function send(daemon: string, route: string, body: string, key?: string) {
		const [method = '', path = ''] = route.split(' ');
		return createHttpClient(find(daemon).url).call({
			step: 'call', method, path, body, timeoutMs: CALL_TIMEOUT_MS, headers: {'content-type': 'application/json', authorization: `Bearer ${customerKey}`, ...(key && {'idempotency-key': key})},
		});
	}

	/** Calls both pools through a daemon until both calls succeed, so that the daemon holds a share of each grant. */
	async function warmUp(daemon: string): Promise<void> {
		await waitUntil(`${daemon} holds shares`, async () => {
			const answers = await Promise.all([
				send(daemon, 'POST /v1/services/rounds-app/patterns', '{}'),
				send(daemon, 'POST /v1/models/diag-models/completions', JSON.stringify({prompt: 'warm-up', maximumTokens: 1})),
			]);
			return answers.every(answer => answer.isOk() && answer.value.status === 200);
		});
	}

	async function callOnce(call: Action<'call'>, index: number): Promise<void> {
		const insertIndex = (text: string) => text.replaceAll('#', String(index));
		const body = insertIndex(JSON.stringify(call.body));
		const key = call.key === undefined ? undefined : insertIndex(call.key);
		const sentAt = performance.now();
		const answer = await send(call.daemon, call.route, body, key);
		calls.push({
			daemon: resolveName(call.daemon), route: call.route, key, body, sentAt, answeredAt: performance.now(),
			...answer.match(
				response => ({status: response.status, replayed: response.headers['idempotency-replayed'] === 'true', answer: readText(response)}),
				failure => ({status: 0, replayed: false, answer: failure.effect}),
			),
		});
	}

	async function runStep({do: _, background: __, groups, daemons, prompt, ...step}: Action<'step'>): Promise<void> {
		const trainer = createTrainerStandin({
			daemonUrls: daemons.map(name => find(name).url), apiKey: customerKey, trainer: 'diag-trainer', model: 'diag', weightStoreUrl: find('weight-store').url,
		});
		const prompts = Array.from({length: groups}, (_, group) => prompt.replaceAll('#', String(group)));
		steps.push(await trainer.runStep({
			...step, weightVersion: 1, prompts, limitMs: STEP_TIMEOUT_MS,
		}));
	}

	async function countStreams(outcomes: readonly string[], containing: string): Promise<number> {
		const records = await readRecords('engine');
		return records.flatMap(record => record.streams)
			.filter(stream => stream.prompt !== 'warm-up' && outcomes.includes(stream.outcome) && stream.prompt.includes(containing)).length;
	}

	const counts: Readonly<Record<Action<'waitFor'>['what'], (containing: string) => Promise<number>>> = {
		started: async containing => countStreams(['running', 'ended', 'crashed'], containing),
		ended: async containing => countStreams(['ended'], containing),
		async calls(containing) {
			const records = await readRecords('worker');
			return records.flatMap(record => record.calls).filter(call => call.body !== '{}' && call.body.includes(containing)).length;
		},
		async version() {
			const records = await readRecords('engine');
			return Math.min(...records.flatMap(record => record.status?.models ?? []).map(model => model.state === 'serving' ? model.version : 0));
		},
		async reorders() {
			const records = await readRecords('engine');
			return records.reduce((sum, record) => sum + Math.max(0, record.orders.length - 1), 0);
		},
		held: async () => [...cutLinks].filter(link => world.relay?.isHolding(link)).length,
		async lateOrders() {
			const records = await readRecords('engine');
			return records.flatMap(({orders}) => orders.filter((order, index) => orders.slice(0, index).some(earlier => earlier.fencing > order.fencing))).length;
		},
		async missing() {
			const views = await readStatuses(daemonNames);
			return views.reduce((sum, view) => sum + daemonNames.length - countAlive(view), 0);
		},
		async lapsed() {
			const views = await readStatuses(daemonNames);
			return (views[0]?.shards.count ?? 0) - views.flatMap(view => view.shards.held).length;
		},
	};

	const performers: {readonly [Kind in Action['do']]: (next: Action<Kind>) => Promise<unknown> | void} = {
		call: async next => Promise.all(Array.from({length: next.times}, async (_, index) => callOnce(next, index))),
		step: runStep,
		publish: async ({daemon, version}) => waitUntil('weights are published', async () => {
			await callMember(find('weight-store'), `PUT /models/diag/versions/${version}`);
			await callMember(find(daemon), 'POST /v1/trainers/diag-trainer/weights', {version}, customerKey);
			return true;
		}),
		configure: async next => configure(next.daemon, next.requestsPerSecond),
		signal({to, signal}) {
			find(to).signal(signal);
			killed.push(...(signal === 'SIGKILL' ? [resolveName(to)] : []));
		},
		start({member}) {
			find(member).start();
		},
		cut({from, to, mutual, at}) {
			const pairs = to.flatMap(other => [[from, other], ...(mutual ? [[other, from]] : [])]);
			pairs.forEach(([caller = '', called = '']) => {
				const link = `${resolveName(caller)} ${find(called).endpoint}`;
				cutLinks.add(link);
				world.relay?.cut(link, at);
			});
		},
		heal() {
			cutLinks.forEach(link => {
				world.relay?.heal(link);
			});
		},
		faults: async next => callMember(find(next.standin), 'POST /faults', next.faults),
		crash: async next => callMember(find(next.engine), 'POST /crash').catch(() => undefined),
		waitFor: async ({what, atLeast, containing}) => waitUntil(`${atLeast} ${what} ${containing}`, async () => await counts[what](containing) >= atLeast),
		agree: async () => waitUntil('all daemons serve the newest configuration', async () => {
			const views = await readStatuses(daemonNames);
			return views.every(view => view.configurationVersion === newestVersion);
		}),
		join: async () => Promise.all(pending),
		settle: async next => awaitSettled(next.daemons),
		async exit({member}) {
			exits.push({member, code: await find(member).ended()});
		},
	};

	async function perform<Kind extends Action['do']>(next: Action<Kind>): Promise<void> {
		await performers[next.do](next);
	}

	await waitUntil('stand-ins listen', async () => {
		const records = await readRecords('');
		return records.length === standinNames.length;
	});
	await configure('entry-1', scenario.requestsPerSecond);
	await awaitSettled(daemonNames);
	await bindAliases();
	await Promise.all(daemonNames.map(warmUp));
	daemonNames.forEach(name => {
		void observe(name);
	});
	try {
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
	} finally {
		observing.abort();
	}

	// The first attempt may fail, because a stand-in may have crashed just before.
	let records: ReadonlyArray<readonly [string, StandinRecord]> = [];
	await waitUntil('records are read', async () => {
		records = await Promise.all(standinNames.map(async name => [name, standinRecord.parse(await callMember(find(name), 'GET /record'))] as const));
		return true;
	});
	return {
		calls, steps, exits, configurations, killed, standins: Object.fromEntries(records), logs: daemonNames.map(name => `${name}:\n${find(name).log()}`).join('\n'),
	};
}
