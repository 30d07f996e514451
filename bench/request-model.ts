/**
 * A model of backend servers under virtual time. They queue what exceeds their slots, keep the newest prefixes, report
 * their load late, and may break off requests, the more so the longer their queues are.
 */
import {createSeededRandom, createVirtualTime, type VirtualTime} from '../test/fakes/virtual-loop.js';
import type {Random} from '../src/base/common/random.js';
import {createPrefixIndex, type PrefixIndex} from '../src/routing/common/prefix-index.js';

export const SERVERS = 6;
export const SLOTS = 8;
export const RUN_MS = 200;
export const DAEMONS = 4;
export const REPORT_AGE_MS = 300;
export const BYTES = 4096;
export const DURATION_MS = 20_000;
const PREFILL_MS = 100;
const PREFIXES_PER_SERVER = 40;
const GROUP_SIZE = 8;
const DEADLINE_MS = 2000;
const REPORT_MS = 500;
/** Round trip to the far region. */
const CROSS_REGION_MS = 24;
/** Requests per second that the servers complete at most, without any prefill. */
const SATURATION = SERVERS * SLOTS * 1000 / RUN_MS;
const CACHED = 'cached';

/** What was measured. */
export type Outcome = {
	readonly goodput: number;
	readonly p95Ms: number;
	readonly crossRegionBytes: number;
	readonly prefixHits: number;
	readonly attempts: number;
};

/** A request as a policy gets it. */
export type Arrival = {
	readonly id: string;
	readonly daemon: number;
	readonly group: string;
	readonly deadline: number;
	/** Runs it on a server; false if the server broke off. */
	readonly run: (server: number) => Promise<boolean>;
};

/** Where daemons send requests, and when. */
export type Policy = {
	/** Resolves with whether the answer was whole. */
	readonly send: (arrival: Arrival) => Promise<boolean>;
	readonly tick: (now: number) => void;
	readonly report: (server: number, requests: number, now: number) => void;
};

/** A load on the servers. */
export type Load = {
	/** Multiple of what the servers complete at most. */
	readonly factor: number;
	/** Share of requests that a server breaks off, and the share once more requests wait there than run. */
	readonly broken?: readonly [calm: number, crowded: number];
	readonly seed: number;
};

type Servers = {
	/** Returns whether the answer was whole. */
	readonly run: (server: number, group: string) => Promise<boolean>;
	readonly load: (server: number) => number;
	readonly hits: () => number;
};

/** The region of a server: two thirds are near the daemons. */
export const regionOf = (server: number): string => server < SERVERS * 2 / 3 ? 'near' : 'far';

function isCached(cache: PrefixIndex, group: string): boolean {
	const {find: holderOf} = cache;
	return holderOf(group) === CACHED;
}

function createServers(sleep: (durationMs: number) => Promise<void>, random: Random, [calm, crowded]: readonly [number, number]): Servers {
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
			const breaks = random() < (queues[server]!.length > SLOTS ? crowded : calm);
			await sleep(RUN_MS + (hit ? 0 : PREFILL_MS));
			leave(server);
			return !breaks;
		},
		load: server => busy[server]! + queues[server]!.length,
		hits: () => hits,
	};
}

/** Runs a policy under a load. */
export async function simulate(load: Load, createPolicy: (random: Random, time: VirtualTime) => Policy): Promise<Outcome> {
	const random = createSeededRandom(load.seed);
	const time = createVirtualTime(random);
	const {clock, loop, advance} = time;
	const now = () => clock.monotonic();
	const servers = createServers(loop.sleep, random, load.broken ?? [0, 0]);
	const policy = createPolicy(random, time);
	const latencies: number[] = [];
	let crossRegionBytes = 0;
	let sent = 0;
	let attempts = 0;

	async function sendOne(): Promise<void> {
		sent += 1;
		const startedAt = now();
		const group = `group ${Math.floor(sent / GROUP_SIZE)}`;
		const answered = await policy.send({
			id: String(sent),
			daemon: sent % DAEMONS,
			group,
			deadline: startedAt + DEADLINE_MS,
			async run(server) {
				attempts += 1;
				if (regionOf(server) === 'near') {
					return servers.run(server, group);
				}

				crossRegionBytes += BYTES;
				await loop.sleep(CROSS_REGION_MS / 2);
				const whole = await servers.run(server, group);
				await loop.sleep(CROSS_REGION_MS / 2);
				return whole;
			},
		});
		if (answered && now() - startedAt <= DEADLINE_MS) {
			latencies.push(now() - startedAt);
		}
	}

	const arrivals = loop.every({
		name: 'arrivals',
		periodMs: 1000 / (load.factor * SATURATION),
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
		crossRegionBytes: crossRegionBytes / Math.max(1, attempts),
		prefixHits: servers.hits() / Math.max(1, attempts),
		attempts: attempts / Math.max(1, sent),
	};
}
