import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
	combinePortViews, describePort, type PortView, type PortViews,
} from '../common/port-view.js';

const test = suite('views of a port');

test('a daemon that reaches no other server does not know what a refused connection means', () => {
	assert.is(describePort('refused', 'refused'), 'unknown');
	assert.is(describePort('refused', 'unknown'), 'unknown');
	assert.is(describePort('refused', 'open'), 'closed');
	assert.is(describePort('unknown', 'open'), 'silent');
	assert.is(describePort('open', 'unknown'), 'open');
});

const cases: ReadonlyArray<readonly [string, Partial<PortViews>, PortView]> = [
	['what only one daemon sees is no proof', {own: 'closed', others: ['unknown', 'unknown']}, 'unknown'],
	['a server that another daemon reaches runs', {own: 'closed', others: ['closed', 'open']}, 'open'],
	['a server that is refused elsewhere too has ended', {own: 'unknown', others: ['unknown', 'closed']}, 'closed'],
	['a daemon without others relies on itself', {own: 'closed', others: [], hasOthers: false}, 'closed'],
	['others that do not answer prove nothing', {own: 'closed', others: []}, 'unknown'],
	['others that do not answer are not needed when the entry was removed', {own: 'silent', others: [], isListed: false}, 'silent'],
];

cases.forEach(([name, views, expected]) => {
	test(name, () => {
		assert.is(combinePortViews({
			own: 'unknown', others: [], hasOthers: true, isListed: true, ...views,
		}), expected);
	});
});

test.run();
