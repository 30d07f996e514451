import {Buffer} from 'node:buffer';
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	createBatch, createBatchSimulation, completeTextOf, type BatchSimulation,
} from '../../../test/fakes/batch-world.js';
import type {ItemResult} from '../common/batch.js';
import {createBatchLog} from '../common/batch-log.js';

const test = suite('batches');
const LENGTHS = [3, 12, 7, 20, 5, 9, 14, 2];

/** Checks the results of a read from the start: each item once, with its complete text. */
function checkComplete(results: readonly ItemResult[], id: string, lengths: readonly number[]): void {
	assert.is(new Set(results.map(result => result.id)).size, lengths.length, 'each item once');
	results.forEach(result => {
		const events = lengths[Number(result.id.slice(id.length + 1))]!;
		assert.ok(result.isDone, result.id);
		assert.is(result.text, completeTextOf(result.id, events));
	});
}

test('any daemon returns the complete results of a batch, in the same order', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2});
	assert.ok((await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000))).isOk());
	const first = await world.readAll('b', ['d2', 'd3']);
	checkComplete(first, 'b', LENGTHS);
	assert.equal(await world.readAll('b', ['d1']), first);
});

test('results that a reader saw keep their content and position when the owner crashes, and another daemon completes the rest', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2});
	const lengths = [2, 2, 2, 2, 40, 60, 50, 45];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	await world.time.advance(700);
	const before = (await world.finish(world.serviceOf('d2').read('b', 0, 0)))._unsafeUnwrap().results;
	assert.ok(before.length > 0 && before.length < lengths.length, `${before.length} listed`);
	world.kill('d1');
	const after = await world.readAll('b', ['d2', 'd3']);
	checkComplete(after, 'b', lengths);
	assert.equal(after.slice(0, before.length), before);
});

test('an owner that is reachable again after its batch was taken over adds no results of its own', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 3});
	const lengths = [30, 40, 35, 45, 50, 20, 25, 60];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	await world.time.advance(400);
	world.network.unresponsive.add('d1');
	const results = await world.readAll('b', ['d2', 'd3']);
	world.network.unresponsive.delete('d1');
	await world.time.advance(3000);
	checkComplete(results, 'b', lengths);
	assert.equal(await world.readAll('b', ['d1']), results);
});

test('when an owner crashes while many daemons read, one of them takes the batch over and the others read from it', async () => {
	const names = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'];
	const world = createBatchSimulation({daemons: names, engines: 3});
	const lengths = [60, 70, 80, 90];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	await world.time.advance(700);
	world.kill('d1');
	const readers = names.slice(1);
	for (let round = 0; round < 3; round += 1) {
		for (const name of readers) {
			await world.finish(world.serviceOf(name).read('b', 0, 100));
		}
	}

	checkComplete(await world.readAll('b', readers), 'b', lengths);
	const takeOvers = world.lines.filter(line => line.includes('"take over batch"'));
	assert.is(takeOvers.length, 1, takeOvers.join('\n'));
});

test('a batch is not taken over because of a single late reply of its owner', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [60, 60, 60, 60]), 10_000));
	await world.time.advance(300);
	const reading = world.serviceOf('d2').read('b', 0, 1000);
	world.network.unresponsive.add('d1');
	await world.time.advance(1650);
	world.network.unresponsive.delete('d1');
	await world.finish(reading);
	await world.readAll('b', ['d2']);
	assert.equal([...new Set(world.engines.flatMap(engine => engine.starts.map(start => start.daemon)))], ['d1']);
});

test('the new owner of a batch that is handed over continues the text so far', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	const lengths = [60, 60, 60, 60];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	await world.time.advance(1000);
	await world.finish(world.serviceOf('d1').handOver());
	const results = await world.readAll('b', ['d2']);
	checkComplete(results, 'b', lengths);
	const resumed = world.startsOf('b-0').filter(start => start.daemon === 'd2');
	assert.is(resumed.length, 1);
	assert.ok(resumed[0]!.after > 10, `from event ${resumed[0]!.after}`);
});

