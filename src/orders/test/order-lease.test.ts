import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err, ok} from 'neverthrow';
import {createOutcomeUnknown} from '../../base/common/failure.js';
import {createMemoryObjects} from '../../../test/fakes/memory-objects.js';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {canTake, computeRemainingMs, createLeaseTimes} from '../common/lease-policy.js';
import {createOrderLease} from '../node/order-lease.js';

const test = suite('lease on orders');
const LEASE_MS = 3000;
const times = createLeaseTimes(LEASE_MS);

function createWorld(names: readonly string[]) {
	const random = createSeededRandom(7);
	const time = createVirtualTime(random);
	const store = createMemoryObjects(time.loop);
	const network = createMeshNetwork(time.loop);
	const cut = new Set<string>();
	const wallJumps = new Map<string, number>();
	let revision = 0;
	let renewedAt = 0;
	time.loop.every({
		name: 'observe lease', periodMs: 5, run(now) {
			const found = store.find('order-leases', 'orders');
			if (found !== undefined && found.revision !== revision) {
				revision = found.revision;
				renewedAt = now;
			}
		},
	});
	const start = (name: string, incarnation = '1') => createOrderLease({
		api: store.open(name), mesh: network.join(name, incarnation), clock: {...time.clock, wall: () => time.clock.wall() + (wallJumps.get(name) ?? 0)}, loop: time.loop, random, log: silentLog, times, reachesEngines: () => !cut.has(name), onDidTake: () => undefined, onDidLose: () => undefined,
	});
	const leases = new Map(names.map(name => [name, start(name)]));
	return {
		time, store, network, cut, leases, start, wallJumps,
		/** Time of the last renewal of the stored lease, as far as the store shows it: it was sent some milliseconds before. */
		renewedAt: () => renewedAt,
		holders: () => [...leases].flatMap(([name, lease]) => (lease.fencing(time.clock.monotonic()) === undefined ? [] : [name])),
		fencing: () => [...leases.values()].flatMap(lease => lease.fencing(time.clock.monotonic()) ?? []),
	};
}

test('one daemon takes the lease and keeps it', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	const first = world.holders();
	assert.is(first.length, 1);
	const fencing = world.fencing();
	await world.time.advance(30_000);
	assert.equal(world.holders(), first);
	assert.equal(world.fencing(), fencing);
});

/** Time between two checks of a daemon, with its jitter and some calls. */
const CHECK_MS = 1500;

// The last order of the former run may still be under way, in buffers of the machine or on a link that heals, although another run answers.
test('a holder whose process runs again is replaced once its lease has lapsed and no sooner, with a higher fencing number', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	const [before] = world.fencing();
	world.network.kill(holder!);
	world.leases.get(holder!)!.dispose();
	const renewedAt = world.renewedAt();
	world.leases.set(holder!, world.start(holder!, '2'));
	await world.time.advance(Math.max(0, renewedAt + times.idleLapseMs - world.time.clock.monotonic() - 20));
	assert.equal(world.holders(), []);
	await world.time.advance(CHECK_MS);
	assert.is(world.holders().length, 1);
	assert.ok(world.fencing()[0]! > before!);
});

test('a daemon that got the address of the holder and answers there does not end the holder\'s lease', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	world.network.answerFor(holder!, 'order-lease', {incarnation: 'other', holds: false});
	let most = 0;
	world.time.loop.every({
		name: 'look', periodMs: 20, run() {
			most = Math.max(most, world.holders().length);
		},
	});
	await world.time.advance(20_000);
	assert.is(most, 1);
	assert.equal(world.holders(), [holder], 'it renews the lease all the while');
});

test('a holder whose process has ended for good is replaced within 2.5 s after its lease has lapsed', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	const [before] = world.fencing();
	world.network.kill(holder!);
	world.leases.get(holder!)!.dispose();
	world.leases.delete(holder!);
	const readsBefore = world.store.calls.get('read') ?? 0;
	const lapsesAt = world.renewedAt() + times.idleLapseMs;
	await world.time.advance(lapsesAt - world.time.clock.monotonic() - 10);
	assert.ok((world.store.calls.get('read') ?? 0) - readsBefore <= 4, 'while they wait, the others read the lease twice at most');
	assert.equal(world.holders(), []);
	await world.time.advance(2510);
	assert.is(world.holders().length, 1);
	assert.ok(world.fencing()[0]! > before!);
});

