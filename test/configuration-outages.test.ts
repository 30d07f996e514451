import {err} from 'neverthrow';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createNotRun} from '../src/base/common/failure.js';
import type {Store} from '../src/adapters/common/store.js';
import {wrapStore} from '../src/adapters/common/wrapped-store.js';
import {ConfigurationTransport} from '../src/plans/common/configuration-transport.js';
import {findLate, findReverts} from './fakes/configuration-record.js';
import {
	assertRight, IN_FORCE_MS, propose, start, type Change, type Started,
} from './fakes/configuration-scenario.js';
import {
	createMemorySnapshots, eachSeed, repeat, withoutRumors,
} from './fakes/fleet-scenario.js';

const test = suite('configuration outages');

async function runTwoRegions(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
	const far = new Set(['entry-3']);
	started.fleet.faults.isCut = (from, to) => far.has(from) !== far.has(to);
	started.fleet.faults.store = daemonId => (far.has(daemonId) ? 'down' : 'none');
	started.fleet.faults.isWatching = daemonId => !far.has(daemonId);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(300_000);
	started.fleet.faults.isCut = () => false;
	started.fleet.faults.store = () => 'none';
	await started.fleet.time.advance(10_000);
	return started;
}

/** The daemons that do not have the newest version. */
function findBehind({fleet, record}: Started): readonly string[] {
	const newest = record.history.at(-1)?.version;
	return fleet.all().filter(daemon => daemon.configuration.current().version !== newest).map(daemon => daemon.id);
}

test('two regions cut from each other: after the cut every daemon has the newest version', async () => {
	await eachSeed(async seed => {
		const started = await runTwoRegions(seed);
		assertRight(started);
		assert.equal(findBehind(started), []);
	});
});

/** A store whose configuration cannot be read, so that only peers tell of changes. */
function withoutReads(store: Store): Store {
	return wrapStore(store, async (call, id, action) => {
		const answer = await action();
		return call === 'read' && id.kind === 'config' ? err(createNotRun('unavailable', {step: 'read', peer: 'store'}, 'off')) : answer;
	});
}

test('after the cut, either the rumors or the watchers\' reads bring the version; without both it is caught', async () => {
	await eachSeed(async seed => {
		assert.equal(findBehind(await runTwoRegions(seed, profile => ({...profile, wrapStore: withoutReads}))), []);
		assert.equal(findBehind(await runTwoRegions(seed, profile => ({...profile, wrapMembership: withoutRumors}))), []);
		const started = await runTwoRegions(seed, profile => ({...profile, wrapMembership: withoutRumors, wrapStore: withoutReads}));
		assert.ok(findBehind(started).includes('entry-3'));
	});
});

async function runRestartedAtOnce(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(60_000);
	started.ids.forEach(id => {
		started.launch(id);
	});
	await started.fleet.time.advance(IN_FORCE_MS + 4000);
	return started;
}

test('all restarted at once in an outage: the version of the one daemon with a data folder returns everywhere', async () => {
	await eachSeed(async seed => {
		const snapshots = createMemorySnapshots();
		const started = await runRestartedAtOnce(seed, profile => (profile.id === 'entry-4' ? {...profile, snapshots} : profile));
		assert.equal(findBehind(started), []);
	});
});

test('without a data folder, all restarted at once are behind and caught', async () => {
	await eachSeed(async seed => {
		const started = await runRestartedAtOnce(seed);
		assert.equal(findBehind(started), started.ids);
	});
});

async function runRestartedInTurn(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.store = () => 'down';
	await repeat(5, async index => {
		started.launch(started.ids[index]!);
		await started.fleet.time.advance(10_000);
	});
	return started;
}

test('all restarted one after another in an outage: none serves an older version than its peers', async () => {
	await eachSeed(async seed => {
		const started = await runRestartedInTurn(seed);
		assert.equal(findReverts(started.record), []);
		assert.equal(findLate(started.record, IN_FORCE_MS), []);
	});
});

/** A link over which no peer answers. */
const silentLink = new (class extends ConfigurationTransport {
	override fetch: ConfigurationTransport['fetch'] = async peer => err(createNotRun('unavailable', {step: 'fetch', peer: peer.address}, 'off'));
})();

test('without bodies from peers, daemons restarted in an outage serve an older version and are caught', async () => {
	await eachSeed(async seed => {
		const started = await runRestartedInTurn(seed, profile => ({...profile, configuration: {transport: silentLink}}));
		assert.ok(findReverts(started.record).length > 0);
		assert.ok(findLate(started.record, IN_FORCE_MS).length > 0);
	});
});

test.run();
