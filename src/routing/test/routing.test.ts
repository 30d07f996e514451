import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Vm} from '../../adapters/common/vm-list.js';
import type {Random} from '../../base/common/random.js';
import {createDispatcher} from '../common/dispatcher.js';
import {createLoadEstimate, type LoadEstimate} from '../common/load-estimate.js';
import {createPrefixIndex} from '../common/prefix-index.js';
import type {RouteRequest} from '../common/router.js';
import {defaultCostWeights, type CostWeights} from '../common/server-cost.js';
import {createServerTable} from '../common/server-table.js';

const test = suite('routing');

const vm = (id: string, state: Vm['state'] = 'live', availabilityZone = 'near'): Vm => ({
	id, address: '127.0.0.1', port: 1, availabilityZone, state, pool: 'pool',
});
const request: RouteRequest = {
	pool: 'pool', prefixKey: undefined, prefixTokens: 0, expectedTokens: 0, expectedBytes: 1024, excluded: [], allowed: undefined, alone: false,
};
const report = (running: number, ageMs = 0) => ({
	running, queued: 0, slots: 4, tokensPerSecond: 0, ageMs,
});

/** Mechanisms that a scenario replaces by faulty ones, to show that its check detects the fault. */
type Faults = {
	readonly random?: Random;
	readonly weights?: Partial<CostWeights>;
	readonly loads?: (loads: LoadEstimate) => LoadEstimate;
};

function createDaemon(vms: readonly Vm[], faults: Faults = {}) {
	const table = createServerTable(zone => zone);
	table.update(vms, 0);
	const estimate = createLoadEstimate(() => 4);
	const loads = faults.loads?.(estimate) ?? estimate;
	const dispatcher = createDispatcher({
		table,
		loads,
		prefixes: createPrefixIndex(100),
		weights: {...defaultCostWeights, ...faults.weights},
		ownRegion: 'near',
		random: faults.random ?? createSeededRandom(1),
		isReservedElsewhere: () => false,
	});
	const send = (change: Partial<RouteRequest> = {}, now = 0) => dispatcher.dispatch({...request, ...change}, now);
	const choose = (change: Partial<RouteRequest> = {}, now = 0) => {
		const dispatch = send(change, now)._unsafeUnwrap();
		dispatch.end(now, 'cancelled');
		return dispatch.server.id;
	};

	return {
		table, loads, dispatcher, send, choose,
	};
}

const repeat = <T>(count: number, action: () => T): readonly T[] => Array.from({length: count}, action);

test('a leaving server gets no new requests, also when an older list shows it as live', () => {
	const {table, choose} = createDaemon([vm('a'), vm('b')]);
	table.update([vm('a', 'leaving'), vm('b')], 1000);
	assert.not.ok(repeat(50, () => choose({}, 1000)).includes('a'));
	table.update([vm('a'), vm('b')], 2000);
	assert.not.ok(repeat(50, () => choose({}, 2000)).includes('a'));
	table.update([vm('a'), vm('b')], 40_000);
	assert.ok(repeat(50, () => choose({}, 40_000)).includes('a'));
});

test('a server that refused is avoided, for longer after each refusal', () => {
	const {send, choose} = createDaemon([vm('a'), vm('b')]);
	const toA = (now: number) => send({allowed: ['a']}, now);
	toA(0)._unsafeUnwrap().end(0, 'refused');
	assert.equal([...new Set(repeat(50, () => choose({}, 4900)))], ['b']);
	toA(5000)._unsafeUnwrap().end(5000, 'refused');
	assert.ok(toA(14_000).isErr());
	assert.ok(toA(15_000).isOk());
});

test('a request fails as not run when no server is left', () => {
	const {send} = createDaemon([vm('a')]);
	const failure = send({excluded: ['a']})._unsafeUnwrapErr();
	assert.equal([failure.code, failure.effect], ['unavailable', 'notRun']);
});

test('delayed load reports are corrected by own dispatches since', () => {
	const {loads} = createDaemon([vm('a')]);
	const end = loads.beginDispatch('a', 100);
	loads.beginDispatch('a', 300);
	loads.report('a', report(5, 200), 400);
	assert.is(loads.read('a', 500).requests, 6, 'the later dispatch is not in the report yet');
	end(500);
	assert.is(loads.read('a', 500).requests, 5, 'the earlier one has ended since');
	loads.report('a', report(9, 1000), 500);
	assert.is(loads.read('a', 500).requests, 5, 'an older report changes nothing');
});

