import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createDutiesPlatform, findViolations} from '../../../test/fakes/duties-platform.js';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createStubLease} from '../../../test/fakes/stub-lease.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {Deployment} from '../../gateway/common/deployment.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createDutyTerm} from '../common/duty-term.js';
import {createDutyCalls} from '../node/duty-calls.js';
import {createLoadCollection} from '../node/load-collection.js';
import {createScaleDuty} from '../node/scale-duty.js';

const test = suite('orders of servers');
const LEASE_MS = 3000;
const deployment: Deployment = {
	version: 1,
	routes: [],
	pools: [{
		name: 'p', maximumConnections: 1, slots: 4, models: [], scale: {
			minimum: 1, maximum: 10, bootMs: 4000, priceByZone: {},
		},
	}],
	limits: {maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
};

/** Two daemons, each with the given requests at the pool's servers of four slots; `d1` holds the lease first. */
function createWorld(servers: number) {
	const time = createVirtualTime();
	const {clock, loop} = time;
	const network = createMeshNetwork(loop);
	const platform = createDutiesPlatform(loop, clock.monotonic);
	const world = {
		time, network, platform, servers, requests: 0, waiting: 0, lease: {holder: 'd1', fencing: 5}, connectedSince: 0 as number | undefined,
	};
	['d1', 'd2'].forEach(name => {
		const lease = createStubLease(() => (world.lease.holder === name ? world.lease.fencing : undefined));
		const duty = createScaleDuty({
			api: platform.api,
			lease,
			calls: createDutyCalls({
				holder: name, lease, term: createDutyTerm(LEASE_MS), callsPerSecond: 2, clock, log: silentLog, metrics: silentMetrics,
			}),
			collection: createLoadCollection({
				mesh: network.join(name), log: silentLog, readOwn: () => ({requests: Object.fromEntries(Array.from({length: world.servers}, (_, index) => [`s${index}`, world.requests])), waiting: {}, refused: {p: world.waiting}}),
			}),
			deployment: {current: () => deployment, mayBeOutdated: () => false},
			view: {
				all: () => Array.from({length: world.servers}, (_, index) => ({
					id: `s${index}`, pool: 'p', address: 'x', port: 1, availabilityZone: 'a', slots: 4, isLeaving: false, versions: new Map(), sequence: 1, startedAt: 1,
				})),
				connectedSince: () => world.connectedSince,
			},
			clock,
		});
		loop.every({name: 'scaling', periodMs: 1000, run: duty.run});
	});
	return world;
}

function listOrders({platform}: ReturnType<typeof createWorld>): readonly number[] {
	return platform.orders.map(({call}) => call.servers);
}

test('the requests of all daemons fill the pool, and the holder orders servers for them once', async () => {
	const world = createWorld(2);
	world.requests = 2;
	world.waiting = 2;
	await world.time.advance(16_000);
	assert.equal(listOrders(world), [3]);
	assert.equal(world.platform.orders[0]!.call, {pool: 'p', zone: 'a', servers: 3});
});

test('nothing is released while a daemon does not answer, and one server after 30 s of answers', async () => {
	const world = createWorld(3);
	world.network.unresponsive.add('d2');
	await world.time.advance(100_000);
	assert.equal(listOrders(world), []);
	world.network.unresponsive.clear();
	await world.time.advance(35_000);
	assert.equal(listOrders(world), [2]);
});

test('nothing is ordered while the store does not answer, nor right after its return', async () => {
	const world = createWorld(2);
	world.requests = 4;
	world.waiting = 9;
	world.connectedSince = undefined;
	await world.time.advance(20_000);
	world.connectedSince = 20_000;
	await world.time.advance(4000);
	assert.equal(listOrders(world), []);
	await world.time.advance(12_000);
	assert.is(listOrders(world).length, 1);
});

test('an order that the platform has no room for is given again, and one that it refuses is not repeated each second', async () => {
	const world = createWorld(2);
	world.requests = 2;
	world.waiting = 2;
	let calls = 0;
	world.platform.fate = () => {
		calls += 1;
		return calls < 4 ? 'limited' : 'refused';
	};

	await world.time.advance(23_000);
	assert.is(calls, 4);
});

test('when the lease passes to another daemon during a late call, no two holders mix, and the new holder waits first', async () => {
	const world = createWorld(2);
	world.requests = 2;
	world.waiting = 2;
	world.platform.fate = () => {
		world.lease = {holder: 'd2', fencing: 9};
		world.platform.fate = () => 'accepted';
		return 2500;
	};

	await world.time.advance(24_000);
	assert.equal(world.platform.orders.map(({holder}) => holder), ['d1', 'd2']);
	assert.equal(findViolations(world.platform.orders, LEASE_MS), []);
});

test.run();
