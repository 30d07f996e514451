import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLeaseTimes} from '../common/lease-policy.js';
import {createObservedLease} from '../common/observed-lease.js';

const test = suite('observed lease');
const daemon = (name: string, incarnation = '1') => ({
	name, incarnation, ip: name, port: 1, region: 'r', availabilityZone: 'z',
});
const holder = daemon('d2');
const object = (revision: number, spec: unknown) => ({
	name: 'orders', revision, spec, status: undefined,
});
const create = () => createObservedLease(daemon('d1'), createLeaseTimes(3000));

test('the lapse counts from when the holder says that it renewed the lease, and from the first sight of a revision that it did not name', () => {
	const lease = create();
	lease.recordObject(object(5, {holder, renewals: 1, lapseMs: 2000}), 10_000);
	assert.not.ok(lease.mayTake(11_999, true));
	lease.recordStatement(holder, {revision: 5, lapseMs: 2000, renewedBy: 9000});
	assert.ok(lease.mayTake(11_000, true));
	lease.recordStatement(holder, {revision: 6, lapseMs: 3600, renewedBy: 10_500});
	assert.not.ok(lease.mayTake(14_099, true));
	assert.ok(lease.mayTake(14_100, true));
	lease.recordObject(object(7, {holder, renewals: 3, lapseMs: 2000}), 14_000);
	assert.not.ok(lease.mayTake(15_999, true));
});

test('what another run of the holder or an older reply says changes nothing', () => {
	const lease = create();
	lease.recordObject(object(5, {holder, renewals: 1, lapseMs: 2000}), 10_000);
	lease.recordStatement(daemon('d2', '2'), {revision: 9, lapseMs: 1, renewedBy: 0});
	lease.recordStatement(holder, {revision: 4, lapseMs: 1, renewedBy: 0});
	lease.recordStatement(holder, {revision: 5, lapseMs: 2000, renewedBy: 11_000});
	assert.not.ok(lease.mayTake(11_999, true));
	assert.ok(lease.mayTake(12_000, true));
});

test('a lease known from its holder is completed by the store, which names the earlier holders', () => {
	const lease = create();
	lease.recordStatement(holder, {revision: 5, lapseMs: 2000, renewedBy: 9000});
	lease.recordObject(object(5, {
		holder, renewals: 4, lapseMs: 2000, earlierHolders: ['d1'],
	}), 10_000);
	assert.equal(lease.current()?.record?.earlierHolders, ['d1']);
	assert.ok(lease.mayTake(11_000, true), 'the time that the holder said stays');
});

test('a released lease is free at once; an own one only if nothing is without an answer', () => {
	const lease = create();
	lease.recordObject(object(5, {renewals: 1, earlierHolders: ['d2']}), 10_000);
	assert.ok(lease.mayTake(10_000, false));
	lease.recordObject(object(6, {holder: daemon('d1'), renewals: 1, lapseMs: 2000}), 10_000);
	assert.ok(lease.isOwn());
	assert.ok(lease.mayTake(10_000, true));
	assert.not.ok(lease.mayTake(10_000, false));
	lease.recordObject(object(7, 'nonsense'), 10_000);
	assert.not.ok(lease.mayTake(15_999, true), 'what can not be decoded is not free');
});

test.run();
