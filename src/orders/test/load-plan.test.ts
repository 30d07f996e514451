import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	assignEngines, countConcurrentLoads, createLagBook, planLoads, type Assignment, type ModelTarget, type PlannedEngine,
} from '../common/load-plan.js';

const test = suite('plan of loads');

function engines(count: number, versions: (index: number) => Readonly<Record<string, number>>): readonly PlannedEngine[] {
	return Array.from({length: count}, (_, index) => ({id: `e${index}`, versions: new Map(Object.entries(versions(index))), running: 0}));
}

const idle = {loading: new Map<string, string>(), active: 0};

function all(list: readonly PlannedEngine[], models: readonly string[]): Assignment {
	return new Map(list.map(engine => [engine.id, models]));
}

function target(version: number, lag: number): ModelTarget {
	return {version, lag};
}

/** Carries plans out, one round after another, until nothing is due; returns the number of loads. */
function carryOut(list: readonly PlannedEngine[], targets: ReadonlyMap<string, ModelTarget>): {readonly loads: number; readonly engines: readonly PlannedEngine[]} {
	const planned = planLoads(list, all(list, [...targets.keys()]), targets, idle);
	if (planned.length === 0) {
		return {loads: 0, engines: list};
	}

	const next = list.map(engine => {
		const load = planned.find(candidate => candidate.engineId === engine.id);
		return load === undefined ? engine : {...engine, versions: new Map([...engine.versions, [load.model, load.version]])};
	});
	const rest = carryOut(next, targets);
	return {loads: planned.length + rest.loads, engines: rest.engines};
}

test('trainers that accept the version before cost half of the loads, and every engine stays of use', () => {
	const total = [2, 3, 4, 5, 6].reduce((state, version) => {
		const done = carryOut(state.engines, new Map([['m', target(version, 1)]]));
		assert.ok(done.engines.every(engine => (engine.versions.get('m') ?? 0) >= version - 1), `version ${version}`);
		return {loads: state.loads + done.loads, engines: done.engines};
	}, {loads: 0, engines: engines(6, () => ({m: 1}))});
	assert.is(total.loads, 15);
});

test('trainers that accept the newest version alone load it everywhere', () => {
	const done = carryOut(engines(6, () => ({m: 1})), new Map([['m', target(2, 0)]]));
	assert.is(done.loads, 6);
});

test('the model with the fewest engines in service goes first', () => {
	const list = engines(6, index => ({a: 1, b: index < 3 ? 4 : 3}));
	const planned = planLoads(list, all(list, ['a', 'b']), new Map([['a', target(4, 1)], ['b', target(5, 1)]]), idle);
	assert.equal(planned.map(load => load.model), ['a', 'a']);
});

test('no more loads at once than the weight store carries', () => {
	const list = engines(6, () => ({m: 1}));
	assert.is(countConcurrentLoads(6), 2);
	assert.is(countConcurrentLoads(27), 8);
	assert.is(planLoads(list, all(list, ['m']), new Map([['m', target(2, 0)]]), {loading: new Map([['e0', 'm']]), active: 1}).length, 1);
	assert.is(planLoads(list, all(list, ['m']), new Map([['m', target(2, 0)]]), {loading: new Map([['e0', 'm'], ['e1', 'm']]), active: 2}).length, 0);
});

test('an engine under an order gets no other', () => {
	const list = engines(2, () => ({a: 1, b: 1}));
	const planned = planLoads(list, all(list, ['a', 'b']), new Map([['a', target(2, 0)], ['b', target(2, 0)]]), {loading: new Map([['e0', 'a'], ['e1', 'b']]), active: 0});
	assert.is(planned.length, 0);
});

test('engines keep their models when one leaves', () => {
	const models = ['a', 'b', 'c'];
	const list = engines(6, () => ({}));
	const before = assignEngines(new Map(), list, models, 1);
	const after = assignEngines(before, list.slice(1), models, 1);
	const changed = list.slice(1).filter(engine => before.get(engine.id)?.[0] !== after.get(engine.id)?.[0]);
	assert.ok(changed.length <= 1, `${changed.length} changed`);
});

test('the lag of a trainer is what its batches show', () => {
	const book = createLagBook();
	assert.is(book.lagOf('m'), 1);
	book.note('m', 2, 1);
	assert.is(book.lagOf('m'), 1, 'the first version has none before it');
	book.note('m', 5, 5);
	assert.is(book.lagOf('m'), 0);
	book.note('m', 6, 4);
	assert.is(book.lagOf('m'), 2);
});

test.run();
