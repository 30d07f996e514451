/** Pattern: steps of several owners meet on full engines. Who starts first, and who is left waiting. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {listHopeless, orderStarts, type OpenItem} from '../common/run-order.js';
import {createStartTurns, type Demand, type Turn} from '../common/start-turns.js';

const test = suite('turns of items');
const ENGINES = [{id: 'e1', places: 1}, {id: 'e2', places: 1}];

function demand(more: Partial<Demand> = {}): Demand {
	return {
		batchId: 'b2', model: 'm', oldestVersion: 1, slacksMs: [1000, 1000, 1000], hopeless: 0, ...more,
	};
}

function turn(slackMs: number, more: Partial<Turn> = {}): Turn {
	return {
		batchId: 'b1', slackMs, isHopeless: false, ...more,
	};
}

const fitsAll = () => true;

test('many steps due together: an item leaves the last places to those of others with less time', () => {
	const turns = createStartTurns();
	turns.learn('other', [demand()], 0);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 100), []);
	assert.equal(turns.choose(turn(500), ENGINES, fitsAll, 100), ['e1', 'e2'], 'an item with less time');
});

test('one long item of a new step goes before short ones of a step that is due earlier', () => {
	const turns = createStartTurns();
	const shortDueEarly = 4000 - 1000;
	const longDueLate = 7500 - 6000;
	turns.learn('other', [demand({slacksMs: [shortDueEarly, shortDueEarly]})], 0);
	assert.equal(turns.choose(turn(longDueLate), ENGINES, fitsAll, 0), ['e1', 'e2']);
});

test('time that passed since the word counts', () => {
	const turns = createStartTurns();
	turns.learn('other', [demand({slacksMs: [1000, 1000]})], 0);
	assert.equal(turns.choose(turn(600), ENGINES, fitsAll, 0).length, 2);
	assert.equal(turns.choose(turn(600), ENGINES, fitsAll, 500).length, 0);
});

test('last group: items that can not be in time take what is left, and those of one owner do not starve beside those of another', () => {
	const turns = createStartTurns();
	turns.learn('other', [demand({slacksMs: [9000], hopeless: 5})], 0);
	const late = (batchId: string) => turn(-100, {batchId, isHopeless: true});
	assert.equal(turns.choose(late('b1'), ENGINES, fitsAll, 0), ['e1', 'e2'], 'one place is more than enough for the other');
	assert.equal(turns.choose(late('b3'), ENGINES, fitsAll, 0), [], 'of late batches the one with the first id');
	assert.equal(turns.choose(turn(60_000), ENGINES, fitsAll, 0), ['e1', 'e2'], 'late items hold nobody up');
});

test('places are open when there are more than all want, on engines that others can not use, and without a word', () => {
	const turns = createStartTurns();
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 0), ['e1', 'e2']);
	turns.learn('other', [demand({slacksMs: [1000]})], 0);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 0), ['e1', 'e2'], 'one item, two places');
	turns.learn('other', [demand()], 0);
	assert.equal(turns.choose(turn(3000), ENGINES, id => id === 'e1', 0), ['e2'], 'e2 holds an older version');
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 1300), ['e1', 'e2'], 'the word is old');
});

test('lagging or cut owner: places that it does not take soon are open', () => {
	const turns = createStartTurns();
	turns.learn('other', [demand()], 0);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 0), []);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 300), []);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 301), ['e1', 'e2']);
	turns.choose(turn(3000), [], fitsAll, 400);
	assert.equal(turns.choose(turn(3000), ENGINES, fitsAll, 450), [], 'once they were taken the time begins anew');
});

function open(id: string, remainingMs: number, more: Partial<OpenItem> = {}): OpenItem {
	return {
		id, group: id[0]!, isWaiting: true, remainingMs, ...more,
	};
}

test('a step longest first, and groups that are too late after all others, the nearest to their end first', () => {
	const items = [open('a1', 1000), open('a2', 9000), open('b1', 2000), open('b2', 3000), open('c1', 8000), open('c2', 500, {isWaiting: false})];
	const hopeless = listHopeless(items, 7500);
	assert.equal([...hopeless].toSorted(), ['a', 'c']);
	assert.equal(orderStarts(items, hopeless), ['b2', 'b1', 'c1', 'a2', 'a1']);
	assert.equal([...listHopeless([open('d1', 6800)], 7500)], ['d'], 'the score and the write take time');
});

test('equal items start in the order of the batch', () => {
	assert.equal(orderStarts([open('a1', 1000), open('b1', 1000), open('a2', 1000)], new Set()), ['a1', 'b1', 'a2']);
});

test.run();