test('a batch that several daemons accept runs once', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2});
	const batch = createBatch('b', LENGTHS);
	const answers = await Promise.all(['d1', 'd2', 'd3'].map(async name => world.finish(world.serviceOf(name).submit(batch, 10_000))));
	assert.ok(answers.every(answer => answer.isOk()));
	checkComplete(await world.readAll('b', ['d1', 'd2']), 'b', LENGTHS);
	assert.is(world.startsOf('b-3').length, 1);
});

test('a batch runs when the response of the store to its creation was lost', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	world.store.loseNextWrite.add('d1');
	assert.ok((await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000))).isOk());
	checkComplete(await world.readAll('b', ['d2']), 'b', LENGTHS);
});

const lateWrites: ReadonlyArray<readonly [string, number]> = [['whose answer is lost', 0], ['that is done 600 ms later', 600], ['that is done 4 s later', 4000]];

// Issue 37, review/3: a daemon took the owner record that it had written itself for another owner's, and nobody ran the batch again.
lateWrites.forEach(([name, delayMs]) => {
	test(`a batch goes on after it was taken over with a write ${name}`, async () => {
		const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
		const lengths = [60, 70, 80, 90];
		await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
		await world.time.advance(300);
		world.kill('d1');
		world.store.delayNextWrite.set('d2', delayMs);
		await world.finish(world.serviceOf('d2').read('b', 0, 0));
		checkComplete(await world.readAll('b', ['d2'], 15_000), 'b', lengths);
	});

	test(`a batch goes on after it was taken over with a write ${name}, though nobody reads`, async () => {
		const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
		await world.finish(world.serviceOf('d1').submit(createBatch('b', [60, 70, 80, 90]), 10_000));
		await world.time.advance(300);
		world.kill('d1');
		world.store.delayNextWrite.set('d2', delayMs);
		await world.finish(world.serviceOf('d2').read('b', 0, 0));
		await world.time.advance(8000);
		assert.is(world.startsOf('b-0').filter(start => start.daemon === 'd2').length, 1);
	});

	test(`a batch that another daemon accepts runs after it was submitted with a write ${name}`, async () => {
		const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
		world.store.delayNextWrite.set('d1', delayMs);
		const batch = createBatch('b', LENGTHS);
		await world.finish(world.serviceOf('d1').submit(batch, world.time.clock.monotonic() + 1200));
		await world.time.advance(delayMs);
		assert.ok((await world.finish(world.serviceOf('d2').submit(batch, world.time.clock.monotonic() + 10_000))).isOk());
		await world.time.advance(3000);
		assert.is(world.startsOf('b-0').length, 1);
	});
});

const oddValues: readonly unknown[] = [null, 7, 'x', [], {}, {batchId: 'b'}, {batchId: 'b', owner: null, needs: {}}, {
	batchId: 'b', owner: {name: 'd1'}, needs: null, partials: 7,
}, {batchId: {}, owner: [], batch: {items: [null]}}];
const peerCalls = ['batch-announce', 'batch-adopt', 'batch-submit', 'batch-read', 'batch-body', 'batch-end', 'batch-reach', 'engine-loads'] as const;

// Issue 37, review/2: what an odd call of another daemon had left behind made each later check of the batches throw.
test('odd calls of other daemons are refused, and leave nothing behind', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	const stranger = world.network.join('stranger');
	const [d1] = stranger.others();
	const calls = Promise.all(peerCalls.flatMap(name => oddValues.map(async body => stranger.call(d1!, name, body, 1000))));
	const replies = await world.finish(calls);
	const statuses = replies.map(reply => reply._unsafeUnwrap().status);
	assert.equal([...new Set(statuses)], [400]);
	await world.time.advance(1000);
	assert.ok((await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000))).isOk());
	checkComplete(await world.readAll('b', ['d2']), 'b', LENGTHS);
});

test('records and batches that can not be decoded are skipped or refused', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	const lengths = [60, 70, 80, 90];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	world.store.put('batch-log-b', '000000', {type: 'of a later build', writeId: 'w'});
	await world.time.advance(200);
	world.kill('d1');
	checkComplete(await world.readAll('b', ['d2'], 15_000), 'b', lengths);
	world.store.put('batches', 'odd', {owner: null, batch: {items: 7}});
	const read = await world.finish(world.serviceOf('d2').read('odd', 0, 0));
	assert.is(read._unsafeUnwrapErr().code, 'invalid');
});

