import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err, ok, type Result} from 'neverthrow';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import {createBatchStatus} from '../node/batch-status.js';

const test = suite('status of a batch');
const CANCEL_MS = 3000;
const READ_MS = 100;

/** Creates the status of a batch whose log was confirmed at time 0. */
function createWorld() {
	const {clock, loop, advance} = createVirtualTime();
	const world = {
		advance, clock, confirmedAt: 0, resumedAt: Number.NEGATIVE_INFINITY, isStoreAway: false, isLost: false, reads: 0,
	};
	const status = createBatchStatus('b', {
		writer: {
			confirmedAt: () => world.confirmedAt,
			async catchUp(): Promise<Result<void, Failure>> {
				world.reads += 1;
				const startedAt = clock.monotonic();
				await loop.sleep(READ_MS);
				if (world.isStoreAway) {
					return err(createOutcomeUnknown('unavailable', {step: 'read', peer: 'store'}, 'no answer'));
				}

				world.confirmedAt = startedAt;
				return ok();
			},
		},
		isLost: () => world.isLost, resumedAt: () => world.resumedAt, cancelMs: CANCEL_MS, clock, log: silentLog, metrics: silentMetrics,
	});
	const kindOf = (path: 'direct' | 'relayed') => status.read(path, clock.monotonic()).kind;
	return {world, status, kindOf};
}

// Incident docs/incidents/sent-after-the-end.md: items were sent by a log that had last been read before a pause.
test('a confirmation counts for less than the time in which items may still begin', async () => {
	const {world, status, kindOf} = createWorld();
	await world.advance(2000);
	assert.equal(status.read('relayed', world.clock.monotonic()), {kind: 'confirmed', beginWithinMs: 400});
	await world.advance(400);
	assert.is(kindOf('direct'), 'outdated');
	await Promise.all([status.refresh('direct'), status.refresh('relayed'), world.advance(READ_MS)]);
	assert.is(kindOf('direct'), 'confirmed');
	assert.is(world.reads, 1);
	world.isLost = true;
	assert.is(kindOf('direct'), 'ended');
});

test('a failed read counts until the VM is suspended or another read ends', async () => {
	const {world, status, kindOf} = createWorld();
	await world.advance(2500);
	const refreshed = status.refresh('direct');
	world.isStoreAway = true;
	await world.advance(READ_MS);
	await refreshed;
	assert.is(kindOf('direct'), 'unconfirmed', 'the store does not answer');
	world.resumedAt = world.clock.monotonic();
	assert.is(kindOf('relayed'), 'outdated', 'it may answer since');
	assert.is(kindOf('direct'), 'unconfirmed');
	world.isStoreAway = false;
	await Promise.all([status.refresh('relayed'), world.advance(READ_MS)]);
	assert.is(kindOf('relayed'), 'confirmed');
});

test('a confirmation from before a suspension of the VM does not count for sends over other daemons', async () => {
	const {world, status, kindOf} = createWorld();
	await world.advance(100);
	world.resumedAt = world.clock.monotonic();
	assert.is(kindOf('direct'), 'confirmed');
	assert.is(kindOf('relayed'), 'outdated');
	await Promise.all([status.refresh('relayed'), world.advance(READ_MS)]);
	assert.is(kindOf('relayed'), 'confirmed');
	assert.is(world.reads, 1);
});

// A read that counts from its start is repeated sooner, which cost calls to the store in calm.
test('the next read is due by the end of the last one', async () => {
	const {world, status} = createWorld();
	await world.advance(1000);
	await Promise.all([status.confirm(), world.advance(READ_MS)]);
	assert.is(status.attemptedAt(), 1000 + READ_MS);
});

test.run();
