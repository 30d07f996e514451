/** The request policy of the product, built from its own modules, and simple policies to compare it with. */
import {ok, err} from 'neverthrow';
import {createOutcomeUnknown} from '../src/base/common/failure.js';
import {createEmitter} from '../src/base/common/event.js';
import type {Random} from '../src/base/common/random.js';
import {silentMetrics} from '../src/kernel/common/metrics.js';
import {limitConcurrency} from '../src/limits/common/concurrency.js';
import {createDrainRate} from '../src/limits/common/drain-rate.js';
import {createPoolQueue, type PoolQueue} from '../src/limits/common/pool-queue.js';
import {permissiveGuard} from '../src/requests/common/suspect-guard.js';
import {createAttemptRunner, type AttemptRunner} from '../src/requests/node/attempt-runner.js';
import {createDispatcher} from '../src/routing/common/dispatcher.js';
import {createLoadEstimate, type LoadEstimate} from '../src/routing/common/load-estimate.js';
import {createPrefixIndex} from '../src/routing/common/prefix-index.js';
import {defaultCostWeights} from '../src/routing/common/server-cost.js';
import {createServerTable} from '../src/routing/common/server-table.js';
import type {VirtualTime} from '../test/fakes/virtual-loop.js';
import {
	REQUEST_BYTES, DAEMON_COUNT, regionOf, REPORT_DELAY_MS, SERVICE_TIME_MS, SERVER_COUNT, SLOTS_PER_SERVER, type Arrival, type Policy,
} from './request-model.js';

const PREFIX_TOKENS = 200;
const MAXIMUM_ATTEMPTS = 3;
const RETRY_BUDGET_SHARE = 0.1;

/** Creates a policy in which each daemon uses round robin without admission control and makes up to `maximumAttempts` attempts. */
export function createRoundRobinPolicy(maximumAttempts = 1): Policy {
	const lastServerByDaemon = Array.from({length: DAEMON_COUNT}, (_, daemon) => daemon);

	async function attempt(arrival: Arrival, attemptsLeft: number): Promise<boolean> {
		lastServerByDaemon[arrival.daemon]! += 1;
		const isComplete = await arrival.run(lastServerByDaemon[arrival.daemon]! % SERVER_COUNT);
		return isComplete || (attemptsLeft > 1 && attempt(arrival, attemptsLeft - 1));
	}

	return {
		send: async arrival => attempt(arrival, maximumAttempts),
		tick: () => undefined,
		report: () => undefined,
	};
}

type Daemon = {
	readonly loads: LoadEstimate;
	readonly runner: AttemptRunner;
	readonly queue: PoolQueue;
};

const unused = (): never => {
	throw new Error('not used');
};

function createDaemon(random: Random, time: VirtualTime, retryShare: number): Daemon {
	const table = createServerTable(zone => zone);
	table.update(Array.from({length: SERVER_COUNT}, (_, server) => ({
		id: String(server), address: '127.0.0.1', port: 1, availabilityZone: regionOf(server), state: 'live', pool: 'pool',
	})), 0);
	const loads = createLoadEstimate(() => SLOTS_PER_SERVER);
	const dispatcher = createDispatcher({
		table, loads, prefixes: createPrefixIndex(10_000), weights: defaultCostWeights, ownRegion: 'near', random, isReservedElsewhere: () => false,
	});
	const runner = createAttemptRunner({
		router: {
			dispatch: dispatcher.dispatch, servers: table.list, engine: unused, service: unused, onDidChangeServers: createEmitter<never>().event, inFlight: loads.inFlight, load: loads.read,
		},
		suspects: permissiveGuard,
		maximumAttempts: MAXIMUM_ATTEMPTS,
		retryShare,
		clock: time.clock,
		loop: time.loop,
		metrics: silentMetrics,
	});
	return {loads, runner, queue: createPoolQueue('pool', createDrainRate(SERVICE_TIME_MS), random)};
}

/** Creates the policy of the product: its admission, routing and retries. */
export function createProductPolicy(random: Random, time: VirtualTime, retryShare = RETRY_BUDGET_SHARE): Policy {
	const {clock} = time;
	const daemons = Array.from({length: DAEMON_COUNT}, () => createDaemon(random, time, retryShare));
	return {
		async send({
			id, daemon, group, deadline, run,
		}) {
			const {signal} = new AbortController();
			const {queue, runner} = daemons[daemon]!;
			const slot = await queue.enter({
				plan: 'plan', weight: 1, cost: 1, deadline,
			}, clock.monotonic(), signal);
			if (slot.isErr()) {
				return false;
			}

			const result = await runner.run({
				requestId: id,
				fingerprint: id,
				repeatable: () => true,
				deadline,
				signal,
				route: {
					pool: 'pool', prefixKey: group, prefixTokens: PREFIX_TOKENS, expectedTokens: 1, expectedBytes: REQUEST_BYTES, allowed: undefined,
				},
			}, async ({attempt, server}) => {
				attempt.sent();
				return await run(Number(server.id)) ? ok(undefined) : err(createOutcomeUnknown('incomplete', {step: 'run', peer: server.id}, 'the server failed the request'));
			});
			slot.value.end(clock.monotonic());
			return result.isOk();
		},
		tick(now) {
			daemons.forEach(({queue, loads}) => {
				const loadsByServer = Array.from({length: SERVER_COUNT}, (_, server) => loads.read(String(server), now));
				queue.setConcurrency(limitConcurrency({loads: loadsByServer, running: queue.running(), daemons: DAEMON_COUNT}));
				queue.tick(now);
			});
		},
		report(server, requests, now) {
			daemons.forEach(({loads}) => {
				loads.report(String(server), {
					running: Math.min(SLOTS_PER_SERVER, requests), queued: Math.max(0, requests - SLOTS_PER_SERVER), slots: SLOTS_PER_SERVER, tokensPerSecond: 0, ageMs: REPORT_DELAY_MS,
				}, now);
			});
		},
	};
}
