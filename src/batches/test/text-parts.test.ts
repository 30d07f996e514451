/** Owners crash, one or all at once, while items that take seconds are running: little of their text may be generated again. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createBatch, createBatchSimulation, completeTextOf} from '../../../test/fakes/batch-world.js';
import type {PartialText} from '../common/batch.js';
import {createBatchLog} from '../common/batch-log.js';
import {chooseLongestTexts, chooseTextParts, takeResults} from '../common/text-parts.js';

const test = suite('text of unfinished items');
const DAEMONS = ['d1', 'd2'];
const OWNER = {
	name: 'd1', incarnation: '1', ip: 'd1', port: 1, region: 'r', availabilityZone: 'z',
};

function text(itemId: string, count: number, prefix = 'w'): PartialText {
	return {
		itemId, lastEventId: count, pieces: Array.from({length: count}, (_, index) => `${prefix}${index + 1}`), versions: [1], isComplete: false,
	};
}

test('after all daemons were killed, long items continue close to their last event', async () => {
	const world = createBatchSimulation({daemons: DAEMONS, engines: 2});
	const lengths = [300, 300];
	await world.finish(world.serviceOf('d1').submit(createBatch('b', lengths), 10_000));
	await world.time.advance(5000);
	const generated = Math.floor(5000 / world.engines[0]!.eventIntervalMs);
	DAEMONS.forEach(name => {
		world.kill(name);
	});
	await world.time.advance(500);
	DAEMONS.forEach(name => {
		world.restart(name);
	});
	const results = await world.readAll('b', ['d2'], 60_000);
	assert.equal(results.map(result => result.text).toSorted(), [completeTextOf('b-0', 300), completeTextOf('b-1', 300)].toSorted());
	const lost = generated - Math.max(...world.startsOf('b-0').map(start => start.after));
	assert.ok(lost <= 2500 / world.engines[0]!.eventIntervalMs, `${lost} of ${generated} events generated again`);
});

test('a log joins the parts of a text, and drops them when the result is stored', () => {
	const log = createBatchLog(OWNER);
	const first = chooseTextParts([text('a', 10)], log.textOf);
	log.apply({
		type: 'results', writeId: '1', results: [], parts: first,
	});
	const second = chooseTextParts([text('a', 30)], log.textOf);
	assert.equal(second.map(part => part.after), [10]);
	log.apply({
		type: 'results', writeId: '2', results: [], parts: second,
	});
	assert.equal(log.textOf('a'), text('a', 30));
	log.apply({
		type: 'results', writeId: '3', results: [{
			id: 'a', isDone: true, text: '', versions: [1], score: undefined,
		}],
	});
	assert.equal(log.texts(), []);
});

test('a text that was restarted replaces the one in the log', () => {
	const log = createBatchLog(OWNER);
	log.apply({
		type: 'results', writeId: '1', results: [], parts: chooseTextParts([text('a', 20)], log.textOf),
	});
	const restarted = chooseTextParts([text('a', 25, 'other')], log.textOf);
	assert.equal(restarted.map(part => part.after), [0]);
	log.apply({
		type: 'results', writeId: '2', results: [], parts: restarted,
	});
	assert.equal(log.textOf('a'), text('a', 25, 'other'));
});

test('a part that does not continue the text in the log is ignored', () => {
	const log = createBatchLog(OWNER);
	log.apply({
		type: 'results', writeId: '1', results: [], parts: [{
			itemId: 'a', after: 12, pieces: ['w13'], versions: [1], isComplete: false,
		}],
	});
	assert.is(log.textOf('a'), undefined);
});

test('a text with few new events is not stored', () => {
	assert.equal(chooseTextParts([text('a', 5)], () => undefined), []);
	assert.equal(chooseTextParts([text('a', 24)], () => text('a', 20)), []);
});

test('a record stays below the maximum size of an object', () => {
	const long = (itemId: string): PartialText => ({...text(itemId, 100), pieces: Array.from({length: 100}, () => 'x'.repeat(1000))});
	const parts = chooseTextParts(['a', 'b', 'c', 'd'].map(itemId => long(itemId)), () => undefined);
	assert.is(parts.length, 2);
	const results = takeResults(Array.from({length: 9}, (_, index) => ({
		id: String(index), isDone: true, text: 'x'.repeat(200_000), versions: [1], score: undefined,
	})));
	assert.is(results.length, 3);
	assert.is(takeResults([{
		id: 'huge', isDone: true, text: 'x'.repeat(900_000), versions: [1], score: undefined,
	}]).length, 1);
});

test('of several texts of an item the longest is kept', () => {
	assert.equal(chooseLongestTexts([text('a', 3), text('a', 7), text('b', 2), text('a', 7, 'later')]).map(known => `${known.itemId} ${known.pieces[0]}`), ['a w1', 'b w1']);
});

test.run();
