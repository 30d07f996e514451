import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {forgetReservations, listExcesses, tokenLimit} from './harness/share-schedules.js';

const test = suite('shares of token rates');
const SEEDS = 60 * Number(process.env.FUZZ_FACTOR ?? 1);

test('never passes the tokens of a grant under random demand, pauses, restarts, takeovers, cuts, outages and lost answers', async () => {
	assert.equal(await listExcesses(tokenLimit, SEEDS), []);
});

test('is caught when every daemon keeps all tokens of the grant', async () => {
	const excesses = await listExcesses(tokenLimit, 3, {fractionOf: () => () => 1});
	assert.ok(excesses.length > 0);
});

test('is caught when owners do not reserve shares of tokens in the store', async () => {
	const excesses = await listExcesses(tokenLimit, 10, {store: forgetReservations});
	assert.ok(excesses.length > 0);
});

test.run();