test('submitting a batch while the store is unreachable fails with an unknown outcome, within the deadline', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	world.store.partitioned.add('d1');
	const answer = await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), world.time.clock.monotonic() + 4000));
	assert.is(answer._unsafeUnwrapErr().effect, 'outcomeUnknown', 'a call without a response may still take effect');
	assert.ok(world.time.clock.monotonic() <= 4000);
	assert.is(world.startsOf('b-0').length, 0);
});

test('no item starts after its batch was ended', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 1});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', Array.from({length: 40}, () => 20)), 10_000));
	await world.time.advance(500);
	assert.ok((await world.finish(world.serviceOf('d2').end('b'))).isOk());
	const endedAt = world.time.clock.monotonic();
	await world.time.advance(10_000);
	assert.ok(world.engines.every(engine => engine.starts.every(start => start.at <= endedAt)));
	assert.ok((await world.finish(world.serviceOf('d2').end('b'))).isOk(), 'again');
});

test('an owner that was unreachable when its batch was ended reads the end from the log', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 1});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', Array.from({length: 8}, () => 2000)), 10_000));
	await world.time.advance(500);
	world.network.unresponsive.add('d1');
	let ended = await world.finish(world.serviceOf('d2').end('b'));
	while (ended.isErr()) {
		ended = await world.finish(world.serviceOf('d2').end('b'));
	}

	const endedAt = world.time.clock.monotonic();
	await world.time.advance(3000);
	// Failed runs start again unless the owner has read the end; none of them causes a write, which would show the end to the owner.
	world.engines[0]!.isDown = true;
	await world.time.advance(1000);
	world.engines[0]!.isDown = false;
	await world.time.advance(10_000);
	assert.ok(world.engines.every(engine => engine.starts.every(start => start.at <= endedAt + 3000)), 'within the bound of 3 s');
});

test('a run that fails after its batch was ended without the owner starts on no other engine', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', Array.from({length: 4}, () => 2000)), 10_000));
	await world.time.advance(500);
	world.network.unresponsive.add('d1');
	let ended = await world.finish(world.serviceOf('d2').end('b'));
	while (ended.isErr()) {
		ended = await world.finish(world.serviceOf('d2').end('b'));
	}

	const endedAt = world.time.clock.monotonic();
	await world.time.advance(3000);
	// One engine stays up, so that a failed run would find a free slot at once.
	world.engines[0]!.isDown = true;
	await world.time.advance(1000);
	world.engines[0]!.isDown = false;
	world.engines[1]!.isDown = true;
	await world.time.advance(5000);
	assert.ok(world.engines.every(engine => engine.starts.every(start => start.at <= endedAt + 3000)), 'within the bound of 3 s');
});

test('a run whose engine crashes continues on another engine after its last event', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [60, 60, 60, 60]), 10_000));
	await world.time.advance(1000);
	const victim = world.engines.find(engine => engine.running > 0)!;
	victim.isDown = true;
	checkComplete(await world.readAll('b', ['d1']), 'b', [60, 60, 60, 60]);
	assert.ok(world.engines.flatMap(engine => engine.starts).some(start => start.after > 10));
});

// Issue 31, further reports: a text whose stream ended within an event, or went on with another response, counted as complete.
(['withinEvent', 'otherType'] as const).forEach(endsEarly => {
	test(`a text is complete only at the end of an event stream, when an engine ends its responses early (${endsEarly})`, async () => {
		const world = createBatchSimulation({daemons: ['d1'], engines: 2});
		const lengths = [30, 30, 30, 30];
		await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
		await world.time.advance(400);
		world.engines[0]!.endsEarly = endsEarly;
		const victim = world.engines[1]!;
		victim.isDown = true;
		await world.time.advance(2500);
		victim.isDown = false;
		checkComplete(await world.readAll('b', ['d1']), 'b', lengths);
	});
});