// Incident docs/incidents/refused-is-not-ended.md: two daemons gave orders while a partition refused connections to the holder of the lease.
test('never two daemons hold the lease while partitions refuse connections to the holder, whether it reaches the store or not', async () => {
	const random = createSeededRandom(13);
	const world = createWorld(['d1', 'd2', 'd3', 'd4']);
	let most = 0;
	world.time.loop.every({
		name: 'look', periodMs: 20, run() {
			most = Math.max(most, world.holders().length);
		},
	});
	await world.time.advance(3000);
	await Array.from({length: 20}).reduce<Promise<void>>(async previous => {
		await previous;
		const [holder] = world.holders();
		if (holder !== undefined) {
			world.network.refusing.add(holder);
			if (random() < 0.7) {
				world.store.partitioned.add(holder);
			}
		}

		await world.time.advance(5500);
		world.network.refusing.clear();
		world.store.partitioned.clear();
		await world.time.advance(3500);
	}, Promise.resolve());
	assert.is(most, 1);
});

test('never two daemons hold the lease, while random daemons are partitioned from the store or from the others', async () => {
	const random = createSeededRandom(11);
	const world = createWorld(['d1', 'd2', 'd3', 'd4']);
	let most = 0;
	world.time.loop.every({
		name: 'look', periodMs: 20, run() {
			most = Math.max(most, world.holders().length);
		},
	});
	world.time.loop.every({
		name: 'faults', periodMs: 1500, run() {
			const name = `d${1 + Math.floor(random() * 4)}`;
			const set = random() < 0.5 ? world.store.partitioned : world.network.unresponsive;
			if (!set.delete(name)) {
				set.add(name);
			}
		},
	});
	await world.time.advance(180_000);
	assert.is(most, 1);
});

test('a holder that can not renew the lease stops before another daemon may take it', () => {
	const reading = (at: number, jumpMs = 0) => ({monotonic: at, wall: at + jumpMs});
	[times.busyLapseMs, times.idleLapseMs].forEach(lapseMs => {
		const stops = lapseMs * 0.85;
		assert.ok(computeRemainingMs(reading(0), reading(stops - 1), lapseMs) > 0);
		assert.not.ok(computeRemainingMs(reading(0), reading(stops), lapseMs) > 0);
		assert.ok(computeRemainingMs(reading(0), reading(stops - 1, -4000), lapseMs) > 0);
		assert.not.ok(computeRemainingMs(reading(0), reading(stops, -4000), lapseMs) > 0, 'the wall clock was set back');
		assert.not.ok(canTake({renewedBy: 0, lapseMs, isReleased: false}, lapseMs - 1));
		assert.ok(canTake({renewedBy: 0, lapseMs, isReleased: false}, lapseMs));
	});
});

// Guards against orders of two daemons: the monotonic clock of a suspended VM stands still, so the holder would count its lease as fresh.
test('a holder whose VM was suspended gives no order before it has renewed the lease', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	const fencing = world.fencing();
	world.wallJumps.set(holder!, 8000);
	assert.equal(world.fencing(), []);
	await world.time.advance(2000);
	assert.equal(world.fencing(), fencing, 'nobody has taken the lease meanwhile');
	world.wallJumps.set(holder!, 0);
	assert.equal(world.fencing(), fencing, 'a clock that was set back changes nothing');
});

test('a renewal whose response was lost is recognised', async () => {
	const world = createWorld(['d1']);
	await world.time.advance(3000);
	const fencing = world.fencing();
	world.store.loseNextWrite.add('d1');
	await world.time.advance(30_000);
	assert.equal(world.fencing(), fencing);
});

// Incident docs/incidents/stranded-daemons.md: a holder without links to the engines kept the lease, and engines loaded no version meanwhile.
test('a holder that can not reach the engines gives no order, and is replaced within 5 s by a daemon that can', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	const [before] = world.fencing();
	const others = ['d1', 'd2', 'd3'].filter(name => name !== holder);
	world.cut.add(holder!).add(others[0]!);
	assert.equal(world.holders(), []);
	await world.time.advance(5000);
	assert.equal(world.holders(), [others[1]]);
	assert.ok(world.fencing()[0]! > before!);
	world.cut.clear();
	await world.time.advance(20_000);
	assert.equal(world.holders(), [others[1]], 'the lease stays where it is when the links are back');
});

