/**
 * A model of backend servers in virtual time. A server queues the requests that exceed its slots, caches the most recent
 * prefixes, reports its load with a delay, and may fail requests, more often when its queue is long.
 */
import {createSeededRandom, createVirtualTime, type VirtualTime} from '../test/fakes/virtual-loop.js';
import type {Random} from '../src/base/common/random.js';
import {createPrefixIndex, type PrefixIndex} from '../src/routing/common/prefix-index.js';

export const SERVER_COUNT = 6;
export const SLOTS_PER_SERVER = 8;
export const SERVICE_TIME_MS = 200;
export const DAEMON_COUNT = 4;
export const REPORT_DELAY_MS = 300;
export const REQUEST_BYTES = 4096;
export const DURATION_MS = 20_000;
const PREFILL_MS = 100;
const PREFIXES_PER_SERVER = 40;
const REQUESTS_PER_GROUP = 8;
const DEADLINE_MS = 2000;
const REPORT_PERIOD_MS = 500;
/** Round-trip time between the daemons and the far region. */
const CROSS_REGION_ROUND_TRIP_MS = 24;
/** Maximum number of requests per second that all servers together complete when every prefix is cached. */
const SATURATION_REQUESTS_PER_SECOND = SERVER_COUNT * SLOTS_PER_SERVER * 1000 / SERVICE_TIME_MS;
const CACHED_MARKER = 'cached';

/** Results of one simulation. */
export type Outcome = {
	readonly goodput: number;
	readonly p95Ms: number;
	readonly crossRegionBytes: number;
	readonly prefixHits: number;
	readonly attempts: number;
};

/** A request as the policy receives it. */
export type Arrival = {
	readonly id: string;
	readonly daemon: number;
	readonly group: string;
	readonly deadline: number;
	/** Runs the request on a server; false if the server failed it. */
	readonly run: (server: number) => Promise<boolean>;
};

/** Decides when and to which servers the daemons send requests. */
export type Policy = {
	/** Resolves with whether the response was complete. */
	readonly send: (arrival: Arrival) => Promise<boolean>;
	readonly tick: (now: number) => void;
	readonly report: (server: number, requests: number, now: number) => void;
};

/** The load that the simulation puts on the servers. */
export type Load = {
	/** Arrival rate as a multiple of `SATURATION_REQUESTS_PER_SECOND`. */
	readonly factor: number;
	/** Share of requests that a server fails, and the share while more requests wait there than can run. */
	readonly failureShares?: readonly [uncrowded: number, crowded: number];
	readonly seed: number;
};

type Servers = {
	/** Resolves with whether the response was complete. */
	readonly run: (server: number, group: string) => Promise<boolean>;
	readonly load: (server: number) => number;
	readonly hits: () => number;
};

/** Returns the region of a server. Two thirds of the servers are in the daemons' own region, `near`. */
export const regionOf = (server: number): string => server < SERVER_COUNT * 2 / 3 ? 'near' : 'far';

function isCached(cache: PrefixIndex, group: string): boolean {
	const {find: holderOf} = cache;
	return holderOf(group) === CACHED_MARKER;
}

function createServers(sleep: (durationMs: number) => Promise<void>, random: Random, [uncrowded, crowded]: readonly [number, number]): Servers {
	const runningByServer = Array.from({length: SERVER_COUNT}, () => 0);
	const queueByServer = Array.from({length: SERVER_COUNT}, (): Array<() => void> => []);
	const cacheByServer = Array.from({length: SERVER_COUNT}, () => createPrefixIndex(PREFIXES_PER_SERVER));
	let hits = 0;

	async function acquireSlot(server: number): Promise<void> {
		if (runningByServer[server]! < SLOTS_PER_SERVER) {
			runningByServer[server]! += 1;
			return;
		}

		await new Promise<void>(resolve => {
			queueByServer[server]!.push(resolve);
		});
	}

	function releaseSlot(server: number): void {
		const next = queueByServer[server]!.shift();
		if (next) {
			next();
			return;
		}

		runningByServer[server]! -= 1;
	}

	return {
		async run(server, group) {
			await acquireSlot(server);
			const cache = cacheByServer[server]!;
			const isHit = isCached(cache, group);
			hits += isHit ? 1 : 0;
			cache.remember(group, CACHED_MARKER);
			const isFailing = random() < (queueByServer[server]!.length > SLOTS_PER_SERVER ? crowded : uncrowded);
			await sleep(SERVICE_TIME_MS + (isHit ? 0 : PREFILL_MS));
			releaseSlot(server);
			return !isFailing;
		},
		load: server => runningByServer[server]! + queueByServer[server]!.length,
		hits: () => hits,
	};
}

/** Simulates a policy under a load. */
export async function simulate(load: Load, createPolicy: (random: Random, time: VirtualTime) => Policy): Promise<Outcome> {
	const random = createSeededRandom(load.seed);
	const time = createVirtualTime(random);
	const {clock, loop, advance} = time;
	const now = () => clock.monotonic();
	const servers = createServers(loop.sleep, random, load.failureShares ?? [0, 0]);
	const policy = createPolicy(random, time);
	const latencies: number[] = [];
	let crossRegionBytes = 0;
	let sentCount = 0;
	let attempts = 0;

	async function sendOne(): Promise<void> {
		sentCount += 1;
		const startedAt = now();
		const group = `group ${Math.floor(sentCount / REQUESTS_PER_GROUP)}`;
		const isAnswered = await policy.send({
			id: String(sentCount),
			daemon: sentCount % DAEMON_COUNT,
			group,
			deadline: startedAt + DEADLINE_MS,
			async run(server) {
				attempts += 1;
				if (regionOf(server) === 'near') {
					return servers.run(server, group);
				}

				crossRegionBytes += REQUEST_BYTES;
				await loop.sleep(CROSS_REGION_ROUND_TRIP_MS / 2);
				const isComplete = await servers.run(server, group);
				await loop.sleep(CROSS_REGION_ROUND_TRIP_MS / 2);
				return isComplete;
			},
		});
		if (isAnswered && now() - startedAt <= DEADLINE_MS) {
			latencies.push(now() - startedAt);
		}
	}

	const arrivals = loop.every({
		name: 'arrivals',
		periodMs: 1000 / (load.factor * SATURATION_REQUESTS_PER_SECOND),
		jitterShare: 1,
		run() {
			void sendOne();
		},
	});
	loop.every({name: 'tick', periodMs: 20, run: policy.tick});
	loop.every({
		name: 'reports',
		periodMs: REPORT_PERIOD_MS,
		run() {
			Array.from({length: SERVER_COUNT}, (_, server) => ({server, requests: servers.load(server)})).forEach(({server, requests}) => {
				loop.after(REPORT_DELAY_MS, at => {
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
		crossRegionBytes: crossRegionBytes / Math.max(1, attempts),
		prefixHits: servers.hits() / Math.max(1, attempts),
		attempts: attempts / Math.max(1, sentCount),
	};
}
