import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {ServerEntry} from '../common/server-view.js';
import {
	allowsServer, chooseBase, createSoftwareVersions, STREAM_RETENTION_MS,
} from '../common/stream-origin.js';

const test = suite('software versions of streams');

function entry(id: string, softwareVersion: string, more: Partial<ServerEntry> = {}): ServerEntry {
	return {
		id, pool: 'p', address: id, port: 1, availabilityZone: 'z', slots: 8, isLeaving: false, versions: new Map(), sequence: 1, startedAt: 1, softwareVersion, ...more,
	};
}

test('the base of a pool without one is the version with the most servers', () => {
	const versions = createSoftwareVersions();
	assert.is(chooseBase('p', undefined, versions, 0), undefined);
	versions.update([entry('a', 'v1'), entry('b', 'v2'), entry('c', 'v2'), entry('d', 'v1', {isLeaving: true})], 0);
	assert.is(chooseBase('p', undefined, versions, 0), 'v2');
});

test('the base changes only when its version has been gone for as long as a stream can be continued', () => {
	const versions = createSoftwareVersions();
	versions.update([entry('a', 'v1'), entry('b', 'v2')], 0);
	versions.update([entry('b', 'v2')], 10_000);
	assert.is(chooseBase('p', 'v1', versions, STREAM_RETENTION_MS - 1), undefined);
	assert.is(chooseBase('p', 'v1', versions, STREAM_RETENTION_MS), 'v2');
});

test('a daemon that has just started does not know whether a version has been gone for long', () => {
	const versions = createSoftwareVersions();
	versions.update([entry('b', 'v2')], 100_000);
	assert.is(chooseBase('p', 'v1', versions, 100_000 + STREAM_RETENTION_MS - 1), undefined);
	assert.is(versions.soleVersion('p', 100_000 + STREAM_RETENTION_MS - 1), undefined);
	assert.is(versions.soleVersion('p', 100_000 + STREAM_RETENTION_MS), undefined, 'its servers have not been seen since');
	versions.update([entry('b', 'v2')], 100_000 + STREAM_RETENTION_MS);
	assert.is(versions.soleVersion('p', 100_000 + STREAM_RETENTION_MS), 'v2');
});

test('a stream goes on at its own version and pool, and one without a record at the base of each pool', () => {
	const baseOf = (pool: string) => (pool === 'p' ? 'v1' : undefined);
	assert.ok(allowsServer({kind: 'base'}, entry('a', 'v1'), baseOf));
	assert.not.ok(allowsServer({kind: 'base'}, entry('a', 'v2'), baseOf));
	assert.not.ok(allowsServer({kind: 'base'}, {pool: 'q', softwareVersion: undefined}, baseOf));
	assert.ok(allowsServer({kind: 'version', pool: 'p', softwareVersion: 'v2'}, entry('a', 'v2'), baseOf));
	assert.not.ok(allowsServer({kind: 'version', pool: 'p', softwareVersion: 'v2'}, entry('a', 'v2', {pool: 'q'}), baseOf));
});

test.run();
