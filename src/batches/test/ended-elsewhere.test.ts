import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createBatch, createBatchSimulation} from '../../../test/fakes/batch-world.js';

const test = suite('batches that end at another daemon');
const LENGTHS = Array.from({length: 12}, () => 200);
const CANCEL_MS = 3000;
const CHECK_LINE = 'batch log is read before requests are sent';

function countRequests({engines, scoreStarts}: ReturnType<typeof createBatchSimulation>): number {
	return engines.reduce((sum, {starts}) => sum + starts.length, scoreStarts.length);
}

/** Daemon d1 owns a batch and stands still with all items under way while d2 ends the batch, for longer than items may begin after the end. */
async function endWhileOwnerStandsStill(scoring = false) {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2, score: () => 500});
	const batch = createBatch('b', scoring ? LENGTHS.map(() => 3) : LENGTHS);
	const items = batch.items.map(item => ({
		...item, ...(scoring && {
			scoring: {
				requestId: `s-${item.id}`, host: 'h', path: '/s/x', body: '',
			},
		}),
	}));
	await world.finish(world.serviceOf('d1').submit({...batch, items}, 10_000));
	await world.time.advance(600);
	world.freeze('d1');
	const ended = await world.finish(world.serviceOf('d2').end('b'));
	assert.ok(ended.isOk());
	await world.time.advance(CANCEL_MS + 500);
	return world;
}

// Incident docs/incidents/sent-after-the-end.md: an owner that had stood still sent its items anew, over other daemons, before it read that the batch had ended.
test('an owner that goes on after a pause sends no item of a batch that has ended meanwhile', async () => {
	const world = await endWhileOwnerStandsStill();
	const before = countRequests(world);
	world.thaw('d1');
	await world.time.advance(5000);
	assert.is(countRequests(world), before);
	assert.ok(world.lines.some(line => line.includes(CHECK_LINE) && line.includes('"outcome":"ended"')), 'the check was tried');
});

test('nor a scoring call', async () => {
	const world = await endWhileOwnerStandsStill(true);
	assert.ok(world.scoreStarts.length > 0, 'scoring has begun before the pause');
	const before = countRequests(world);
	world.thaw('d1');
	await world.time.advance(5000);
	assert.is(countRequests(world), before);
});

test('all items that wait after a pause share one read of the store', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.time.advance(600);
	const before = countRequests(world);
	world.freeze('d1');
	await world.time.advance(CANCEL_MS + 500);
	const reads = world.store.calls.get('read') ?? 0;
	world.thaw('d1');
	await world.time.advance(300);
	assert.is(countRequests(world), before + LENGTHS.length, 'all items are sent again');
	assert.is(world.store.calls.get('read'), reads + 1);
});

test('an owner that does not stand still sends without a read of the store', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.time.advance(1000);
	world.engines[0]!.isDown = true;
	await world.time.advance(1000);
	world.engines[0]!.isDown = false;
	await world.readAll('b', ['d1']);
	assert.not(world.lines.some(line => line.includes(CHECK_LINE)));
});

test('while the store responds to nobody, items are sent again as before', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	world.store.partitioned.add('d1').add('d2');
	await world.time.advance(6000);
	const before = countRequests(world);
	world.engines[0]!.isDown = true;
	await world.time.advance(100);
	world.engines[0]!.isDown = false;
	await world.time.advance(1000);
	assert.ok(countRequests(world) > before);
});

test.run();
