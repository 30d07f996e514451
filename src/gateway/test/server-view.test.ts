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

test('a server that says it is leaving gets nothing new, although the store shows it as ready for long', () => {
	const view = createView();
	view.update([entry('s1'), entry('s2')], 0);
	view.noteLeaving({serverId: 's1', startedAt: 1000}, 100);
	assert.not.ok(view.table.usable('s1', 100));
	view.update([entry('s1', {sequence: 6}), entry('s2')], 200);
	view.update([entry('s2')], 300);
	view.update([entry('s1', {sequence: 9}), entry('s2')], 120_000);
	assert.not.ok(view.table.usable('s1', 120_001), 'the mark outlives the entry');
	assert.ok(view.table.usable('s2', 120_001));
});

test('only a later start ends what a server said of leaving, and at once', () => {
	const view = createView();
	view.update([entry('s1')], 0);
	view.noteLeaving({serverId: 's1', startedAt: 1000}, 100);
	view.update([entry('s1', {startedAt: 900, sequence: 99})], 200);
	assert.not.ok(view.table.usable('s1', 200), 'an entry of an earlier start');
	view.update([entry('s1', {startedAt: 2000, sequence: 1})], 300);
	assert.ok(view.table.usable('s1', 300));
	view.noteLeaving({serverId: 's1', startedAt: 1000}, 400);
	assert.ok(view.table.usable('s1', 400), 'a late word of the earlier start');
});

test('a mark heard before the entry is known holds, and is told to others', () => {
	const view = createView();
	view.noteLeaving({serverId: 's1', startedAt: 1000}, 0);
	view.update([entry('s1')], 100);
	assert.not.ok(view.table.usable('s1', 100));
	assert.equal(view.listLeaving(200_000), [{serverId: 's1', startedAt: 1000}], 'as long as the entry is listed');
	view.update([], 200_000);
	assert.equal(view.listLeaving(200_001), []);
});

test('a late write of an earlier state does not bring back a server whose entry was removed', () => {
	const view = createView();
	view.update([entry('s1', {sequence: 7, isLeaving: true})], 0);
	view.update([], 1000);
	view.update([entry('s1', {sequence: 6})], 4000);
	assert.is(view.find('s1'), undefined);
	view.update([entry('s1', {sequence: 8})], 5000);
	assert.ok(view.find('s1'), 'a later write of the same start');
});

test.run();
