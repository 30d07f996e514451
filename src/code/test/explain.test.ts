import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createBatch, createBatchSimulation} from '../../../test/fakes/batch-world.js';
import {explain, formatLogLine} from '../common/explain.js';

const test = suite('explain');

test('for a group delayed by an engine failure, shows the runs of its item and why they ended', async () => {
	const world = createBatchSimulation({daemons: ['d1'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [60, 60, 60, 60]), 10_000));
	await world.time.advance(1000);
	const victim = world.engines.find(engine => engine.running > 0)!;
	victim.isDown = true;
	await world.readAll('b', ['d1']);
	const {itemId} = (victim.starts[0]!);
	const lines = explain(world.lines, itemId);
	const broken = lines.find(line => line.message === 'run ended' && line.fields.outcome === 'died');
	assert.is(broken?.fields.serverId, victim.id);
	assert.is(broken?.fields.reason, 'reset');
	const messages = lines.map(line => line.message);
	assert.is(messages[0], 'own batch');
	assert.is(messages.at(-1), 'results stored');
	assert.ok(lines.every(line => line.fields.itemId === undefined || line.fields.itemId === itemId), 'other items are left out');
});

test('for a group generated again after a change of owner, shows which daemon took it over and why', async () => {
	const world = createBatchSimulation({daemons: ['d1', 'd2'], engines: 2});
	await world.finish(world.serviceOf('d1').submit(createBatch('b', [60, 60, 60, 60]), 10_000));
	await world.time.advance(800);
	world.kill('d1');
	await world.readAll('b', ['d2']);
	const lines = explain(world.lines, 'b-2');
	const takeover = lines.find(line => line.message === 'take over batch');
	assert.is(takeover?.daemon, 'd2');
	assert.match(String(takeover?.fields.reason), 'owner d1 does not answer');
	const starts = lines.filter(line => line.message === 'run started');
	assert.equal(starts.map(line => line.daemon), ['d1', 'd2']);
	assert.match(formatLogLine(starts[1]!), 'after=0');
});

const REFUSED = [
	'12.3 d1 {"time":"2026-01-01T00:00:01.000Z","level":"info","message":"configuration in force","daemon":"d1","version":4}',
	'{"time":"2026-01-01T00:00:02.100Z","level":"info","message":"try ended","daemon":"d1","requestId":"r1","serverId":"s1","decision":"tryAgain","isNotRun":true}',
	'{"time":"2026-01-01T00:00:02.300Z","level":"info","message":"request not served","daemon":"d1","requestId":"r1","status":503,"reason":"no backend server took the request"}',
	'{"time":"2026-01-01T00:00:02.200Z","level":"info","message":"try ended","daemon":"d1","requestId":"r1","serverId":"s2","decision":"refuse","isNotRun":true}',
	'{"time":"2026-01-01T00:00:02.200Z","level":"info","message":"try ended","daemon":"d1","requestId":"r2","serverId":"s2","decision":"deliver"}',
	'{"time":"2026-01-01T00:00:02.250Z","level":"warn","message":"own way to the store is broken","daemon":"d2"}',
	'no json {',
	'{"time": 5}',
];

test('for a refused request, shows its attempts in order of time and the state changes of its daemon', () => {
	assert.equal(explain(REFUSED, 'r1').map(line => line.message), ['configuration in force', 'try ended', 'try ended', 'request not served']);
});

test('returns no lines for an id that no line contains', () => {
	assert.equal(explain(REFUSED, 'r9'), []);
});

test.run();
