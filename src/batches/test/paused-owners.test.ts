import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createBatch, createBatchSimulation} from '../../../test/fakes/batch-world.js';

const test = suite('owners of batches that pause');
const LENGTHS = [3, 4, 5, 6];

/** Daemon d1 owns batch `b`, reaches no engine and pauses; d2 takes the batch over, and all its results are read there. */
async function takeOverFromPaused() {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2});
	world.engines.forEach(engine => {
		engine.isRefusing = true;
	});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.finish(world.serviceOf('d3').read('b', 0, 0));
	await world.time.advance(300);
	world.pause('d1');
	world.engines.forEach(engine => {
		engine.isRefusing = false;
	});
	assert.is((await world.readAll('b', ['d2'])).length, LENGTHS.length);
	await world.time.advance(1000);
	return world;
}

function countListed(page: Awaited<ReturnType<ReturnType<Awaited<ReturnType<typeof takeOverFromPaused>>['serviceOf']>['read']>>): number | string {
	return page.match(({results}) => results.length, ({code}) => code);
}

// Incident docs/incidents/paused-owner.md: a daemon that went on after a pause answered a read from its memory, without results that had been read.
test('a read that reaches an owner as it goes on after a pause lists all results that were read elsewhere', async () => {
	const world = await takeOverFromPaused();
	world.reconnect('d1');
	assert.is(countListed(await world.finish(world.serviceOf('d3').read('b', 0, 0))), LENGTHS.length, 'passed on by another daemon');
	assert.is(countListed(await world.finish(world.serviceOf('d1').read('b', 0, 0))), LENGTHS.length);
});

test('the same after the first timer of the owner', async () => {
	const world = await takeOverFromPaused();
	world.resume('d1');
	world.serviceOf('d1').tick(world.time.clock.monotonic());
	assert.is(countListed(await world.finish(world.serviceOf('d3').read('b', 0, 0))), LENGTHS.length);
});

test('a read that waits during the pause of the owner lists all results that were read elsewhere', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 1});
	world.engines[0]!.isRefusing = true;
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	const waiting = world.serviceOf('d1').read('b', 0, 5000);
	await world.time.advance(300);
	world.pause('d1');
	world.engines[0]!.isRefusing = false;
	assert.is((await world.readAll('b', ['d2'])).length, LENGTHS.length);
	assert.is(countListed(await world.finish(waiting)), LENGTHS.length);
});

// Soak seed 780007: an owner whose write had been done without an answer listed fewer results than others had read from the store.
test('a read at an owner that does not know the outcome of its write lists all results that were read elsewhere', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 1});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.finish(world.serviceOf('d3').read('b', 0, 0));
	world.store.loseNextWrite.add('d1');
	while (world.store.loseNextWrite.size > 0) {
		await world.time.advance(5);
	}

	world.store.partitioned.add('d1');
	world.network.unresponsive.add('d1');
	const listed = countListed(await world.finish(world.serviceOf('d2').read('b', 0, 0)));
	assert.ok(Number(listed) > 0, 'read from the store');
	await world.time.advance(1000);
	world.network.unresponsive.delete('d1');
	assert.is(countListed(await world.finish(world.serviceOf('d3').read('b', 0, 0))), listed, 'the store is read in place of the owner');
	assert.is(countListed(await world.finish(world.serviceOf('d1').read('b', 0, 0))), 'unavailable');
	world.store.partitioned.delete('d1');
	await world.time.advance(2000);
	assert.ok(Number(countListed(await world.finish(world.serviceOf('d1').read('b', 0, 0)))) >= Number(listed));
});

test('while the store does not respond, an owner that has paused refuses reads', async () => {
	const world = await takeOverFromPaused();
	world.store.partitioned.add('d1').add('d3');
	world.reconnect('d1');
	assert.is(countListed(await world.finish(world.serviceOf('d1').read('b', 0, 0))), 'unavailable');
	assert.is(countListed(await world.finish(world.serviceOf('d3').read('b', 0, 0))), 'unavailable');
});

test('reads at an owner that runs without a pause call the store no more than none do, and one read is enough after a pause', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.readAll('b', ['d1']);
	await world.time.advance(5000);
	const countCalls = (): number => [...world.store.calls.values()].reduce((sum, count) => sum + count, 0);
	const before = countCalls();
	const read = async () => Promise.all(Array.from({length: 20}, async (_, index) => world.serviceOf(index % 2 === 0 ? 'd1' : 'd2').read('b', 0, 0)));
	await world.finish(read());
	assert.is(countCalls(), before);
	world.pause('d1');
	await world.time.advance(700);
	world.resume('d1');
	await world.finish(read());
	assert.is(countCalls(), before + 1, 'the reads after the pause share one call');
});

test.run();