// Issue 25, second report: several engines crashed in a burst under one sound item, which was then never placed again.
test('items under which engines crashed again and again are placed within 5 s once the engines stay up', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 3});
	const lengths = [300, 300, 300, 300];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	for (let crash = 0; crash < 25; crash += 1) {
		await world.time.advance(400);
		const victims = world.engines.filter(engine => engine.running > 0);
		victims.forEach(engine => {
			engine.isDown = true;
		});
		await world.time.advance(400);
		victims.forEach(engine => {
			engine.isDown = false;
		});
	}

	const calmAt = world.time.clock.monotonic();
	await world.time.advance(5000);
	lengths.forEach((_, index) => {
		const starts = world.startsOf(`b-${index}`).map(start => Math.round(start.at));
		assert.ok(starts.length >= 4, `item ${index} was cut ${starts.length} times`);
		assert.ok(Math.max(...starts) > calmAt, `item ${index} started at ${starts.join(', ')}, all was calm from ${calmAt} on`);
	});
	checkComplete(await world.readAll('b', ['d1', 'd2'], 20_000), 'b', lengths);
});

test('while no engine is usable, waiting items check for one at most once per tick', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 1});
	const {table} = world.daemons.get('d1')!.view;
	const {isUsable} = table;
	let checks = 0;
	Object.assign(table, {
		usable(serverId: string, now: number) {
			checks += 1;
			return isUsable(serverId, now);
		},
	});
	world.engines[0]!.isDown = true;
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.time.advance(8000);
	assert.ok(checks < 8 * 20 * LENGTHS.length, `${checks} checks in 8 s of 20 ticks each`);
	world.engines[0]!.isDown = false;
	checkComplete(await world.readAll('b', ['d1'], 60_000), 'b', LENGTHS);
});

test('an engine that refused a request gets the next one only after a delay', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 1});
	let asked = 0;
	const [engine] = world.engines;
	Object.defineProperty(engine, 'isRefusing', {
		get() {
			asked += 1;
			return world.time.clock.monotonic() < 3000;
		},
	});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	await world.time.advance(3000);
	assert.ok(asked < 12 * LENGTHS.length, `${asked} refusals`);
});

test('no text is generated by a weight version older than the batch allows', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	world.engines[0]!.version = 3;
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS, {oldestVersion: 3}), 10_000));
	const results = await world.readAll('b', ['d1']);
	assert.ok(results.every(result => result.versions.every(version => version >= 3)));
	assert.is(world.engines[1]!.starts.length, 0);
});

test('long runs move away from an engine that becomes slow', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 3});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', Array.from({length: 6}, () => 100)), 10_000));
	await world.time.advance(500);
	const slow = world.engines.find(engine => engine.running > 0)!;
	slow.eventIntervalMs = 140;
	const startedAt = world.time.clock.monotonic();
	await world.readAll('b', ['d1']);
	assert.ok(world.time.clock.monotonic() - startedAt < 6500, `${world.time.clock.monotonic() - startedAt} ms; 100 events take 14 s on that engine and 3.5 s on others`);
});

test('a run that leaves a slower engine moves to the faster one, not to another slow one', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 6});
	world.engines.forEach((engine, index) => {
		engine.eventIntervalMs = index === 0 ? 35 : 50;
	});
	const batch = createBatch('b', Array.from({length: 6}, () => 100));
	const items = batch.items.map(item => ({...item, expectedTokens: undefined}));
	await world.finish(world.serviceOf('d1').submit({...batch, items}, 10_000));
	await world.readAll('b', ['d1']);
	const most = Math.max(...items.map(item => world.startsOf(item.id).length));
	assert.ok(most <= 2, `${most} runs of one item: the first, and one on the fast engine`);
});

test('an owner takes into account the slots that another owner uses', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b0', Array.from({length: 14}, () => 80)), 10_000));
	await world.time.advance(500);
	await world.finish(world.serviceOf('d2').submit(createBatch('b1', Array.from({length: 8}, () => 80)), 10_000));
	await world.time.advance(1000);
	assert.is(world.engines.reduce((sum, engine) => sum + engine.running, 0), 16, 'all slots are in use');
	assert.is(world.engines.reduce((sum, engine) => sum + engine.refused, 0), 0, 'no engine received a request beyond its slots');
});

