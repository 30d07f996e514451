import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createMemoryObjects} from '../../../test/fakes/memory-objects.js';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createRelayedApi} from '../node/relayed-api.js';

const test = suite('relayed object API');

function createWorld(names: readonly string[]) {
	const time = createVirtualTime();
	const store = createMemoryObjects(time.loop);
	const network = createMeshNetwork(time.loop);
	const apis = names.map(name => createRelayedApi({
		directApi: store.open(name), mesh: network.join(name), loop: time.loop, random: () => 0.5, log: silentLog, metrics: silentMetrics,
	}));

	/** Waits for a call to end and returns its value and duration. */
	async function measure<T>(call: Promise<T>): Promise<{readonly value: T; readonly tookMs: number}> {
		const startedAt = time.clock.monotonic();
		const ended: Array<{readonly value: T; readonly tookMs: number}> = [];
		void call.then(value => {
			ended.push({value, tookMs: time.clock.monotonic() - startedAt});
		});
		await time.advance(10_000);
		return ended[0]!;
	}

	return {
		time, store, network, apis, measure,
	};
}

test('a call is relayed through a peer when the connection to the store is broken', async () => {
	const {store, apis, measure} = createWorld(['d1', 'd2']);
	store.partitioned.add('d1');
	const created = await measure(apis[0]!.create({kind: 'k', name: 'a'}, 1));
	assert.ok(created.value.isOk());
	assert.is(store.find('k', 'a')?.spec, 1);
});

test('only the first call after the connection broke waits for its timeout', async () => {
	const {store, apis, measure} = createWorld(['d1', 'd2']);
	store.partitioned.add('d1');
	await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	const second = await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	assert.ok(second.tookMs < 50, `${second.tookMs} ms`);
});

test('the first failure aborts polls that wait at the store', async () => {
	const {time, store, apis} = createWorld(['d1', 'd2']);
	const listing = apis[0]!.list('versions');
	await time.advance(20);
	const {revision} = (await listing)._unsafeUnwrap();
	const seen: number[] = [];
	store.partitioned.add('d1');
	void apis[0]!.changes('versions', revision, 5000).then(async () => {
		const again = await apis[0]!.changes('versions', revision, 5000);
		again.map(({changes}) => seen.push(changes.length));
	});
	void apis[0]!.read({kind: 'k', name: 'a'});
	store.put('versions', 'm', 2);
	await time.advance(2500);
	assert.equal(seen, [1], 'the change was seen well before the poll of 5 s would have ended');
});

test('a peer that is partitioned from the store itself reports this without delay', async () => {
	const {store, apis, measure} = createWorld(['d1', 'd2']);
	store.partitioned.add('d1');
	store.partitioned.add('d2');
	await measure(apis[1]!.read({kind: 'k', name: 'a'}));
	await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	const third = await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	assert.ok(third.value.isErr());
	assert.ok(third.tookMs < 50, `${third.tookMs} ms`);
});

test('calls use the own connection again once it has recovered', async () => {
	const {time, store, network, apis, measure} = createWorld(['d1', 'd2']);
	store.partitioned.add('d1');
	await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	store.partitioned.delete('d1');
	await time.advance(2500);
	network.unresponsive.add('d2');
	const read = await measure(apis[0]!.read({kind: 'k', name: 'a'}));
	assert.ok(read.value.isOk());
	assert.ok(read.tookMs < 50, `${read.tookMs} ms`);
});

test('the outcome of a write without a response stays unknown when peers fail as well', async () => {
	const {store, apis, measure, network} = createWorld(['d1', 'd2']);
	store.loseNextWrite.add('d1');
	network.unresponsive.add('d2');
	const created = await measure(apis[0]!.create({kind: 'k', name: 'a'}, 1));
	assert.is(created.value._unsafeUnwrapErr().effect, 'outcomeUnknown');
	assert.is(store.find('k', 'a')?.spec, 1);
});

test.run();
