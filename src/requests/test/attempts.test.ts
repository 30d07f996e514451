import {err, ok, type Result} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createEmitter} from '../../base/common/event.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createDispatcher} from '../../routing/common/dispatcher.js';
import {createLoadEstimate} from '../../routing/common/load-estimate.js';
import {createPrefixIndex} from '../../routing/common/prefix-index.js';
import {defaultCostWeights} from '../../routing/common/server-cost.js';
import {createServerTable} from '../../routing/common/server-table.js';
import {createAttempt, joinFailures} from '../common/attempt.js';
import {createProblem, retryAfterSeconds} from '../common/problem.js';
import {createRetryBudget} from '../common/retry-budget.js';
import {permissiveGuard, type SuspectGuard} from '../common/suspect-guard.js';
import {createAttemptRunner, type AttemptContext} from '../node/attempt-runner.js';

const test = suite('attempts');
const origin = {step: 'call', peer: 'server'};
const refusedConnection = createNotRun('unavailable', origin, 'connection refused');
const brokenConnection = createOutcomeUnknown('incomplete', origin, 'connection broken');

type Answer = (context: AttemptContext, number: number) => Promise<Result<string, Failure>>;

function createRun(retryShare = 1, guard: Partial<SuspectGuard> = {}) {
	const time = createVirtualTime();
	const table = createServerTable(() => 'near');
	table.update(['a', 'b', 'c', 'd'].map(id => ({
		id, address: id, port: 1, availabilityZone: 'near', state: 'live', pool: 'pool',
	})), 0);
	const loads = createLoadEstimate(() => 4);
	const dispatcher = createDispatcher({
		table, loads, prefixes: createPrefixIndex(10), weights: defaultCostWeights, ownRegion: 'near', random: () => 0.5, isReservedElsewhere: () => false,
	});
	const unused = (): never => {
		throw new Error('not used');
	};

	const runner = createAttemptRunner({
		router: {
			dispatch: dispatcher.dispatch, servers: table.list, engine: unused, service: unused, onDidChangeServers: createEmitter<never>().event, inFlight: loads.inFlight, load: loads.read,
		},
		suspects: {...permissiveGuard, ...guard},
		maximumAttempts: 3,
		retryShare,
		clock: time.clock,
		loop: time.loop,
		metrics: silentMetrics,
	});
	const servers: string[] = [];
	const controller = new AbortController();
	const run = async (repeatable: boolean, answer: Answer) => runner.run({
		requestId: 'r',
		fingerprint: 'f',
		repeatable: () => repeatable,
		deadline: time.clock.monotonic() + 1000,
		signal: controller.signal,
		route: {
			pool: 'pool', prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: 0, allowed: undefined,
		},
	}, async context => {
		servers.push(context.server.id);
		return answer(context, servers.length);
	});
	const inFlight = () => ['a', 'b', 'c', 'd'].reduce((sum, id) => sum + loads.inFlight(id), 0);
	return {
		time, run, servers, controller, inFlight,
	};
}

test('retries at another server when the request cannot have run, even if it is not repeatable', async () => {
	const {run, servers, inFlight} = createRun();
	const result = await run(false, async (_context, number) => number < 3 ? err(refusedConnection) : ok('whole'));
	assert.is(result._unsafeUnwrap(), 'whole');
	assert.is(new Set(servers).size, 3);
	assert.is(inFlight(), 0);
});

test('uses another server when the one reserved for an isolated request does not become idle', async () => {
	const isolatedServers: string[] = [];
	const {run, servers, inFlight} = createRun(1, {
		check: () => ok('alone'),
		async isolate(server) {
			isolatedServers.push(server.id);
			return isolatedServers.length === 3;
		},
	});
	const result = await run(true, async () => ok('whole'));
	assert.is(result._unsafeUnwrap(), 'whole');
	assert.is(new Set(isolatedServers).size, 3);
	assert.equal(servers, [isolatedServers[2]]);
	assert.is(inFlight(), 0);
});

