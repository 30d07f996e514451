import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom} from '../../../test/fakes/virtual-loop.js';
import type {Vm} from '../../platform/common/vm-list.js';
import {createDispatcher} from '../common/dispatcher.js';
import {createLoadEstimate} from '../common/load-estimate.js';
import {createPrefixIndex} from '../common/prefix-index.js';
import type {RouteRequest} from '../common/router.js';
import {defaultCostWeights} from '../common/server-cost.js';
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

function createDaemon(vms: readonly Vm[], seed = 1) {
	const table = createServerTable(zone => zone);
	table.update(vms, 0);
	const loads = createLoadEstimate(() => 4);
	const dispatcher = createDispatcher({
		table, loads, prefixes: createPrefixIndex(100), weights: defaultCostWeights, ownRegion: 'near', random: createSeededRandom(seed), reservedElsewhere: () => false,
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

test('follows a prefix until the queue costs more than the prefill', () => {
	const {loads, choose} = createDaemon(['a', 'b', 'c', 'd'].map(id => vm(id)));
	const grouped = {prefixKey: 'group', prefixTokens: 2000};
	const holder = choose(grouped);
	assert.equal([...new Set(repeat(20, () => choose(grouped)))], [holder]);
	loads.report(holder, report(20), 0);
	assert.is.not(choose(grouped), holder);
});

test('stays in its region until the own queues cost more than the bytes', () => {
	const {loads, choose} = createDaemon([vm('a'), vm('b'), vm('c', 'live', 'far')]);
	assert.not.ok(repeat(50, choose).includes('c'));
	['a', 'b'].forEach(id => {
		loads.report(id, report(6), 0);
	});
	assert.ok(repeat(50, choose).includes('c'));
	assert.not.ok(repeat(50, () => choose({expectedBytes: 1_000_000})).includes('c'), 'large answers stay');
});

test('does not herd: daemons with the same stale reports spread over the servers', () => {
	const ids = Array.from({length: 10}, (_, index) => `s${index}`);
	const counts = new Map<string, number>();
	Array.from({length: 20}, (_, seed) => createDaemon(ids.map(id => vm(id)), seed + 1)).forEach(({loads, send}) => {
		ids.forEach((id, index) => {
			loads.report(id, report(index === 0 ? 0 : 1), 0);
		});
		repeat(4, send).forEach(result => {
			const {server} = result._unsafeUnwrap();
			counts.set(server.id, (counts.get(server.id) ?? 0) + 1);
		});
	});
	assert.ok(Math.max(...counts.values()) <= 24, `one server got ${Math.max(...counts.values())} of 80`);
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