test('links that come and go do not pass the lease on', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	await Array.from({length: 20}).reduce<Promise<void>>(async previous => {
		await previous;
		world.cut.add(holder!);
		await world.time.advance(300);
		world.cut.delete(holder!);
		await world.time.advance(1700);
	}, Promise.resolve());
	assert.equal(world.holders(), [holder]);
});

test('the lease is taken again after no daemon could reach the engines', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	world.cut.add('d1').add('d2').add('d3');
	await world.time.advance(10_000);
	assert.equal(world.holders(), []);
	world.cut.clear();
	await world.time.advance(5000);
	assert.is(world.holders().length, 1);
});

// Guards against a holder that releases the lease while its last order is under way, which then reaches a server after an order of the next holder.
test('a holder does not hand the lease on while an action is under way; one without an answer leaves the lease to lapse', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(3000);
	const [first] = world.holders();
	const {loop, clock} = world.time;
	const {revision} = world.store.find('order-leases', 'orders')!;
	let endedAt = Number.POSITIVE_INFINITY;
	void world.leases.get(first!)!.act(async () => {
		await loop.sleep(900);
		endedAt = clock.monotonic();
		return ok(undefined);
	});
	void world.leases.get(first!)!.release();
	assert.equal(world.holders(), [], 'nothing more is begun');
	await world.time.advance(880);
	assert.is(world.store.find('order-leases', 'orders')!.revision, revision, 'not released yet');
	await world.time.advance(CHECK_MS);
	assert.ok(endedAt < clock.monotonic());
	const [second] = world.holders();
	assert.ok(second !== undefined && second !== first);
	const renewedAt = world.renewedAt();
	void world.leases.get(second)!.act(async () => err(createOutcomeUnknown('unavailable', {step: 'order', peer: 's'}, 'no response')));
	await Promise.all([world.leases.get(second)!.release(), world.time.advance(1000)]);
	await world.time.advance(Math.max(0, renewedAt + times.busyLapseMs - clock.monotonic() - 20));
	assert.equal(world.holders(), [], 'its effect may still come');
	await world.time.advance(CHECK_MS);
	assert.is(world.holders().length, 1);
});

// Guards against calls that outlast the lease: an order was checked, then connected for 0.3 s and answered within 1 s, whatever became of the lease.
test('an action ends with the term: it may not be sent any more, and its signal aborts before another daemon may act', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	const events: string[] = [];
	void world.leases.get(holder!)!.act(async ({signal, isCurrent}) => {
		assert.ok(isCurrent());
		signal.addEventListener('abort', () => {
			events.push(`aborted, ${isCurrent() ? 'may' : 'may not'} be sent, held by ${world.holders().join(',') || 'nobody'}`);
		});
		await new Promise(resolve => {
			signal.addEventListener('abort', resolve);
		});
		return err(createOutcomeUnknown('aborted', {step: 'order', peer: 's'}, 'aborted'));
	});
	await world.time.advance(10_000);
	assert.equal(events, [], 'renewals prolong the term');
	world.store.partitioned.add(holder!);
	world.network.unresponsive.add(holder!);
	await world.time.advance((2 * times.idleLapseMs) + CHECK_MS);
	assert.equal(events, ['aborted, may not be sent, held by nobody']);
	assert.is(world.holders().length, 1);
	assert.is(await world.leases.get(holder!)!.act(async () => ok(1)), undefined, 'the former holder performs nothing');
});

// The number of a renewal tells which one the store has; taken for the latest, the term would count from a later time than others count from.
test('a renewal that took effect late and without an answer counts from when it was sent', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	let most = 0;
	world.time.loop.every({
		name: 'look', periodMs: 10, run() {
			most = Math.max(most, world.holders().length);
		},
	});
	const [holder] = world.holders();
	await world.time.advance(world.renewedAt() + (times.idleLapseMs * 0.7) - world.time.clock.monotonic());
	world.store.delayNextWrite.set(holder!, 40);
	await world.time.advance(300);
	world.network.unresponsive.add(holder!);
	const tookEffectAt = world.renewedAt();
	// Its next attempt fails, as the first one has taken effect, and after that the store no longer answers it.
	await world.time.advance(1000);
	world.store.partitioned.add(holder!);
	await world.time.advance(Math.max(0, tookEffectAt + times.idleLapseMs - world.time.clock.monotonic() - 20));
	assert.is(world.leases.get(holder!)!.fencing(world.time.clock.monotonic()), undefined, 'it has stopped before the lapse that others count');
	await world.time.advance(6000);
	assert.is(most, 1);
});

