import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err} from 'neverthrow';
import {createDutiesPlatform, findViolations} from '../../../test/fakes/duties-platform.js';
import {createMemoryObjects} from '../../../test/fakes/memory-objects.js';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createNotRun, createOutcomeUnknown} from '../../base/common/failure.js';
import {silentLog, type Log} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createLeaseTimes} from '../../orders/common/lease-policy.js';
import {createOrderLease} from '../../orders/node/order-lease.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import {computeQuietMs, createDutyTerm} from '../common/duty-term.js';
import {createFleetTime, TIME_SAMPLE_MS} from '../common/fleet-time.js';
import {createUsageCounter} from '../common/usage-counter.js';
import {createDutyCalls} from '../node/duty-calls.js';
import {createUsageCollection} from '../node/usage-collection.js';
import {createUsageDuty} from '../node/usage-duty.js';
import {createUsageStore} from '../node/usage-store.js';

const test = suite('usage reports');
const LEASE_MS = 3000;
const times = {windowMs: 5000, reportDueMs: 10_000};

type Options = {
	readonly checksFencing?: boolean;
	/** Milliseconds by which the wall clock of a daemon is off. */
	readonly wallOffset?: (name: string) => number;
	readonly log?: Log;
	readonly seed?: number;
};

/** Daemons that each begin a request of organisation `t` every 100 ms. */
function createWorld(names: readonly string[], {checksFencing = true, wallOffset = () => 0, log = silentLog, seed = 3}: Options = {}) {
	const random = createSeededRandom(seed);
	const virtual = createVirtualTime(random);
	const {loop, clock: {monotonic}} = virtual;
	const store = createMemoryObjects(loop);
	const network = createMeshNetwork(loop);
	const platform = createDutiesPlatform(loop, monotonic);
	const ended = new Set<string>();
	/** Pairs of daemons of which the first can't call the second. */
	const cutLinks = new Set<string>();
	/** Pairs of daemons of which the first is refused by a partition before the second. */
	const refusedLinks = new Set<string>();
	const truth = new Map<number, number>();
	const startOf = (name: string) => {
		const clock = {monotonic, wall: () => virtual.clock.wall() + wallOffset(name)};
		const joined = network.join(name);
		const mesh: PeerMesh = {
			...joined, async call(peer, call, body, timeoutMs) {
				const origin = {step: call, peer: peer.name};
				if (refusedLinks.has(`${name} ${peer.name}`)) {
					return err(createNotRun('unavailable', origin, 'connect ECONNREFUSED'));
				}

				return cutLinks.has(`${name} ${peer.name}`) ? err(createOutcomeUnknown('unavailable', origin, 'no answer')) : joined.call(peer, call, body, timeoutMs);
			},
		};
		const lease = createOrderLease({
			api: store.open(name), mesh, clock, loop, random, log: silentLog, times: createLeaseTimes(LEASE_MS), reachesEngines: () => true, onDidTake: () => undefined, onDidLose: () => undefined,
		});
		const counter = createUsageCounter(times.windowMs);
		const time = createFleetTime(clock);
		const collection = createUsageCollection({
			mesh, counter, time, clock, loop, log, metrics: silentMetrics,
		});
		const fencing = (now: number) => (ended.has(name) ? undefined : lease.fencing(now));
		const calls = createDutyCalls({
			holder: name, lease: {...lease, fencing}, term: createDutyTerm(computeQuietMs(LEASE_MS, checksFencing)), callsPerSecond: 2, clock, log, metrics: silentMetrics,
		});
		const duty = createUsageDuty({
			api: platform.api, lease: {fencing}, calls, collection, store: createUsageStore(store.open(name), log), time, times, clock, log,
		});
		loop.every({name: 'collect', periodMs: 250, run: duty.collect});
		loop.every({name: 'send', periodMs: 250, run: duty.send});
		loop.every({name: 'sample', periodMs: TIME_SAMPLE_MS, run: time.sample});
		loop.every({
			name: 'requests', periodMs: 100, run(now) {
				if (!ended.has(name)) {
					counter.track({organisation: 't'}, {pool: 'p', hasFreeSlot: true}, now).end(true, now);
					const windowId = Math.floor(virtual.clock.wall() / times.windowMs);
					truth.set(windowId, (truth.get(windowId) ?? 0) + 1);
				}
			},
		});
		return {lease, collection};
	};

	const daemons = new Map(names.map(name => [name, startOf(name)]));
	return {
		time: virtual, store, network, platform, daemons, truth, cutLinks, refusedLinks,
		holder: () => names.find(name => !ended.has(name) && daemons.get(name)!.lease.fencing(monotonic()) !== undefined)!,
		kill(name: string) {
			ended.add(name);
			network.kill(name);
			daemons.get(name)!.lease.dispose();
		},
		/** Counts that the platform got for each window. */
		reported: () => new Map(platform.reports.map(({call}) => [call.windowId, call.counts.t ?? 0])),
		differing: () => platform.reports.filter(({call}) => platform.reports.some(other => other.call.windowId === call.windowId && JSON.stringify(other.call.counts) !== JSON.stringify(call.counts))),
	};
}