/** Whether requests of a group follow the first one to the server with their prefix, and whether they leave it when its queue is long. */
function followPrefix(faults: Faults = {}) {
	const ids = ['a', 'b', 'c', 'd'];
	const {loads, choose} = createDaemon(ids.map(id => vm(id)), faults);
	ids.forEach(id => {
		loads.report(id, report(1), 0);
	});
	const grouped = {prefixKey: 'group', prefixTokens: 2000};
	const holder = choose(grouped);
	const early = new Set(repeat(20, () => choose(grouped)));
	loads.report(holder, report(20), 0);
	return {follows: early.size === 1 && early.has(holder), leaves: choose(grouped) !== holder};
}

test('requests follow their prefix until the queue costs more than the prefill', () => {
	assert.equal(followPrefix(), {follows: true, leaves: true});
});

test('the check fails when prefill costs nothing, or more than any queue', () => {
	assert.not(followPrefix({weights: {prefillMsPerToken: 0}}).follows);
	assert.not(followPrefix({weights: {prefillMsPerToken: 100}}).leaves);
});

/** Whether requests go to the other region when the own servers are idle, when their queues are long, and when the queues are long but the requests large. */
function crossRegions(faults: Faults = {}): readonly boolean[] {
	const {loads, choose} = createDaemon([vm('a'), vm('b'), vm('c', 'live', 'far')], faults);
	const crosses = (change: Partial<RouteRequest> = {}) => repeat(50, () => choose(change)).includes('c');
	const idle = crosses();
	['a', 'b'].forEach(id => {
		loads.report(id, report(6), 0);
	});
	return [idle, crosses(), crosses({expectedBytes: 1_000_000})];
}

test('requests stay in their region until the queues there cost more than the traffic to another region', () => {
	assert.equal(crossRegions(), [false, true, false]);
});

test('the check fails when traffic between regions costs nothing', () => {
	assert.equal(crossRegions({weights: {crossRegionMsPerKilobyte: 0}}), [false, true, true]);
});

/** Maximum number of requests that one of ten servers gets out of 80, sent by 20 daemons that all have the same outdated reports. */
function countMostLoaded(faultsOf: (daemon: number) => Faults): number {
	const ids = Array.from({length: 10}, (_, index) => `s${index}`);
	const counts = new Map<string, number>();
	Array.from({length: 20}, (_, daemon) => createDaemon(ids.map(id => vm(id)), faultsOf(daemon))).forEach(({loads, send}) => {
		ids.forEach((id, index) => {
			loads.report(id, report(index === 0 ? 0 : 1), 0);
		});
		repeat(4, send).forEach(result => {
			const {server} = result._unsafeUnwrap();
			counts.set(server.id, (counts.get(server.id) ?? 0) + 1);
		});
	});
	return Math.max(...counts.values());
}

const MAXIMUM_PER_SERVER = 24;

test('daemons with the same outdated reports spread their requests over the servers', () => {
	const most = countMostLoaded(daemon => ({random: createSeededRandom(daemon + 1)}));
	assert.ok(most <= MAXIMUM_PER_SERVER, `one server got ${most} of 80`);
});

test('the check fails when all daemons consider the same candidates', () => {
	assert.ok(countMostLoaded(() => ({random: () => 0})) > MAXIMUM_PER_SERVER);
});

/** Maximum number of requests that one of two servers gets out of 8, sent by one daemon after a report that shows one of them as idle. */
function countMostChosen(faults: Faults = {}): number {
	const {loads, send} = createDaemon([vm('a'), vm('b')], faults);
	loads.report('a', report(0), 0);
	loads.report('b', report(1), 0);
	const chosen = repeat(8, () => send({}, 100)._unsafeUnwrap().server.id);
	return Math.max(...['a', 'b'].map(id => chosen.filter(other => other === id).length));
}

test('own dispatches since the report are counted', () => {
	assert.ok(countMostChosen() <= 5, `one server got ${countMostChosen()} of 8`);
});

test('the check fails when reports are used without correction', () => {
	const uncorrected = (loads: LoadEstimate): LoadEstimate => ({...loads, beginDispatch: () => () => undefined});
	assert.is(countMostChosen({loads: uncorrected}), 8);
});

test('a request that must run alone reserves its server, and ending it twice releases both once', () => {
	const {send, dispatcher, loads} = createDaemon([vm('a'), vm('b')]);
	const alone = send({alone: true})._unsafeUnwrap();
	assert.equal(dispatcher.listReserved(), [alone.server.id]);
	assert.ok(send({allowed: [alone.server.id]}).isErr());
	alone.end(10, 'done');
	alone.end(20, 'done');
	assert.equal(dispatcher.listReserved(), []);
	assert.is(loads.inFlight(alone.server.id), 0);
});

test.run();
