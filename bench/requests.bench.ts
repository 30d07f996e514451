/**
 * Requests under load: the deciders of admission, routing and shares against plain policies, in virtual time. The servers
 * of the model queue what exceeds their slots, keep the newest prefixes, and report their load late.
 */
import {createSeededRandom, createVirtualTime} from '../test/fakes/virtual-loop.js';
import type {Random} from '../src/base/common/random.js';
import {limitConcurrency} from '../src/limits/common/concurrency.js';
import {createDrainRate} from '../src/limits/common/drain-rate.js';
import {createPoolQueue} from '../src/limits/common/pool-queue.js';
import {createShareWorld, grant, type Breakage} from '../src/limits/test/harness/share-world.js';
import {createDispatcher} from '../src/routing/common/dispatcher.js';
import {createLoadEstimate} from '../src/routing/common/load-estimate.js';
import {createPrefixIndex, type PrefixIndex} from '../src/routing/common/prefix-index.js';
import {defaultCostWeights} from '../src/routing/common/server-cost.js';
import {createServerTable} from '../src/routing/common/server-table.js';
import type {Figure} from './figure.js';

export const title = 'Requests';

const SERVERS = 6;
const SLOTS = 8;
const RUN_MS = 200;
const PREFILL_MS = 100;
const PREFIX_TOKENS = 200;
const PREFIXES_PER_SERVER = 40;
const GROUP_SIZE = 8;
const DEADLINE_MS = 2000;
const DAEMONS = 4;
const DURATION_MS = 20_000;
const REPORT_MS = 500;
const REPORT_AGE_MS = 300;
const BYTES = 4096;
const SEED = 1;
/** Requests per second that the servers complete at most, without any prefill. */
const SATURATION = SERVERS * SLOTS * 1000 / RUN_MS;

type Outcome = {
	readonly goodput: number;
	readonly p95Ms: number;
	readonly crossRegionBytes: number;
	readonly prefixHits: number;
};

/** Where a daemon sends a request, and when; `done` is called when its answer is whole. */
type Policy = {
	readonly send: (daemon: number, group: string, run: (server: number) => Promise<void>, deadline: number) => Promise<boolean>;
	readonly tick: (now: number) => void;
	readonly report: (server: number, requests: number, now: number) => void;
};

type Servers = {
	readonly run: (server: number, group: string) => Promise<void>;
	readonly load: (server: number) => number;
	readonly hits: () => number;
};

const regionOf = (server: number): string => server < SERVERS * 2 / 3 ? 'near' : 'far';

const CACHED = 'cached';

function isCached(cache: PrefixIndex, group: string): boolean {
	const {find: holderOf} = cache;
	return holderOf(group) === CACHED;
}

function createServers(sleep: (durationMs: number) => Promise<void>): Servers {
	const busy = Array.from({length: SERVERS}, () => 0);
	const queues = Array.from({length: SERVERS}, (): Array<() => void> => []);
	const caches = Array.from({length: SERVERS}, () => createPrefixIndex(PREFIXES_PER_SERVER));
	let hits = 0;

	async function enter(server: number): Promise<void> {
		if (busy[server]! < SLOTS) {
			busy[server]! += 1;
			return;
		}

		await new Promise<void>(resolve => {
			queues[server]!.push(resolve);
		});
	}

	function leave(server: number): void {
		const next = queues[server]!.shift();
		if (next) {
			next();
			return;
		}

		busy[server]! -= 1;
	}

	return {
		async run(server, group) {
			await enter(server);
			const cache = caches[server]!;
			const hit = isCached(cache, group);
			hits += hit ? 1 : 0;
			cache.remember(group, CACHED);
			await sleep(RUN_MS + (hit ? 0 : PREFILL_MS));
			leave(server);
		},
		load: server => busy[server]! + queues[server]!.length,
		hits: () => hits,
	};
}

function createRoundRobin(): Policy {
	let turn = 0;
	return {
		async send(_daemon, _group, run) {
			turn += 1;
			await run(turn % SERVERS);
			return true;
		},
		tick: () => undefined,
		report: () => undefined,
	};
}

function createDaemon(random: Random) {
	const table = createServerTable(zone => zone);
	table.update(Array.from({length: SERVERS}, (_, server) => ({
		id: String(server), address: '127.0.0.1', port: 1, availabilityZone: regionOf(server), state: 'live', pool: 'pool',
	})), 0);
	const loads = createLoadEstimate(() => SLOTS);
	const dispatcher = createDispatcher({
		table, loads, prefixes: createPrefixIndex(10_000), weights: defaultCostWeights, ownRegion: 'near', random, reservedElsewhere: () => false,
	});
	return {loads, dispatcher, queue: createPoolQueue('pool', createDrainRate(RUN_MS), random)};
}

