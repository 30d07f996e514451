/** Pattern: a server fails some of its requests while its health check passes. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createFailureRates} from '../common/failure-rates.js';

const test = suite('failure rates');
const SERVERS = ['s1', 's2', 's3'];

test('a server that fails half of its requests is skipped most of the time, and one that fails 5% of them never', () => {
	const rates = createFailureRates();
	let skipped = 0;
	let fewSkipped = 0;
	Array.from({length: 200}, (_, index) => index * 100).forEach((now, index) => {
		const failing = rates.listFailing(SERVERS, now);
		skipped += failing.includes('s1') ? 1 : 0;
		fewSkipped += failing.includes('s2') ? 1 : 0;
		if (!failing.includes('s1')) {
			rates.recordOutcome('s1', index % 2 === 0, now);
		}

		rates.recordOutcome('s2', index % 20 === 0, now);
	});
	assert.ok(skipped > 100, `${skipped} of 200`);
	assert.is(fewSkipped, 0);
});

test('a skipped server is tried again after 2 s, and never are all servers skipped at once', () => {
	const rates = createFailureRates();
	SERVERS.forEach(server => {
		rates.recordOutcome(server, true, 0);
		rates.recordOutcome(server, true, 0);
	});
	assert.equal(rates.listFailing(SERVERS, 100), []);
	assert.equal(rates.listFailing([...SERVERS, 's4'], 100), SERVERS);
	assert.equal(rates.listFailing([...SERVERS, 's4'], 2000), []);
});

test.run();
