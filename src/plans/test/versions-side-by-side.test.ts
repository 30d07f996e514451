import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLeaseDecider} from '../../leases/common/lease-decider.js';
import {readLease} from '../../leases/common/lease-record.js';
import {checkLists} from '../common/check-lists.js';
import {parseConfiguration, renderConfiguration} from '../common/stored-configuration.js';

const test = suite('compatibility between releases');

const plan = {
	name: 'portal', customer: 'anadolu', weight: 1, keyHashes: [], trainers: [],
};
const planWithNewField = {...plan, quota: 7};

test('stored lists with unknown fields are readable, and unknown fields of the object are kept when it is rewritten', () => {
	const value = JSON.stringify({lists: {plans: [planWithNewField], grants: []}, changes: [], region: 'attica'});
	const parsed = parseConfiguration(5, value)!;
	assert.equal(parsed.lists.plans, [plan]);
	const rewritten = JSON.parse(renderConfiguration(parsed, parsed.lists, []));
	assert.is(rewritten.region, 'attica');
});

test('an operator\'s lists with unknown fields are rejected, and the fields are not silently dropped', () => {
	const checked = checkLists({plans: [planWithNewField], grants: []});
	assert.is(checked._unsafeUnwrapErr().effect, 'notRun');
	assert.match(checked._unsafeUnwrapErr().message, /quota/);
});

test('an invalid stored value is not applied', () => {
	assert.is(parseConfiguration(5, '{"lists":'), undefined);
	assert.is(parseConfiguration(5, '{"lists":{"plans":"none"}}'), undefined);
});

/** Acquires a lease whose record has an unknown field, and returns that field as it is written. */
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
	const action = decider.decide({rank: 0, mustRelease: false}, '1', 0);
	return action.kind === 'write' ? action.write.record.weight : 'not written';
}

test('a lease keeps unknown fields when another daemon acquires it', () => {
	assert.is(takeLease(readLease), 3);
});

/** Reads only the fields that are known to this release. */
const readKnownFieldsOnly: typeof readLease = (object, writer) => {
	const {record, ...snapshot} = readLease(object, writer);
	return {
		...snapshot,
		record: record && {
			daemonId: record.daemonId, incarnation: record.incarnation, address: record.address, peerPort: record.peerPort, durationMs: record.durationMs, released: record.released,
		},
	};
};

test('the check detects that the unknown field is lost when a read drops unknown fields', () => {
	assert.is(takeLease(readKnownFieldsOnly), undefined);
});

test('checkLists names each problem of the lists', () => {
	const grant = {plan: 'missing', pool: 'kalip-llm', requestsPerSecond: 1};
	const {message} = checkLists({plans: [plan, plan], grants: [grant, grant]})._unsafeUnwrapErr();
	assert.match(message, /plan "portal" is listed more than once/);
	assert.match(message, /granted more than once/);
	assert.match(message, /unknown plan "missing"/);
});

test.run();
