import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findCrashViolations} from './checkers/crash-checker.js';
import {createCrashingFleet, POISON} from './fakes/crashing-fleet.js';

const test = suite('requests that crash servers');

// Incident docs/incidents/crash-requests.md: a request that had crashed three servers was sent to servers again and again, by any daemon.
test('a request that has crashed three servers reaches no more than three others, through whichever daemon it comes', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 12, seed: 1});
	await Array.from({length: 30}).reduce<Promise<void>>(async previous => {
		await previous;
		void fleet.send(`${POISON} 1`);
		await fleet.time.advance(1000);
	}, Promise.resolve());
	assert.equal(findCrashViolations(fleet), []);
});

test.run();