function createProduct(random: Random, clock: () => number): Policy {
	const daemons = Array.from({length: DAEMONS}, () => createDaemon(random));
	const never = new AbortController().signal;
	return {
		async send(daemon, group, run, deadline) {
			const {queue, dispatcher} = daemons[daemon]!;
			const place = await queue.enter({
				plan: 'plan', weight: 1, cost: 1, deadline,
			}, clock(), never);
			if (place.isErr()) {
				return false;
			}

			const dispatched = dispatcher.dispatch({
				pool: 'pool', prefixKey: group, prefixTokens: PREFIX_TOKENS, expectedTokens: 1, expectedBytes: BYTES, excluded: [], allowed: undefined, alone: false,
			}, clock())._unsafeUnwrap();
			await run(Number(dispatched.server.id));
			dispatched.end(clock(), 'done');
			place.value.end(clock());
			return true;
		},
		tick(now) {
			daemons.forEach(({queue, loads}) => {
				const known = Array.from({length: SERVERS}, (_, server) => loads.read(String(server), now));
				queue.setConcurrency(limitConcurrency({loads: known, running: queue.running(), daemons: DAEMONS}));
				queue.tick(now);
			});
		},
		report(server, requests, now) {
			daemons.forEach(({loads}) => {
				loads.report(String(server), {
					running: Math.min(SLOTS, requests), queued: Math.max(0, requests - SLOTS), slots: SLOTS, tokensPerSecond: 0, ageMs: REPORT_AGE_MS,
				}, now);
			});
		},
	};
}

async function simulate(load: number, createPolicy: (random: Random, clock: () => number) => Policy): Promise<Outcome> {
	const random = createSeededRandom(SEED);
	const {clock, loop, advance} = createVirtualTime(random);
	const now = () => clock.monotonic();
	const servers = createServers(loop.sleep);
	const policy = createPolicy(random, now);
	const latencies: number[] = [];
	let crossRegionBytes = 0;
	let sent = 0;
	let run = 0;

	async function sendOne(): Promise<void> {
		sent += 1;
		const startedAt = now();
		const group = `group ${Math.floor(sent / GROUP_SIZE)}`;
		const answered = await policy.send(sent % DAEMONS, group, async server => {
			run += 1;
			crossRegionBytes += regionOf(server) === 'near' ? 0 : BYTES;
			await servers.run(server, group);
		}, startedAt + DEADLINE_MS);
		if (answered && now() - startedAt <= DEADLINE_MS) {
			latencies.push(now() - startedAt);
		}
	}

	const arrivals = loop.every({
		name: 'arrivals',
		periodMs: 1000 / (load * SATURATION),
		jitterShare: 1,
		run() {
			void sendOne();
		},
	});
	loop.every({name: 'tick', periodMs: 20, run: policy.tick});
	loop.every({
		name: 'reports',
		periodMs: REPORT_MS,
		run() {
			Array.from({length: SERVERS}, (_, server) => ({server, requests: servers.load(server)})).forEach(({server, requests}) => {
				loop.after(REPORT_AGE_MS, at => {
					policy.report(server, requests, at);
				});
			});
		},
	});
	await advance(DURATION_MS);
	arrivals.dispose();
	const sorted = latencies.toSorted((a, b) => a - b);
	return {
		goodput: latencies.length * 1000 / DURATION_MS,
		p95Ms: sorted[Math.floor(sorted.length * 0.95)] ?? Number.NaN,
		crossRegionBytes: crossRegionBytes / Math.max(1, run),
		prefixHits: servers.hits() / Math.max(1, run),
	};
}

/** Measures what one daemon with all the demand can use of a grant. */
async function measureUsableShare(breakage: Breakage = {}): Promise<number> {
	const world = createShareWorld(createSeededRandom(SEED), breakage);
	world.daemonIds.forEach(daemonId => {
		world.setDemand(daemonId, 0.5);
	});
	await world.time.advance(5000);
	world.daemonIds.slice(1).forEach(daemonId => {
		world.setDemand(daemonId, 0);
	});
	world.setDemand('entry-1', 3 * grant.requestsPerSecond);
	await world.time.advance(10_000);
	const before = world.admittedBy('entry-1');
	await world.time.advance(DURATION_MS);
	return (world.admittedBy('entry-1') - before) * 1000 / (DURATION_MS * grant.requestsPerSecond);
}

function compare(name: string, unit: string, value: number, baseline: number, baselinePolicy: string): Figure {
	return {
		name, unit, value, baseline, baselinePolicy,
	};
}

/** Runs the bench. */
export async function run(): Promise<readonly Figure[]> {
	const plain = 'round robin, no admission';
	const half = await simulate(0.5, createProduct);
	const halfPlain = await simulate(0.5, createRoundRobin);
	const once = await simulate(1, createProduct);
	const oncePlain = await simulate(1, createRoundRobin);
	const thrice = await simulate(3, createProduct);
	const thricePlain = await simulate(3, createRoundRobin);
	const peak = Math.max(half.goodput, once.goodput, thrice.goodput);
	const usable = await measureUsableShare();
	const usablePlain = await measureUsableShare({fractionOf: () => () => 1 / DAEMONS});
	return [
		compare('goodput at saturation', 'requests/s', once.goodput, oncePlain.goodput, plain),
		compare('goodput at 3x saturation', 'requests/s', thrice.goodput, thricePlain.goodput, plain),
		{name: 'goodput at 3x saturation, share of its peak', value: thrice.goodput / peak, unit: 'share'},
		compare('p95 latency at half load', 'ms', half.p95Ms, halfPlain.p95Ms, plain),
		compare('p95 latency of answers in time, 3x saturation', 'ms', thrice.p95Ms, thricePlain.p95Ms, plain),
		compare('bytes across regions per request, half load', 'B', half.crossRegionBytes, halfPlain.crossRegionBytes, plain),
		compare('prefix hits, half load', 'share', half.prefixHits, halfPlain.prefixHits, plain),
		compare('usable share of a grant, all demand at one daemon', 'share', usable, usablePlain, 'static equal shares'),
	];
}