const FIRST_WINDOW = 1_700_000_000_000 / 5000;

test('each window is reported once and in time, with the requests of all daemons', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(60_000);
	const ids = world.platform.reports.map(({call}) => call.windowId);
	assert.equal(ids, Array.from({length: 11}, (_, index) => FIRST_WINDOW + index));
	world.reported().forEach((count, windowId) => {
		assert.is(count, world.truth.get(windowId));
	});
	assert.ok(world.platform.reports.every(({at, call}) => 1_700_000_000_000 + at < ((call.windowId + 1) * 5000) + 10_000));
});

test('a successor sends the counts that are stored, when the holder dies after its call was carried out without an answer', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(20_000);
	const holder = world.holder();
	world.platform.fate = () => {
		world.kill(holder);
		world.platform.fate = () => 'accepted';
		return 2500;
	};

	await world.time.advance(40_000);
	const {reports} = world.platform;
	const repeated = reports.filter((report, index) => reports.some((other, position) => position !== index && other.call.windowId === report.call.windowId));
	assert.is(new Set(repeated.map(report => report.holder)).size, 2);
	assert.equal(world.differing(), []);
	assert.equal(findViolations(reports, LEASE_MS), []);
});

test('no window gets two counts and holders keep their order, while stores, links and calls fail at random', async () => {
	await Array.from({length: 6}, (_, seed) => seed).reduce<Promise<void>>(async (previous, seed) => {
		await previous;
		const random = createSeededRandom(100 + seed);
		const names = ['d1', 'd2', 'd3', 'd4'];
		const world = createWorld(names, {checksFencing: false, seed});
		world.platform.fate = () => (random() < 0.3 ? random() * 2500 : (random() < 0.1 ? 'limited' : 'accepted'));
		world.time.loop.every({
			name: 'faults', periodMs: 1500, run() {
				const name = names[Math.floor(random() * names.length)]!;
				const draw = random();
				if (draw < 0.25) {
					world.store.loseNextWrite.add(name);
				} else if (draw < 0.5) {
					world.store.delayNextWrite.set(name, random() * 4000);
				} else {
					const set = draw < 0.75 ? world.store.partitioned : world.network.unresponsive;
					if (!set.delete(name)) {
						set.add(name);
					}
				}
			},
		});
		await world.time.advance(180_000);
		world.platform.fate = () => 'accepted';
		assert.ok(world.platform.reports.length > 5, `seed ${seed}: ${world.platform.reports.length} reports`);
		assert.equal(world.differing(), [], `seed ${seed}`);
		assert.equal(findViolations(world.platform.reports, LEASE_MS), [], `seed ${seed}`);
	}, Promise.resolve());
});

// The lease itself passes on at once when it is released, so the holders may be A, B, A within a second.
test('a holder makes no call for the time of a lease after it took the lease, and again after its clocks have shifted', () => {
	const term = createDutyTerm(computeQuietMs(LEASE_MS, true));
	assert.is(term.observe(5, 0), undefined);
	assert.is(term.observe(5, 3000), 5);
	assert.is(term.observe(undefined, 3100), undefined);
	assert.is(term.observe(5, 3200), 5, 'the same number: nobody else held the lease');
	assert.is(term.observe(7, 3900), undefined);
	assert.is(term.observe(7, 6899), undefined);
	term.restart(6950);
	assert.is(term.observe(7, 9949), undefined);
	assert.is(term.observe(7, 9950), 7);
	assert.is(computeQuietMs(LEASE_MS, false), 6000);
});