test('an item is done only with a score, and fails after as many errors as its route has attempts', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2, score: (requestId, attempt) => (requestId === 's1' ? 500 : (attempt < 3 ? 503 : 200))});
	const batch = createBatch('b', [3, 3, 3, 3]);
	const items = batch.items.map((item, index) => ({
		...item, scoring: {
			requestId: `s${index}`, host: 'h', path: '/s/x', body: '',
		},
	}));
	await world.finish(world.serviceOf('d1').submit({...batch, items}, 10_000));
	const results = await world.readAll('b', ['d1']);
	const failed = results.find(result => result.id === 'b-1')!;
	assert.not.ok(failed.isDone);
	assert.is(world.scoreAttempts.get('s1'), 4);
	assert.equal(results.filter(result => result.isDone).map(result => result.score).toSorted((a, b) => (a! < b! ? -1 : 1)), ['score of s0', 'score of s2', 'score of s3']);
});

[
	{
		how: 'handed over on a planned stop', async lose(world: BatchSimulation) {
			await world.finish(world.serviceOf('d1').handOver());
		},
	},
	{
		how: 'killed', async lose(world: BatchSimulation) {
			world.kill('d1');
		},
	},
].forEach(({how, lose}) => {
	test(`a new owner scores complete texts without generating them again, when scoring was unavailable at the earlier owner (${how})`, async () => {
		let isScoring = false;
		const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2, score: () => (isScoring ? 200 : 503)});
		const lengths = [12, 15, 18, 20];
		const batch = createBatch('b', lengths);
		const items = batch.items.map(item => ({
			...item, scoring: {
				requestId: `score-${item.id}`, host: 'h', path: '/s/', body: '',
			},
		}));
		await world.finish(world.serviceOf('d1').submit({...batch, items}, 10_000));
		await world.time.advance(4000);
		await lose(world);
		await world.time.advance(3000);
		isScoring = true;
		checkComplete(await world.readAll('b', ['d2']), 'b', lengths);
		assert.equal(items.map(item => world.startsOf(item.id).length), [1, 1, 1, 1]);
	});
});

test('a text that was complete, but not marked so when its owner was lost, is completed by one run that adds no event', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	const pieces = completeTextOf('b-0', 10).split('\n');
	const earlier = {
		itemId: 'b-0', lastEventId: 10, pieces, versions: [1], isComplete: false,
	};
	const batch = createBatch('b', [10]);
	const reply = await world.finish(world.handOverFromLostOwner('d1', batch, [earlier]));
	assert.is(reply, 200);
	const results = await world.readAll('b', ['d1']);
	checkComplete(results, 'b', [10]);
	assert.is(world.startsOf('b-0').length, 1);
});

test('a run on an engine that sends bytes but no event moves to another engine after 3 s; a run with slow events stays', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	world.engines[0]!.sendsIncompleteEvents = true;
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [10, 10, 10, 10]), 10_000));
	checkComplete(await world.readAll('b', ['d1']), 'b', [10, 10, 10, 10]);
	const runsWithoutEvents = world.engines[0]!.starts.length;
	assert.ok(runsWithoutEvents > 0 && runsWithoutEvents <= 8, `${runsWithoutEvents} runs on the engine without events`);

	const slow = createBatchSimulation({daemons: ['d1'], engines: 1});
	slow.engines[0]!.eventIntervalMs = 2000;
	await slow.finish(slow.serviceOf('d1').submit(createBatch('s', [8]), 10_000));
	checkComplete(await slow.readAll('s', ['d1']), 's', [8]);
	assert.is(slow.startsOf('s-0').length, 1);
});

test('jumps of the time of day do not change which items run where and when', async () => {
	const play = async (wall: (() => number) | undefined) => {
		const world = createBatchSimulation({daemons: ['d1', 'd2', 'd3'], engines: 2, ...(wall && {wall})});
		const lengths = [30, 40, 35, 45, 50, 20, 25, 60];
		await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
		await world.time.advance(600);
		world.kill('d1');
		const results = await world.readAll('b', ['d2', 'd3']);
		checkComplete(results, 'b', lengths);
		return {results, starts: world.engines.map(engine => engine.starts)};
	};

	let calls = 0;
	const jumping = () => {
		calls += 1;
		return 1_700_000_000_000 + (calls % 2 === 0 ? 5000 : -5000) + (calls % 7 === 0 ? 86_400_000 : 0);
	};

	assert.equal(await play(jumping), await play(undefined));
	assert.ok(calls > 0);
});

