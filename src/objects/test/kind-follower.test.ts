import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createMemoryObjects} from '../../../test/fakes/memory-objects.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {ApiObject} from '../../adapters/common/object-api.js';
import {silentLog} from '../../kernel/common/log.js';
import {followKind} from '../common/kind-follower.js';

const test = suite('kind follower');

function createWorld(waitMs = 3000, gatherMs = 50) {
	const time = createVirtualTime();
	const store = createMemoryObjects(time.loop);
	const seen: Array<ReadonlyMap<string, ApiObject>> = [];
	const follower = followKind({
		kind: 'config', waitMs, minimumPollIntervalMs: gatherMs, onObjects(objects) {
			seen.push(objects);
		},
	}, {
		api: store.open('d1'), clock: time.clock, loop: time.loop, random: () => 0.5, log: silentLog,
	});
	return {
		time, store, seen, follower, specOf: (name: string): unknown => seen.at(-1)?.get(name)?.spec,
	};
}

test('a change is seen within the latency of the store', async () => {
	const {time, store, specOf} = createWorld();
	await time.advance(100);
	store.put('config', 'main', 1);
	await time.advance(70);
	assert.is(specOf('main'), 1);
});

test('all objects are listed again without delay when the store no longer has the history, so that no change is lost', async () => {
	const {time, store, specOf} = createWorld(400);
	await time.advance(100);
	store.partitioned.add('d1');
	await time.advance(1500);
	store.put('config', 'main', 2);
	store.compact();
	store.partitioned.delete('d1');
	await time.advance(1500);
	assert.is(specOf('main'), 2);
});

test('frequent changes are fetched together in few calls', async () => {
	const {time, store} = createWorld(400, 1200);
	await time.advance(100);
	const before = store.calls.get('changes') ?? 0;
	time.loop.every({
		name: 'writer', periodMs: 100, run() {
			store.put('config', 'busy', time.clock.monotonic());
		},
	});
	await time.advance(12_000);
	const calls = (store.calls.get('changes') ?? 0) - before;
	assert.ok(calls <= 11, `${calls} calls in 12 s`);
});

test('a deleted object is removed', async () => {
	const {time, store, specOf} = createWorld();
	store.put('config', 'main', 1);
	await time.advance(100);
	store.drop('config', 'main');
	await time.advance(100);
	assert.is(specOf('main'), undefined);
});

test('polling stops when the follower is disposed', async () => {
	const {time, store, follower} = createWorld(400);
	await time.advance(100);
	follower.dispose();
	await time.advance(1000);
	const before = store.calls.get('changes') ?? 0;
	await time.advance(5000);
	assert.is(store.calls.get('changes') ?? 0, before);
});

test.run();
