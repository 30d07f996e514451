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

/** Mechanisms that a scenario replaces by broken ones. */
type Breakage = {
	readonly random?: Random;
	readonly weights?: Partial<CostWeights>;
	readonly loads?: (loads: LoadEstimate) => LoadEstimate;
};

function createDaemon(vms: readonly Vm[], breakage: Breakage = {}) {
	const table = createServerTable(zone => zone);
	table.update(vms, 0);
	const estimate = createLoadEstimate(() => 4);
	const loads = breakage.loads?.(estimate) ?? estimate;
	const dispatcher = createDispatcher({
		table,
		loads,
		prefixes: createPrefixIndex(100),
		weights: {...defaultCostWeights, ...breakage.weights},
		ownRegion: 'near',
		random: breakage.random ?? createSeededRandom(1),
		reservedElsewhere: () => false,
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

test('sends nothing new to a leaving server, also when the list falls back', () => {
	const {table, choose} = createDaemon([vm('a'), vm('b')]);
	table.update([vm('a', 'leaving'), vm('b')], 1000);
	assert.not.ok(repeat(50, () => choose({}, 1000)).includes('a'));
	table.update([vm('a'), vm('b')], 2000);
	assert.not.ok(repeat(50, () => choose({}, 2000)).includes('a'));
	table.update([vm('a'), vm('b')], 40_000);
	assert.ok(repeat(50, () => choose({}, 40_000)).includes('a'));
});

test('avoids a server that refused, for longer each time', () => {
	const {send, choose} = createDaemon([vm('a'), vm('b')]);
	const toA = (now: number) => send({allowed: ['a']}, now);
	toA(0)._unsafeUnwrap().end(0, 'refused');
	assert.equal([...new Set(repeat(50, () => choose({}, 4900)))], ['b']);
	toA(5000)._unsafeUnwrap().end(5000, 'refused');
	assert.ok(toA(14_000).isErr());
	assert.ok(toA(15_000).isOk());
});

test('refuses as not run when no server is left', () => {
	const {send} = createDaemon([vm('a')]);
	const failure = send({excluded: ['a']})._unsafeUnwrapErr();
	assert.equal([failure.code, failure.effect], ['unavailable', 'notRun']);
});

test('corrects lagging reports by its own dispatches since', () => {
	const {loads} = createDaemon([vm('a')]);
	const end = loads.begin('a', 100);
	loads.begin('a', 300);
	loads.report('a', report(5, 200), 400);
	assert.is(loads.read('a', 500).requests, 6, 'the later dispatch is not in the report yet');
	end(500);
	assert.is(loads.read('a', 500).requests, 5, 'the earlier one has ended since');
	loads.report('a', report(9, 1000), 500);
	assert.is(loads.read('a', 500).requests, 5, 'an older report changes nothing');
});

/** Choices of a group after its first request, with short queues and with a long one at the holder of its prefix. */
function followPrefix(breakage: Breakage = {}) {
	const ids = ['a', 'b', 'c', 'd'];
	const {loads, choose} = createDaemon(ids.map(id => vm(id)), breakage);
	ids.forEach(id => {
		loads.report(id, report(1), 0);
	});
	const grouped = {prefixKey: 'group', prefixTokens: 2000};
	const holder = choose(grouped);
	const early = new Set(repeat(20, () => choose(grouped)));
	loads.report(holder, report(20), 0);
	return {follows: early.size === 1 && early.has(holder), leaves: choose(grouped) !== holder};
}

test('follows a prefix until the queue costs more than the prefill', () => {
	assert.equal(followPrefix(), {follows: true, leaves: true});
});

test('is caught when prefill costs nothing, or more than any queue', () => {
	assert.not(followPrefix({weights: {prefillMsPerToken: 0}}).follows);
	assert.not(followPrefix({weights: {prefillMsPerToken: 100}}).leaves);
});

/** Whether requests reach the other region: with idle own servers, with long own queues, and large answers with long queues. */
function crossRegions(breakage: Breakage = {}): readonly boolean[] {
	const {loads, choose} = createDaemon([vm('a'), vm('b'), vm('c', 'live', 'far')], breakage);
	const crosses = (change: Partial<RouteRequest> = {}) => repeat(50, () => choose(change)).includes('c');
	const idle = crosses();
	['a', 'b'].forEach(id => {
		loads.report(id, report(6), 0);
	});
	return [idle, crosses(), crosses({expectedBytes: 1_000_000})];
}

test('stays in its region until the own queues cost more than the bytes', () => {
	assert.equal(crossRegions(), [false, true, false]);
});

test('is caught when bytes between regions cost nothing', () => {
	assert.equal(crossRegions({weights: {crossRegionMsPerKilobyte: 0}}), [false, true, true]);
});

/** The most requests that one of ten servers gets of 80, sent by 20 daemons that all have the same stale report. */
function countHerd(breakageOf: (daemon: number) => Breakage): number {
	const ids = Array.from({length: 10}, (_, index) => `s${index}`);
	const counts = new Map<string, number>();
	Array.from({length: 20}, (_, daemon) => createDaemon(ids.map(id => vm(id)), breakageOf(daemon))).forEach(({loads, send}) => {
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

const HERD = 24;

test('does not herd: daemons with the same stale reports spread over the servers', () => {
	const most = countHerd(daemon => ({random: createSeededRandom(daemon + 1)}));
	assert.ok(most <= HERD, `one server got ${most} of 80`);
});

test('is caught when all daemons look at the same candidates', () => {
	assert.ok(countHerd(() => ({random: () => 0})) > HERD);
});

/** The most requests that one of two servers gets of 8, sent by one daemon after a report that shows one as idle. */
function countOwn(breakage: Breakage = {}): number {
	const {loads, send} = createDaemon([vm('a'), vm('b')], breakage);
	loads.report('a', report(0), 0);
	loads.report('b', report(1), 0);
	const chosen = repeat(8, () => send({}, 100)._unsafeUnwrap().server.id);
	return Math.max(...['a', 'b'].map(id => chosen.filter(other => other === id).length));
}

test('counts its own dispatches since the report', () => {
	assert.ok(countOwn() <= 5, `one server got ${countOwn()} of 8`);
});

test('is caught when reports are taken at face value', () => {
	const faceValue = (loads: LoadEstimate): LoadEstimate => ({...loads, begin: () => () => undefined});
	assert.is(countOwn({loads: faceValue}), 8);
});

test('reserves a server for a suspect, and leaks no dispatch', () => {
	const {send, dispatcher, loads} = createDaemon([vm('a'), vm('b')]);
	const alone = send({alone: true})._unsafeUnwrap();
	assert.equal(dispatcher.reserved(), [alone.server.id]);
	assert.ok(send({allowed: [alone.server.id]}).isErr());
	alone.end(10, 'done');
	alone.end(20, 'done');
	assert.equal(dispatcher.reserved(), []);
	assert.is(loads.inFlight(alone.server.id), 0);
});

test.run();
