import process from 'node:process';
import {err, ok, type Result} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createDispatcher} from '../../routing/common/dispatcher.js';
import {createLoadEstimate} from '../../routing/common/load-estimate.js';
import {createPrefixIndex} from '../../routing/common/prefix-index.js';
import {defaultCostWeights} from '../../routing/common/server-cost.js';
import {createServerTable} from '../../routing/common/server-table.js';
import {permissiveGuard} from '../common/suspect-guard.js';
import {createAttemptRunner, type AttemptContext} from '../node/attempt-runner.js';

const test = suite('attempts under random faults');
const SEEDS = 100 * Number(process.env.FUZZ_FACTOR ?? 1);
const REQUESTS = 200;
const SERVERS = ['a', 'b', 'c', 'd', 'e'];
const RETRY_SHARE = 0.1;
const MAXIMUM_SAVED_RETRIES = 10;
const DEADLINE_MS = 1000;

type ReportedResult = {readonly id: string; readonly repeatable: boolean; readonly result: Result<string, Failure>; readonly tookMs: number};
type EdgeRecord = {readonly executions: string[]; readonly results: ReportedResult[]; readonly attempts: () => number; readonly leakedDispatches: () => number};
type BrokenMechanisms = {
	/** Retries requests that must not be repeated. */
	readonly repeatAll?: boolean;
	readonly retryShare?: number;
	/** Reports after every failure that nothing was sent. */
	readonly forgetSent?: boolean;
};

async function runSchedule(seed: number, breakage: BrokenMechanisms = {}): Promise<EdgeRecord> {
	const random = createSeededRandom(seed);
	const {clock, loop, advance} = createVirtualTime(random);
	const faultShare = random();
	const executions: string[] = [];
	const results: ReportedResult[] = [];
	let attempts = 0;

	/**
	 * Simulates a server that refuses the connection, reports that it is overloaded, breaks the connection before or after it
	 * ran the request, responds after the deadline, or responds.
	 */
	async function call(id: string, context: AttemptContext): Promise<Result<string, Failure>> {
		attempts += 1;
		const origin = {step: 'call', peer: context.server.id};
		await loop.sleep(random() * 5);
		const kind = random() < faultShare ? Math.floor(random() * 5) : 5;
		if (kind === 0 || context.signal.aborted) {
			return err(createNotRun('unavailable', origin, 'connection refused'));
		}

		if (breakage.forgetSent !== true) {
			context.attempt.sent();
		}

		if (kind === 1) {
			return err(createNotRun('overloaded', origin, 'full'));
		}

		if (kind === 2) {
			return err(createOutcomeUnknown('incomplete', origin, 'connection broken before it ran'));
		}

		executions.push(id);
		await loop.sleep(kind === 4 ? 3000 : random() * 50);
		if (kind === 3) {
			const failure = createOutcomeUnknown('incomplete', origin, 'connection broken after it ran');
			return err(breakage.forgetSent === true ? {...failure, effect: 'notRun'} : failure);
		}

		return ok(`answer to ${id}`);
	}

	const table = createServerTable(() => 'near');
	table.update(SERVERS.map(id => ({
		id, address: id, port: 1, availabilityZone: 'near', state: 'live', pool: 'pool',
	})), 0);
	const loads = createLoadEstimate(() => 4);
	const dispatcher = createDispatcher({
		// Servers that refused stay usable, so that every attempt finds a server: this tests attempts, not routing.
		table: {...table, isUsable: () => true}, loads, prefixes: createPrefixIndex(10), weights: defaultCostWeights, ownRegion: 'near', random, isReservedElsewhere: () => false,
	});
	const unused = (): never => {
		throw new Error('not used');
	};

	const runner = createAttemptRunner({
		router: {
			dispatch: dispatcher.dispatch, servers: table.list, engine: unused, service: unused, onDidChangeServers: createEmitter<never>().event, inFlight: loads.inFlight, load: loads.read,
		},
		suspects: permissiveGuard,
		maximumAttempts: 3,
		retryShare: breakage.retryShare ?? RETRY_SHARE,
		clock,
		loop,
		metrics: silentMetrics,
	});

	async function send(id: string): Promise<void> {
		const repeatable = random() < 0.5;
		const sentAt = clock.monotonic();
		const result = await runner.run({
			requestId: id,
			fingerprint: id,
			repeatable: () => repeatable || breakage.repeatAll === true,
			deadline: sentAt + DEADLINE_MS,
			signal: new AbortController().signal,
			route: {
				pool: 'pool', prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: 0, allowed: undefined,
			},
		}, async context => call(id, context));
		results.push({
			id, repeatable, result, tookMs: clock.monotonic() - sentAt,
		});
	}

	await Array.from({length: REQUESTS}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		void send(`request ${index}`);
		await advance(random() * 40);
	}, Promise.resolve());
	await advance(10_000);
	return {
		executions, results, attempts: () => attempts, leakedDispatches: () => SERVERS.reduce((sum, id) => sum + loads.inFlight(id), 0),
	};
}

/** Checks the record, without access to internal state; returns the violations found. */
function checkAttempts(record: EdgeRecord): readonly string[] {
	const count = (id: string) => record.executions.filter(other => other === id).length;
	const perRequest = record.results.flatMap(({id, repeatable, result, tookMs}) => [
		...(!repeatable && count(id) > 1 ? [`${id} may not be repeated and ran ${count(id)} times`] : []),
		...(result.isErr() && result.error.effect === 'notRun' && count(id) > 0 ? [`${id} was refused as not run, but ran`] : []),
		...(result.isOk() && result.value !== `answer to ${id}` ? [`${id} received ${result.value}`] : []),
		...(tookMs > DEADLINE_MS + 1 ? [`${id} was answered after its deadline`] : []),
	]);
	const allowed = (REQUESTS * (1 + RETRY_SHARE)) + MAXIMUM_SAVED_RETRIES;
	return [
		...perRequest,
		...(record.results.length === REQUESTS ? [] : [`${record.results.length} of ${REQUESTS} requests were answered`]),
		...(record.attempts() > allowed ? [`${record.attempts()} attempts for ${REQUESTS} requests`] : []),
		...(record.leakedDispatches() > 0 ? [`${record.leakedDispatches()} dispatches leaked`] : []),
	];
}

const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);

async function countDetected(breakage: BrokenMechanisms): Promise<number> {
	const records = await Promise.all(seeds.slice(0, 20).map(async seed => runSchedule(seed, breakage)));
	return records.filter(record => checkAttempts(record).length > 0).length;
}

test('every request is answered once and before its deadline, and only repeatable requests run again', async () => {
	const records = await Promise.all(seeds.map(async seed => runSchedule(seed)));
	assert.equal(records.flatMap(checkAttempts), []);
});

test('the checks detect a runner that retries requests that must not be repeated', async () => {
	assert.ok(await countDetected({repeatAll: true}) > 0);
});

test('the checks detect retries without a budget', async () => {
	assert.ok(await countDetected({retryShare: 1}) > 0);
});

test('the checks detect a failure reported as not run although the request was sent', async () => {
	assert.ok(await countDetected({forgetSent: true}) > 0);
});

test.run();
