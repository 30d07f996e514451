import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createLimitedFleet, findLimitViolations} from './fakes/limited-fleet.js';

const test = suite('servers that limit their requests');

// Incident docs/incidents/server-limits.md: a server got 51 requests in 4 s where its limit allowed 45, from daemons that knew the limit.
test('a limit that a server names holds for the sum of all daemons', async () => {
	const fleet = createLimitedFleet({daemons: 9, servers: 3, seed: 1});
	await fleet.play(5000, 25, 0.25);
	fleet.servers[0]!.perSecond = 6.7;
	fleet.servers[1]!.perSecond = 2.2;
	await fleet.play(20_000, 25, 0.25);
	assert.equal(findLimitViolations(fleet).slice(0, 3), []);
});

test.run();
