import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLeaseDecider} from '../../leases/common/lease-decider.js';
import {readLease} from '../../leases/common/lease-record.js';
import {checkLists} from '../common/check-lists.js';
import {parseConfiguration, renderConfiguration} from '../common/stored-configuration.js';

const test = suite('versions side by side');

const plan = {
	name: 'portal', customer: 'anadolu', weight: 1, keyHashes: [], trainers: [],
};
const later = {...plan, quota: 7};

test('stored lists with fields of a newer version are read, and fields of the object are kept on rewriting', () => {
	const value = JSON.stringify({lists: {plans: [later], grants: []}, changes: [], region: 'attica'});
	const parsed = parseConfiguration(5, value)!;
	assert.equal(parsed.lists.plans, [plan]);
	const rewritten = JSON.parse(renderConfiguration(parsed, parsed.lists, []));
	assert.is(rewritten.region, 'attica');
});

test('an operator\'s lists with fields of a newer version are refused, not cut', () => {
	const checked = checkLists({plans: [later], grants: []});
	assert.is(checked._unsafeUnwrapErr().effect, 'notRun');
	assert.match(checked._unsafeUnwrapErr().message, /quota/);
});

test('a value that cannot be understood is not taken over', () => {
	assert.is(parseConfiguration(5, '{"lists":'), undefined);
	assert.is(parseConfiguration(5, '{"lists":{"plans":"none"}}'), undefined);
});

/** Takes a lease whose record has a field of a newer version, and returns that field as it is written. */
function takeLease(read: typeof readLease): unknown {
	const times = {
		durationMs: 6000, renewMs: 2000, marginMs: 1000, standbyDelayMs: 1000,
	};
	const self = {
		daemonId: 'entry-1', incarnation: 1, address: '10.0.0.1', peerPort: 1,
	};
	const decider = createLeaseDecider(self, times);
	const record = {
		...self, daemonId: 'entry-2', durationMs: 6000, released: true, weight: 3,
	};
	decider.observe(read({
		kind: 'lease', name: 'shard-0', version: 4, value: JSON.stringify(record), writeId: {writer: 'entry-2@1', sequence: '1'},
	}, 'entry-1@1'), 0);
	const action = decider.decide({rank: 0, yields: false}, '1', 0);
	return action.kind === 'write' ? action.write.record.weight : 'not written';
}

test('a lease keeps fields of a newer version when another daemon takes it', () => {
	assert.is(takeLease(readLease), 3);
});

/** Reads the fields of this version only. */
const readNarrowly: typeof readLease = (object, writer) => {
	const {record, ...snapshot} = readLease(object, writer);
	return {
		...snapshot,
		record: record && {
			daemonId: record.daemonId, incarnation: record.incarnation, address: record.address, peerPort: record.peerPort, durationMs: record.durationMs, released: record.released,
		},
	};
};

test('without keeping unknown fields, the field of the newer version is cut and caught', () => {
	assert.is(takeLease(readNarrowly), undefined);
});

test('the check names each problem of the lists', () => {
	const grant = {plan: 'missing', pool: 'kalip-llm', requestsPerSecond: 1};
	const {message} = checkLists({plans: [plan, plan], grants: [grant, grant]})._unsafeUnwrapErr();
	assert.match(message, /plan "portal" is listed more than once/);
	assert.match(message, /granted more than once/);
	assert.match(message, /unknown plan "missing"/);
});

test.run();
