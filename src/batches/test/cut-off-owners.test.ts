import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createBatch, createBatchSimulation, completeTextOf} from '../../../test/fakes/batch-world.js';
import type {ItemResult} from '../common/batch.js';

const test = suite('owners of batches that do not reach the engines');
const NAMES = ['d1', 'd2', 'd3', 'd4'];
const LENGTHS = [30, 40, 35, 45, 50, 20, 25, 60, 30, 40, 35, 45, 50, 20, 25, 60, 30, 40, 35, 45];

function checkComplete(results: readonly ItemResult[]): void {
	assert.is(new Set(results.map(({id}) => id)).size, LENGTHS.length, 'each item once');
	results.forEach(result => {
		assert.ok(result.isDone);
		assert.is(result.text, completeTextOf(result.id, LENGTHS[Number(result.id.slice(2))]!));
	});
}

// Incident docs/incidents/stranded-daemons.md: a batch stayed with an owner that reached no engine until it was due.
test('a batch goes on at a daemon that reaches the engines when its owner no longer does', async () => {
	const world = createBatchSimulation({daemons: NAMES, engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.time.advance(500);
	world.cutOff.add('d1').add('d2').add('d3');
	const results = await world.readAll('b', ['d2', 'd1'], 15_000);
	checkComplete(results);
	assert.equal(await world.readAll('b', ['d3', 'd4']), results);
	const moves = world.lines.filter(line => line.includes('"take over batch"'));
	assert.is(moves.length, 1, 'the batch moves once');
	world.cutOff.clear();
	await world.time.advance(5000);
	assert.is(world.lines.filter(line => line.includes('"take over batch"')).length, 1, 'it stays when the links are back');
});

test('a batch that is submitted at a daemon without engines is owned by one that reaches them', async () => {
	const world = createBatchSimulation({daemons: NAMES, engines: 2});
	world.cutOff.add('d1').add('d2');
	assert.ok((await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000))).isOk());
	checkComplete(await world.readAll('b', ['d1', 'd4'], 15_000));
	assert.not(world.lines.some(line => line.includes('"hand over batch"')));
});

test('a batch stays with its owner while no daemon reaches an engine, and goes on when one does', async () => {
	const world = createBatchSimulation({daemons: NAMES, engines: 2});
	NAMES.forEach(name => {
		world.cutOff.add(name);
	});
	assert.ok((await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000))).isOk());
	await world.time.advance(8000);
	world.cutOff.delete('d3');
	checkComplete(await world.readAll('b', ['d1', 'd3'], 20_000));
});

test('links that come and go for less than a second do not move a batch', async () => {
	const world = createBatchSimulation({daemons: NAMES, engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await Array.from({length: 10}).reduce<Promise<void>>(async previous => {
		await previous;
		world.cutOff.add('d1');
		await world.time.advance(400);
		world.cutOff.delete('d1');
		await world.time.advance(400);
	}, Promise.resolve());
	checkComplete(await world.readAll('b', NAMES));
	assert.not(world.lines.some(line => line.includes('"hand over batch"')));
});

test.run();
