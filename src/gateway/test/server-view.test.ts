import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createServerView, type ServerEntry} from '../common/server-view.js';

const test = suite('server view');

function entry(id: string, more: Partial<ServerEntry> = {}): ServerEntry {
	return {
		id, pool: 'engines', address: `10.0.0.${id.length}`, port: Number(id.slice(1)), availabilityZone: 'z', slots: 8, isLeaving: false, versions: new Map([['m', 1]]), sequence: 5, startedAt: 1000, ...more,
	};
}

const createView = () => createServerView(() => 'r');

test('drops a server whose entry is gone while the store is well', () => {
	const view = createView();
	view.update([entry('s1'), entry('s2')], 0);
	view.update([entry('s1')], 5000);
	assert.is(view.find('s2'), undefined);
	assert.not.ok(view.table.usable('s2', 5000));
});

test('keeps a server whose entry lapsed while the store was away, for a bounded time', () => {
	const view = createView();
	view.update([entry('s1'), entry('s2')], 0);
	view.noteReach(false, 1000);
	view.noteReach(true, 9000);
	view.update([], 9000);
	assert.ok(view.table.usable('s1', 9100));
	view.update([entry('s1')], 10_500);
	view.expire(11_300);
	assert.ok(view.find('s1'), 'written again');
	assert.is(view.find('s2'), undefined, 'taken as gone');
});

test('a late write of an earlier state does not bring a leaving server back', () => {
	const view = createView();
	view.update([entry('s1', {sequence: 7, isLeaving: true})], 0);
	view.update([entry('s1', {sequence: 6})], 100);
	assert.ok(view.find('s1')?.isLeaving);
});

test('an entry of an earlier start of a server is outdated', () => {
	const view = createView();
	view.update([entry('s1', {startedAt: 2000, sequence: 1, versions: new Map([['m', 3]])})], 0);
	view.update([entry('s1', {startedAt: 1000, sequence: 90})], 100);
	assert.is(view.versionOf('s1', 'm'), 3);
});

test('what a server stated of its version ends with its start', () => {
	const view = createView();
	view.update([entry('s1')], 0);
	view.stateVersion('s1', 'm', 4);
	assert.is(view.versionOf('s1', 'm'), 4);
	view.update([entry('s1', {startedAt: 2000, sequence: 1})], 100);
	assert.is(view.versionOf('s1', 'm'), 1);
});

test('a kept server makes room for one that has its address now', () => {
	const view = createView();
	view.update([entry('s1')], 0);
	view.noteReach(false, 1000);
	view.noteReach(true, 2000);
	view.update([entry('t1', {address: '10.0.0.2', port: 1})], 2000);
	assert.is(view.find('s1'), undefined);
});

test.run();