test('consecutive runs without an event start after growing delays', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	world.engines.forEach(engine => {
		engine.endsBeforeFirstEvent = true;
	});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [10]), 10_000));
	await world.time.advance(5000);
	assert.ok(world.startsOf('b-0').length <= 14, `${world.startsOf('b-0').length} runs in 5 s`);
	world.engines.forEach(engine => {
		engine.endsBeforeFirstEvent = false;
	});
	checkComplete(await world.readAll('b', ['d1']), 'b', [10]);
});

test('a daemon that can not read the store fails with unavailable, not with notFound', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 1});
	assert.is((await world.finish(world.serviceOf('d2').read('none', 0, 0)))._unsafeUnwrapErr().code, 'notFound');
	world.store.partitioned.add('d2');
	assert.is((await world.finish(world.serviceOf('d2').read('none', 0, 0)))._unsafeUnwrapErr().code, 'unavailable');
});

test('any daemon returns the body of an item, also after the owner has crashed', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 1});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', LENGTHS), 10_000));
	const read = async () => Buffer.from((await world.finish(world.serviceOf('d2').readBody('b', 'b-3')))._unsafeUnwrap()).toString('utf8');
	assert.is(await read(), '20');
	world.kill('d1');
	assert.is(await read(), '20');
});

test('an item that two owners finished keeps its first result and position', () => {
	const log = createBatchLog({
		name: 'd1', incarnation: '1', ip: 'd1', port: 1, region: 'r', availabilityZone: 'z',
	});
	const result = (id: string, text: string): ItemResult => ({
		id, isDone: true, text, versions: [1], score: undefined,
	});
	log.apply({type: 'results', writeId: '1', results: [result('a', 'first'), result('b', 'first')]});
	log.apply({type: 'results', writeId: '2', results: [result('b', 'second'), result('c', 'second')]});
	assert.equal(log.page(0, 3).results.map(listed => `${listed.id} ${listed.text}`), ['a first', 'b first', 'c second']);
});

// Random faults: daemons crash and restart, the store loses responses, the network isolates daemons, engines crash and refuse requests.
const SEEDS = Array.from({length: 12 * Number(process.env.FUZZ_FACTOR ?? 1)}, (_, index) => index + 1);
SEEDS.forEach(seed => {
	test(`results keep their positions and are complete under random faults, seed ${seed}`, async () => {
		const names = ['d1', 'd2', 'd3'];
		const world = createBatchSimulation({daemons: names, engines: 3, seed});
		const lengths = [4, 30, 8, 50, 12, 25, 60, 3, 40, 9, 15, 33];
		await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
		let state = seed * 7919;
		const draw = (count: number): number => {
			state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
			return Math.floor(state / 65_536) % count;
		};

		const seen: ItemResult[] = [];
		const killed = new Set<string>();
		for (let round = 0; round < 14; round += 1) {
			const name = names[draw(3)]!;
			const engine = world.engines[draw(3)]!;
			[
				() => {
					if (killed.size < 2 && !killed.has(name)) {
						killed.add(name);
						world.kill(name);
					}
				},
				() => {
					if (killed.delete(name)) {
						world.restart(name);
					}
				},
				() => {
					world.network.unresponsive.add(name);
				},
				() => {
					world.network.unresponsive.delete(name);
				},
				() => {
					world.store.loseNextWrite.add(name);
				},
				() => {
					engine.isDown = !engine.isDown;
				},
				() => {
					engine.isRefusing = !engine.isRefusing;
				},
			][draw(7)]!();
			await world.time.advance(300);
			const reader = names.find(candidate => !killed.has(candidate))!;
			const page = await world.finish(world.serviceOf(reader).read('b', 0, 200), 30_000);
			const results = page.map(found => found.results).unwrapOr([]);
			const common = Math.min(seen.length, results.length);
			assert.equal(results.slice(0, common), seen.slice(0, common), 'results that were read keep their positions');
			seen.push(...results.slice(seen.length));
		}

		world.network.unresponsive.clear();
		world.engines.forEach(engine => {
			engine.isDown = false;
			engine.isRefusing = false;
		});
		[...killed].forEach(name => {
			world.restart(name);
		});
		const results = await world.readAll('b', names, 60_000);
		checkComplete(results, 'b', lengths);
		assert.equal(results.slice(0, seen.length), seen);
	});
});

test.run();