test('refuses an isolated request with a retry-after time when no server becomes idle', async () => {
	const {run, inFlight, time} = createRun(1, {check: () => ok('alone'), isolate: async () => false});
	const running = run(true, async () => ok('whole'));
	await time.advance(1000);
	const result = await running;
	const failure = result._unsafeUnwrapErr();
	assert.is(failure.effect, 'notRun');
	assert.ok((failure.retryAfterMs ?? 0) > 0);
	assert.is(inFlight(), 0);
});

test('does not retry a non-repeatable request that may have run', async () => {
	const {run, servers} = createRun();
	const result = await run(false, async context => {
		context.attempt.sent();
		return err(brokenConnection);
	});
	assert.is(result._unsafeUnwrapErr().effect, 'outcomeUnknown');
	assert.is(servers.length, 1);
});

test('one attempt with unknown outcome makes the outcome of the request unknown', async () => {
	const {run} = createRun();
	const result = await run(true, async (context, number) => {
		if (number > 1) {
			return err(refusedConnection);
		}

		context.attempt.sent();
		return err(brokenConnection);
	});
	assert.is(result._unsafeUnwrapErr().effect, 'outcomeUnknown');
	assert.is(joinFailures([refusedConnection], refusedConnection).effect, 'notRun');
});

test('limits retries to a share of the traffic', async () => {
	const {run, servers} = createRun(0.1);
	await Array.from({length: 200}).reduce<Promise<unknown>>(async previous => {
		await previous;
		return run(true, async context => {
			context.attempt.sent();
			return err({...brokenConnection, code: 'overloaded'});
		});
	}, Promise.resolve());
	// The dispatcher avoids servers that refused, so not every request finds a server.
	assert.ok(servers.length <= (200 * 1.1) + 10, `${servers.length} attempts for 200 requests`);
	const budget = createRetryBudget(0.1);
	assert.is(Array.from({length: 20}, () => budget.spend()).filter(Boolean).length, 10);
});

test('fails at the deadline and drops a later response', async () => {
	const {time, run, inFlight} = createRun();
	const results: Array<Result<string, Failure>> = [];
	void run(true, async context => {
		context.attempt.sent();
		await time.loop.sleep(5000);
		return ok('late');
	}).then(result => {
		results.push(result);
	});
	await time.advance(1001);
	assert.equal(results.map(result => result._unsafeUnwrapErr().code), ['deadlineExceeded']);
	assert.is(results[0]?._unsafeUnwrapErr().effect, 'outcomeUnknown');
	await time.advance(10_000);
	assert.equal([results.length, inFlight()], [1, 0]);
});

test('ends at once, as not run, when the caller disconnects before anything is sent', async () => {
	const {time, run, controller, inFlight} = createRun();
	const running = run(true, async () => {
		await time.loop.sleep(500);
		return ok('late');
	});
	await time.advance(10);
	controller.abort();
	const result = await running;
	assert.equal([result._unsafeUnwrapErr().code, result._unsafeUnwrapErr().effect], ['aborted', 'notRun']);
	assert.is(inFlight(), 0);
});

test('trusts a server that reports not run only until its response has begun', () => {
	const saysNothingDone = createNotRun('overloaded', origin, 'full');
	const refused = createAttempt();
	refused.sent();
	assert.is(refused.failed(saysNothingDone).effect, 'notRun');
	assert.is(refused.state(), 'failedKnown');
	const begun = createAttempt();
	begun.sent();
	begun.firstByte();
	assert.is(begun.failed(saysNothingDone).effect, 'outcomeUnknown');
	assert.is(begun.state(), 'unknown');
});

test('describes refusals with a retry-after time, except those that are permanent', () => {
	const failure = createNotRun('rejected', origin, 'over the limit', 1200);
	assert.equal([createProblem(failure, 'r').status, retryAfterSeconds(failure)], [429, 2]);
	assert.is(retryAfterSeconds(createNotRun('suspect', origin, 'crashes')), undefined);
});

test.run();
