import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createStoppedDaemons} from '../common/stopped-daemons.js';
import {divideGrant} from '../common/share-division.js';
import {createShareLedger} from '../common/share-ledger.js';

const test = suite('stopped daemons');
const entry = {
	id: 'vm-1', address: '127.0.0.1', port: 7000, availabilityZone: 'a', state: 'live', pool: 'entry',
} as const;
const create = () => createStoppedDaemons(daemonId => daemonId === 'entry-1' ? '127.0.0.1:7000' : undefined);

test('a VM counts as removed only if it was listed before and has been missing for more than 15 s', () => {
	const stoppedDaemons = create();
	stoppedDaemons.updateVms([], 0);
	assert.not(stoppedDaemons.isStopped('entry-1', 60_000), 'never listed');
	stoppedDaemons.updateVms([entry], 60_000);
	assert.not(stoppedDaemons.isStopped('entry-1', 90_000), 'no newer list');
	stoppedDaemons.updateVms([], 70_000);
	assert.not(stoppedDaemons.isStopped('entry-1', 74_000), 'the list lags');
	assert.ok(stoppedDaemons.isStopped('entry-1', 76_000));
});

test('a daemon counts as stopped when its port has refused three connections over 2 s, and not when it is unreachable', () => {
	const stoppedDaemons = create();
	[0, 1000].forEach(now => {
		stoppedDaemons.recordProbe('entry-1', 'refused', now);
	});
	assert.not(stoppedDaemons.isStopped('entry-1', 1000));
	stoppedDaemons.recordProbe('entry-1', 'refused', 2000);
	assert.ok(stoppedDaemons.isStopped('entry-1', 2000));
	stoppedDaemons.recordProbe('entry-1', 'unknown', 4000);
	assert.not(stoppedDaemons.isStopped('entry-1', 4000), 'a frozen or unreachable daemon may still run');
});

test('the share of a silent holder stays reserved until the holder is removed', () => {
	const ledger = createShareLedger(3_600_000);
	const renew = (daemonId: string, sequence: number, fraction: number, now: number) => ledger.renew({
		daemonId, run: 1, sequence, reports: [{grant: 'g', fraction, demand: 1}],
	}, now);
	const divide = (now: number) => {
		const record = ledger.plan(now);
		if (record) {
			ledger.written(record);
		}
	};

	renew('entry-1', 1, 0, 0);
	divide(0);
	const held = renew('entry-1', 2, 0, 100)[0]!.fraction;
	assert.ok(held > 0.9);
	renew('entry-2', 1, 0, 20_000);
	divide(20_000);
	assert.equal(ledger.silent(20_000), ['entry-1']);
	assert.ok(renew('entry-2', 2, 0, 20_100)[0]!.fraction <= 1 - held);
	ledger.removeHolder('entry-1');
	divide(20_200);
	assert.ok(renew('entry-2', 3, 0, 20_300)[0]!.fraction > 0.9);
});

test('the divided parts never add up to more than the available fraction', () => {
	[0.1, 0.4, 3].forEach(demand => {
		const parts = divideGrant([{daemonId: 'a', demand}, {daemonId: 'b', demand: 0.2}, {daemonId: 'c', demand: 0}], 0.8);
		assert.ok(parts.reduce((sum, part) => sum + part.fraction, 0) <= 0.8 + 1e-9);
	});
});

test.run();
