import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	assignEngines, countConcurrentLoads, createLagTable, planLoads, type Assignment, type ModelTarget, type PlannedEngine,
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

/** Carries out plans, one round after another, until no load is due; returns the number of loads and the resulting engines. */
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

test('when trainers accept the previous version, half of the loads suffice and every engine remains usable', () => {
	const total = [2, 3, 4, 5, 6].reduce((state, version) => {
		const done = carryOut(state.engines, new Map([['m', target(version, 1)]]));
		assert.ok(done.engines.every(engine => (engine.versions.get('m') ?? 0) >= version - 1), `version ${version}`);
		return {loads: state.loads + done.loads, engines: done.engines};
	}, {loads: 0, engines: engines(6, () => ({m: 1}))});
	assert.is(total.loads, 15);
});

test('when trainers accept only the newest version, all engines load it', () => {
	const done = carryOut(engines(6, () => ({m: 1})), new Map([['m', target(2, 0)]]));
	assert.is(done.loads, 6);
});

test('the model with the fewest engines in service goes first', () => {
	const list = engines(6, index => ({a: 1, b: index < 3 ? 4 : 3}));
	const planned = planLoads(list, all(list, ['a', 'b']), new Map([['a', target(4, 1)], ['b', target(5, 1)]]), idle);
	assert.equal(planned.map(load => load.model), ['a', 'a']);
});

test('the number of concurrent loads is limited to what the weight store can serve', () => {
	const list = engines(6, () => ({m: 1}));
	assert.is(countConcurrentLoads(6), 2);
	assert.is(countConcurrentLoads(27), 8);
	assert.is(planLoads(list, all(list, ['m']), new Map([['m', target(2, 0)]]), {loading: new Map([['e0', 'm']]), active: 1}).length, 1);
	assert.is(planLoads(list, all(list, ['m']), new Map([['m', target(2, 0)]]), {loading: new Map([['e0', 'm'], ['e1', 'm']]), active: 2}).length, 0);
});

test('an engine with an unfinished order gets no other order', () => {
	const list = engines(2, () => ({a: 1, b: 1}));
	const planned = planLoads(list, all(list, ['a', 'b']), new Map([['a', target(2, 0)], ['b', target(2, 0)]]), {loading: new Map([['e0', 'a'], ['e1', 'b']]), active: 0});
	assert.is(planned.length, 0);
});

test('engines keep their models when one engine leaves', () => {
	const models = ['a', 'b', 'c'];
	const list = engines(6, () => ({}));
	const before = assignEngines(new Map(), list, models, 1);
	const after = assignEngines(before, list.slice(1), models, 1);
	const changed = list.slice(1).filter(engine => before.get(engine.id)?.[0] !== after.get(engine.id)?.[0]);
	assert.ok(changed.length <= 1, `${changed.length} changed`);
});

test('the lag of a model is derived from its recent batches', () => {
	const lagTable = createLagTable();
	assert.is(lagTable.lagOf('m'), 1);
	lagTable.recordBatch('m', 2, 1);
	assert.is(lagTable.lagOf('m'), 1, 'a batch that accepts the first version does not show a lag');
	lagTable.recordBatch('m', 5, 5);
	assert.is(lagTable.lagOf('m'), 0);
	lagTable.recordBatch('m', 6, 4);
	assert.is(lagTable.lagOf('m'), 2);
});

test.run();
