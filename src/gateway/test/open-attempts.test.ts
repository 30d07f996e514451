import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createOpenAttempts} from '../common/open-attempts.js';

const test = suite('open attempts');

test('a pool is silent when nothing was heard of it since an open attempt began', () => {
	const attempts = createOpenAttempts();
	const first = attempts.begin('p', 's1', () => undefined, 0);
	const second = attempts.begin('p', 's2', () => undefined, 100);
	assert.equal(attempts.listSilent(500, 499), []);
	assert.equal(attempts.listSilent(500, 500), [{pool: 'p', serverIds: ['s1', 's2']}]);
	second.recordHeard(600);
	assert.equal(attempts.listSilent(500, 1000), [], 'one server that answers shows that the links work');
	first.end();
	second.end();
	assert.equal(attempts.listSilent(500, 5000), []);
});

test('attempts that have ended are not told of a cut', () => {
	const attempts = createOpenAttempts();
	const told: string[] = [];
	attempts.begin('p', 's1', () => {
		told.push('open');
	}, 0);
	attempts.begin('p', 's1', () => {
		told.push('ended');
	}, 0).end();
	attempts.begin('other', 's2', () => {
		told.push('other');
	}, 0);
	attempts.cut('p');
	assert.equal(told, ['open']);
});

test.run();
