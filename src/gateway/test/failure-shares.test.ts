/** Pattern: a server fails a part of its requests while its health check is good. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createFailureShares} from '../common/failure-shares.js';

const test = suite('servers that fail a part');
const SERVERS = ['s1', 's2', 's3'];

test('a server that fails half of its requests is passed over most of the time, one that fails a few never', () => {
	const shares = createFailureShares();
	let passedOver = 0;
	let fewPassedOver = 0;
	Array.from({length: 200}, (_, index) => index * 100).forEach((now, index) => {
		const failing = shares.listFailing(SERVERS, now);
		passedOver += failing.includes('s1') ? 1 : 0;
		fewPassedOver += failing.includes('s2') ? 1 : 0;
		if (!failing.includes('s1')) {
			shares.note('s1', index % 2 === 0, now);
		}

		shares.note('s2', index % 20 === 0, now);
	});
	assert.ok(passedOver > 100, `${passedOver} of 200`);
	assert.is(fewPassedOver, 0);
});

test('it is tried again after a while, and servers are never passed over all at once', () => {
	const shares = createFailureShares();
	SERVERS.forEach(server => {
		shares.note(server, true, 0);
		shares.note(server, true, 0);
	});
	assert.equal(shares.listFailing(SERVERS, 100), []);
	assert.equal(shares.listFailing([...SERVERS, 's4'], 100), SERVERS);
	assert.equal(shares.listFailing([...SERVERS, 's4'], 2000), []);
});

test.run();
