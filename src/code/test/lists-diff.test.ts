import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {listsSchema} from '../../plans/common/lists.js';
import {compareLists, formatListChange} from '../common/lists-diff.js';
import {checkListsDocument} from '../common/lists-document.js';

const test = suite('lists');

const before = listsSchema.parse({
	plans: [{name: 'workshops', customer: 'members'}, {name: 'classes', customer: 'members'}],
	grants: [{plan: 'workshops', pool: 'portal', requestsPerSecond: 5}],
});

test('lists added, removed and changed entries', () => {
	const after = listsSchema.parse({
		plans: [{customer: 'members', name: 'workshops'}],
		grants: [{plan: 'workshops', pool: 'portal', requestsPerSecond: 6}, {plan: 'workshops', pool: 'models', requestsPerSecond: 1}],
	});
	const changes = compareLists(before, after);
	assert.equal(changes.map(change => `${change.kind} ${change.subject}`), [
		'removed plan classes', 'changed grant workshops on portal', 'added grant workshops on models',
	]);
	assert.match(changes.map(change => formatListChange(change))[1] ?? '', /^~ grant workshops on portal: .*:5.* -> .*:6/);
	assert.equal(compareLists(before, before), []);
});

test('accepts lists with and without a version', () => {
	assert.is(checkListsDocument({plans: [], grants: []})._unsafeUnwrap().version, undefined);
	assert.is(checkListsDocument({version: 4, lists: {plans: [], grants: []}})._unsafeUnwrap().version, 4);
});

test('reports the path of an unknown key in versioned lists', () => {
	const problems = checkListsDocument({version: 4, lists: {plans: [{name: 'workshops', customer: 'members', wait: 1}], grants: []}})._unsafeUnwrapErr();
	assert.equal(problems.map(problem => problem.path), ['$.lists.plans[0]']);
	assert.match(problems[0]?.message ?? '', /^unknown key "wait"; allowed: name, customer, weight/);
});

test('reports a grant for an unknown plan', () => {
	const problems = checkListsDocument({plans: [], grants: [{plan: 'gone', pool: 'portal', requestsPerSecond: 1}]})._unsafeUnwrapErr();
	assert.is(problems[0]?.path, '$');
	assert.match(problems[0]?.message ?? '', /unknown plan "gone"; allowed: /);
});

test.run();