test('a daemon that was replaced acts again 3 s after its last action at the earliest', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [first] = world.holders();
	const second = first === 'd1' ? 'd2' : 'd1';
	const {clock} = world.time;
	await Promise.all([world.leases.get(first!)!.act(async () => ok(1)), world.time.advance(1)]);
	const actedAt = clock.monotonic();
	await Promise.all([world.leases.get(first!)!.release(), world.time.advance(20)]);
	world.network.kill(first!);
	world.leases.get(first!)!.dispose();
	await world.time.advance(1400);
	assert.equal(world.holders(), [second]);
	world.leases.set(first!, world.start(first!, '2'));
	const startedAt = clock.monotonic();
	await Promise.all([world.leases.get(second)!.release(), world.time.advance(20)]);
	let actsAgainAt = Number.POSITIVE_INFINITY;
	world.time.loop.every({
		name: 'look', periodMs: 10, run() {
			actsAgainAt = Math.min(actsAgainAt, world.holders().includes(first!) ? clock.monotonic() : Number.POSITIVE_INFINITY);
		},
	});
	await world.time.advance(6000);
	assert.ok(actsAgainAt >= actedAt + LEASE_MS, `acted at ${actedAt}, again at ${actsAgainAt}`);
	assert.ok(actsAgainAt < startedAt + LEASE_MS + CHECK_MS, 'another run does not know when the one before acted, but it was before its start');
});

// Builds run side by side: a holder of an earlier build acts for 5.1 s after its renewal, and does not store how long its lease lasts.
test('the lease of an earlier build is taken after the time of that build', async () => {
	const world = createWorld(['d1']);
	world.store.put('order-leases', 'orders', {
		holder: {
			name: 'old', incarnation: '1', ip: 'old', port: 1, region: 'r', availabilityZone: 'z',
		}, renewals: 3,
	});
	await world.time.advance(5900);
	assert.equal(world.holders(), []);
	await world.time.advance(4500);
	assert.equal(world.holders(), ['d1']);
});

test('a stored lease that can not be decoded is not taken for released', async () => {
	const world = createWorld(['d1']);
	world.store.put('order-leases', 'orders', {holder: 'd2'});
	await world.time.advance(5900);
	assert.equal(world.holders(), []);
	await world.time.advance(4500);
	assert.equal(world.holders(), ['d1']);
});

test('a daemon that starts beside a holder learns of it from another daemon, without the store', async () => {
	const world = createWorld(['d1', 'd2', 'd3']);
	await world.time.advance(4000);
	const reads = world.store.calls.get('read') ?? 0;
	const before = world.holders();
	world.leases.set('d4', world.start('d4'));
	await world.time.advance(10_000);
	assert.is(world.store.calls.get('read') ?? 0, reads);
	const [holder] = before;
	world.network.kill(holder!);
	world.leases.get(holder!)!.dispose();
	['d1', 'd2', 'd3'].filter(name => name !== holder).forEach(name => {
		world.leases.get(name)!.dispose();
	});
	await world.time.advance(6000);
	assert.ok(world.leases.get('d4')!.fencing(world.time.clock.monotonic()) !== undefined, 'it takes the lease when the holder is lost');
});

test('a holder that acts renews more often than one that has nothing to do', async () => {
	const count = async (acts: boolean): Promise<number> => {
		const world = createWorld(['d1', 'd2']);
		world.time.loop.every({
			name: 'act', periodMs: 300, async run() {
				await Promise.all(acts ? world.holders().map(async name => world.leases.get(name)!.act(async () => ok(1))) : []);
			},
		});
		await world.time.advance(3000);
		const before = world.store.calls.get('replace') ?? 0;
		await world.time.advance(48_000);
		return (world.store.calls.get('replace') ?? 0) - before;
	};

	assert.ok(await count(false) <= 20, 'no more than before leases lapsed sooner: one in 2.4 s');
	assert.ok(await count(true) <= 33);
});

test('another daemon takes a released lease', async () => {
	const world = createWorld(['d1', 'd2']);
	await world.time.advance(3000);
	const [holder] = world.holders();
	await Promise.all([world.leases.get(holder!)!.release(), world.time.advance(4000)]);
	assert.is(world.holders().length, 1);
	assert.is.not(world.holders()[0], holder);
});

test.run();
