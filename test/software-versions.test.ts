import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {listMixedStreams} from './checkers/stream-checker.js';
import {createVersionedFleet} from './fakes/versioned-fleet.js';

const test = suite('servers of several software versions');

// Incident docs/incidents/software-versions.md: streams that broke off were continued at servers of another software version, with nothing in the answer to show it.
test('no stream holds events of two software versions, also when all daemons are killed while both serve', async () => {
	const fleet = createVersionedFleet({daemons: 9, servers: 6, seed: 1});
	await fleet.play(5000, 10);
	[1, 2, 3, 4, 5, 6].forEach(() => {
		fleet.addServer('v2');
	});
	await fleet.play(5000, 10);
	fleet.crash(fleet.servers[0]!, 2000);
	fleet.crash(fleet.servers[7]!, 2000);
	await fleet.play(3000, 10);
	fleet.restart(fleet.names, 1500);
	await fleet.play(10_000, 10);
	await fleet.time.advance(20_000);
	assert.ok(fleet.attempts.filter(attempt => attempt.resumes !== undefined).length > 10);
	assert.equal(listMixedStreams(fleet.streams), []);
});

test.run();
