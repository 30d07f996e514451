import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createVanishedDaemons} from '../common/vanished-daemons.js';
import {divideGrant} from '../common/share-division.js';
import {createShareLedger} from '../common/share-ledger.js';

const test = suite('vanished daemons');
const entry = {
	id: 'vm-1', address: '127.0.0.1', port: 7000, availabilityZone: 'a', state: 'live', pool: 'entry',
} as const;
const create = () => createVanishedDaemons(daemonId => daemonId === 'entry-1' ? '127.0.0.1:7000' : undefined);

test('takes a VM for gone only if it was listed and has been missing for a while', () => {
	const vanished = create();
	vanished.updateVms([], 0);
	assert.not(vanished.isGone('entry-1', 60_000), 'never listed');
	vanished.updateVms([entry], 60_000);
	assert.not(vanished.isGone('entry-1', 90_000), 'no newer list');
	vanished.updateVms([], 70_000);
	assert.not(vanished.isGone('entry-1', 74_000), 'the list lags');
	assert.ok(vanished.isGone('entry-1', 76_000));
});

test('takes a daemon for gone when its port refuses every connection for a while', () => {
	const vanished = create();
	[0, 1000].forEach(now => {
		vanished.probed('entry-1', 'refused', now);
	});
	assert.not(vanished.isGone('entry-1', 1000));
	vanished.probed('entry-1', 'refused', 2000);
	assert.ok(vanished.isGone('entry-1', 2000));
	vanished.probed('entry-1', 'unknown', 4000);
	assert.not(vanished.isGone('entry-1', 4000), 'a frozen or unreachable daemon may still run');
});

test('keeps the share of a silent holder until it is forgotten', () => {
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
	ledger.forget('entry-1');
	divide(20_200);
	assert.ok(renew('entry-2', 3, 0, 20_300)[0]!.fraction > 0.9);
});

test('never divides more than there is', () => {
	[0.1, 0.4, 3].forEach(demand => {
		const parts = divideGrant([{daemonId: 'a', demand}, {daemonId: 'b', demand: 0.2}, {daemonId: 'c', demand: 0}], 0.8);
		assert.ok(parts.reduce((sum, part) => sum + part.fraction, 0) <= 0.8 + 1e-9);
	});
});

test.run();
