import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {withoutReservations, findExcesses, tokenLimit} from './harness/share-schedules.js';

const test = suite('shares of token rates');
const SEEDS = 60 * Number(process.env.FUZZ_FACTOR ?? 1);

test('daemons never exceed the token rate of a grant under random demand, pauses, restarts, lease takeovers, partitions, store outages and lost responses', async () => {
	assert.equal(await findExcesses(tokenLimit, SEEDS), []);
});

test('the check detects an excess when every daemon uses all tokens of the grant', async () => {
	const excesses = await findExcesses(tokenLimit, 3, {fractionOf: () => () => 1});
	assert.ok(excesses.length > 0);
});

test('the check detects an excess when owners do not reserve token shares in the store', async () => {
	const excesses = await findExcesses(tokenLimit, 20, {store: withoutReservations});
	assert.ok(excesses.length > 0);
});

test.run();