test('after a 409 the holder does not call again with its fencing number', async () => {
	const world = createWorld(['d1']);
	await world.time.advance(20_000);
	let calls = 0;
	world.platform.fate = () => {
		calls += 1;
		return 'fenced';
	};

	await world.time.advance(30_000);
	assert.is(calls, 1);
});

test('nothing is reported while the store does not answer, and all windows afterwards', async () => {
	const world = createWorld(['d1']);
	await world.time.advance(20_000);
	world.platform.fate = () => 60_000;
	await world.time.advance(20_000);
	world.platform.fate = () => 'accepted';
	const before = world.platform.reports.length;
	world.store.partitioned.add('d1');
	await world.time.advance(20_000);
	const sent = world.platform.reports.slice(before).map(({call}) => call.windowId);
	assert.ok(sent.every(windowId => JSON.stringify(world.store.find('usage-reports', 'recent')!.spec).includes(String(windowId))));
	world.store.partitioned.clear();
	await world.time.advance(30_000);
	assert.equal([...world.reported().keys()].toSorted((a, b) => a - b), Array.from({length: 17}, (_, index) => FIRST_WINDOW + index));
});

test('an earlier build does not stop reports, and a line says that its requests are missing', async () => {
	const lines: string[] = [];
	const log: Log = {
		...silentLog, warn(message: string) {
			lines.push(message);
		},
	};
	const world = createWorld(['d1', 'd2'], {log});
	world.network.join('old').handle('usage-counts', async () => ({status: 404, body: null}));
	await world.time.advance(30_000);
	assert.equal(lines, ['daemon of an earlier build does not count its requests; they are missing in usage reports']);
	assert.is(world.reported().get(FIRST_WINDOW + 3), world.truth.get(FIRST_WINDOW + 3));
});

test('a daemon whose clock is off by 17 s counts in the windows of the others', async () => {
	const world = createWorld(['d1', 'd2', 'd3'], {wallOffset: name => (name === 'd2' ? 17_000 : 0)});
	await world.time.advance(60_000);
	assert.equal(world.differing(), []);
	assert.ok(world.reported().size >= 8);
	world.reported().forEach((count, windowId) => {
		assert.ok(Math.abs((count / world.truth.get(windowId)!) - 1) < 0.05, `${count} of ${world.truth.get(windowId)}`);
	});
});

test('a daemon that the holder cannot call is asked over another one', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(20_000);
	const cut = [...world.daemons.keys()].find(name => name !== world.holder());
	world.cutLinks.add(`${world.holder()} ${cut}`);
	await world.time.advance(20_000);
	assert.is(world.reported().get(FIRST_WINDOW + 5), world.truth.get(FIRST_WINDOW + 5));
});

// Incident docs/incidents/refused-is-not-ended.md: a daemon whose connections a partition refused was left out of the report.
test('a daemon to which a partition refuses connections is asked over another one', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(20_000);
	const cut = [...world.daemons.keys()].find(name => name !== world.holder());
	world.refusedLinks.add(`${world.holder()} ${cut}`);
	await world.time.advance(20_000);
	assert.is(world.reported().get(FIRST_WINDOW + 5), world.truth.get(FIRST_WINDOW + 5));
});

// Beyond 32 daemons, one of each group asks the others.
test('the requests of 45 daemons are all counted, although some daemons are dead', async () => {
	const world = createWorld(Array.from({length: 45}, (_, index) => `d${index}`));
	await world.time.advance(12_000);
	[...world.daemons.keys()].filter(name => name !== world.holder()).slice(0, 2).forEach(name => {
		world.network.unresponsive.add(name);
		world.kill(name);
	});
	await world.time.advance(18_000);
	assert.is(world.reported().get(FIRST_WINDOW + 3), world.truth.get(FIRST_WINDOW + 3));
});

test('the counts of a daemon that stops in order are left with others, and count once', async () => {
	const world = createWorld(['d1', 'd2', 'd3', 'd4']);
	await world.time.advance(23_000);
	const leaver = [...world.daemons.keys()].find(name => name !== world.holder())!;
	world.kill(leaver);
	await Promise.all([world.daemons.get(leaver)!.collection.handOver([FIRST_WINDOW + 3, FIRST_WINDOW + 4]), world.time.advance(100)]);
	await world.time.advance(10_000);
	assert.is(world.reported().get(FIRST_WINDOW + 4), world.truth.get(FIRST_WINDOW + 4));
});

test.run();
