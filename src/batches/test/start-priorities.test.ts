/** Several owners compete for the slots of full engines: which items start first, and none may wait without bound. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {listTooLateGroups, orderStarts, type OpenItem} from '../common/run-order.js';
import {createStartPriorities, type Demand, type StartPriority} from '../common/start-priorities.js';

const test = suite('start priorities');
const ENGINES = [{id: 'e1', slots: 1}, {id: 'e2', slots: 1}];

function demand(more: Partial<Demand> = {}): Demand {
	return {
		batchId: 'b2', model: 'm', oldestVersion: 1, slacksMs: [1000, 1000, 1000], hopeless: 0, ...more,
	};
}

function priority(slackMs: number, more: Partial<StartPriority> = {}): StartPriority {
	return {
		batchId: 'b1', slackMs, isTooLate: false, ...more,
	};
}

const servesAll = () => true;

test('an item defers to items of other owners with less time when they need all free slots', () => {
	const startPriorities = createStartPriorities();
	startPriorities.applyReport('other', [demand()], 0);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 100), []);
	assert.equal(startPriorities.choose(priority(500), ENGINES, servesAll, 100), ['e1', 'e2'], 'an item with less time');
});

test('a long item of a new step goes before short items of a step that is due earlier', () => {
	const startPriorities = createStartPriorities();
	const shortDueEarly = 4000 - 1000;
	const longDueLate = 7500 - 6000;
	startPriorities.applyReport('other', [demand({slacksMs: [shortDueEarly, shortDueEarly]})], 0);
	assert.equal(startPriorities.choose(priority(longDueLate), ENGINES, servesAll, 0), ['e1', 'e2']);
});

test('the age of a report reduces the time that its items have left', () => {
	const startPriorities = createStartPriorities();
	startPriorities.applyReport('other', [demand({slacksMs: [1000, 1000]})], 0);
	assert.equal(startPriorities.choose(priority(600), ENGINES, servesAll, 0).length, 2);
	assert.equal(startPriorities.choose(priority(600), ENGINES, servesAll, 500).length, 0);
});

test('items that can no longer finish in time take the remaining slots, those of the batch with the first id before those of others', () => {
	const startPriorities = createStartPriorities();
	startPriorities.applyReport('other', [demand({slacksMs: [9000], hopeless: 5})], 0);
	const late = (batchId: string) => priority(-100, {batchId, isTooLate: true});
	assert.equal(startPriorities.choose(late('b1'), ENGINES, servesAll, 0), ['e1', 'e2'], 'one free slot is left beside the item of the other owner');
	assert.equal(startPriorities.choose(late('b3'), ENGINES, servesAll, 0), [], 'the late items of the batch with the first id go first');
	assert.equal(startPriorities.choose(priority(60_000), ENGINES, servesAll, 0), ['e1', 'e2'], 'late items delay no others');
});

test('an item takes slots when there are more than other owners need, on engines that they can not use, and without a recent report', () => {
	const startPriorities = createStartPriorities();
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 0), ['e1', 'e2']);
	startPriorities.applyReport('other', [demand({slacksMs: [1000]})], 0);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 0), ['e1', 'e2'], 'one item, two slots');
	startPriorities.applyReport('other', [demand()], 0);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, id => id === 'e1', 0), ['e2'], 'e2 holds an older version');
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 1300), ['e1', 'e2'], 'the report has expired');
});

test('slots that another owner does not take within 300 ms are free for all, as when it is slow or partitioned', () => {
	const startPriorities = createStartPriorities();
	startPriorities.applyReport('other', [demand()], 0);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 0), []);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 300), []);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 301), ['e1', 'e2']);
	startPriorities.choose(priority(3000), [], servesAll, 400);
	assert.equal(startPriorities.choose(priority(3000), ENGINES, servesAll, 450), [], 'the 300 ms start again once no slot was free');
});

function open(id: string, remainingMs: number, more: Partial<OpenItem> = {}): OpenItem {
	return {
		id, group: id[0]!, isWaiting: true, remainingMs, ...more,
	};
}

test('the longest items start first, and groups that are too late after all others, the one with the least work first', () => {
	const items = [open('a1', 1000), open('a2', 9000), open('b1', 2000), open('b2', 3000), open('c1', 8000), open('c2', 500, {isWaiting: false})];
	const tooLateGroups = listTooLateGroups(items, 7500);
	assert.equal([...tooLateGroups].toSorted(), ['a', 'c']);
	assert.equal(orderStarts(items, tooLateGroups), ['b2', 'b1', 'c1', 'a2', 'a1']);
	assert.equal([...listTooLateGroups([open('d1', 6800)], 7500)], ['d'], 'scoring and storing the result take time');
});

test('equal items start in the order of the batch', () => {
	assert.equal(orderStarts([open('a1', 1000), open('b1', 1000), open('a2', 1000)], new Set()), ['a1', 'b1', 'a2']);
});

test.run();
