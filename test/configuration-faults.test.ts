import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Audit} from '../src/audit/common/audit.js';
import {Store} from '../src/platform/common/store.js';
import {createConfigurationHolder, type ConfigurationHolder} from '../src/plans/common/configuration-holder.js';
import type {Membership} from '../src/membership/common/membership.js';
import type {Snapshots} from '../src/persistence/common/snapshots.js';
import {createDaemonFleet, type DaemonProfile} from './fakes/daemon-fleet.js';
import {
	createConfigurationRecord, findFalseOutcomes, findLate, findLostUpdates, findReverts,
} from './fakes/configuration-record.js';

const test = suite('configuration faults');

const SEEDS = 3 * Number(process.env.FUZZ_FACTOR ?? 1);
const IN_FORCE_MS = 6000;

const zones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria'];

type Change = (profile: DaemonProfile) => DaemonProfile;

async function start(seed: number, change: Change = profile => profile, daemons = 5) {
	const fleet = createDaemonFleet(seed);
	const record = createConfigurationRecord(fleet);
	const ids = Array.from({length: daemons}, (_, index) => `entry-${index + 1}`);
	function launch(id: string): void {
		const zone = zones[ids.indexOf(id) % zones.length]!;
		fleet.start(change({id, zone}), ids);
		record.follow(fleet.get(id));
	}

	ids.forEach(id => {
		launch(id);
	});
	await fleet.time.advance(10_000);
	return {
		fleet, record, ids, launch,
	};
}

type Started = Awaited<ReturnType<typeof start>>;

async function propose(started: Started, daemonId: string, tag: string): Promise<void> {
	void started.record.propose(started.fleet.get(daemonId), tag);
	await started.fleet.time.advance(100);
}

function assertRight({record}: Started): void {
	assert.equal(findReverts(record), []);
	assert.equal(findFalseOutcomes(record), []);
	assert.equal(findLostUpdates(record), []);
}

async function eachSeed(run: (seed: number) => Promise<void>): Promise<void> {
	await Array.from({length: SEEDS}, (_, index) => index + 1).reduce(async (previous, seed) => {
		await previous;
		await run(seed);
	}, Promise.resolve());
}

async function repeat(count: number, run: (index: number) => Promise<void>): Promise<void> {
	await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		await run(index);
	}, Promise.resolve());
}

/** A holder that takes over whatever it is offered. */
function createTrustingHolder(): ConfigurationHolder {
	let holder = createConfigurationHolder();
	const followers: Array<Parameters<ConfigurationHolder['onDidChange']>[0]> = [];
	return {
		current: () => holder.current(),
		offer(version, value) {
			if (version === holder.current().version) {
				return 'notNewer';
			}

			holder = createConfigurationHolder();
			const outcome = holder.offer(version, value);
			followers.forEach(follower => {
				follower(holder.current());
			});
			return outcome;
		},
		onDidChange(listener) {
			followers.push(listener);
			return {dispose: () => undefined};
		},
		authenticate: key => holder.authenticate(key),
		grant: (plan, pool) => holder.grant(plan, pool),
	};
}

async function runStaleReads(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.isStale = () => started.fleet.random() < 0.5;
	await repeat(5, async index => {
		await propose(started, started.ids[index]!, `change-${index}`);
		await started.fleet.time.advance(5000);
	});
	return started;
}

test('a store that answers old reads reverts no daemon', async () => {
	await eachSeed(async seed => {
		const started = await runStaleReads(seed);
		assertRight(started);
		assert.equal(findLate(started.record, IN_FORCE_MS), []);
	});
});

test('without the comparison of versions, old reads revert daemons and are caught', async () => {
	await eachSeed(async seed => {
		const started = await runStaleReads(seed, profile => ({...profile, configuration: {createHolder: createTrustingHolder}}));
		assert.ok(findReverts(started.record).length > 0);
	});
});

async function runProposerKilled(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
	started.fleet.faults.isWatching = () => false;
	await propose(started, 'entry-1', 'first');
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(500);
	started.fleet.kill('entry-1');
	await started.fleet.time.advance(15_000);
	return started;
}

test('no watch reports, store down right after the change, its daemon killed: in force within 6 s all the same', async () => {
	await eachSeed(async seed => {
		const started = await runProposerKilled(seed);
		assertRight(started);
		assert.ok(started.record.proposals[0]?.outcome.isOk());
		assert.equal(findLate(started.record, IN_FORCE_MS).filter(sight => sight.daemonId !== 'entry-1'), []);
	});
});

/** Membership that neither spreads nor hears rumors. */
function withoutRumors(membership: Membership): Membership {
	return {
		...membership, spread: () => undefined, rumors: () => [], onDidHear: () => ({dispose: () => undefined}),
	};
}

test('without rumors of versions, the change is late and caught', async () => {
	await eachSeed(async seed => {
		const started = await runProposerKilled(seed, profile => ({...profile, wrapMembership: withoutRumors}));
		assert.ok(findLate(started.record, IN_FORCE_MS).length > 0);
	});
});

async function runRace(seed: number, rounds: number, change?: Change): Promise<Started> {
	const started = await start(seed, change, 3);
	await repeat(rounds, async index => {
		void started.record.propose(started.fleet.get('entry-1'), `left-${index}`);
		void started.record.propose(started.fleet.get('entry-2'), `right-${index}`);
		await started.fleet.time.advance(300 * started.fleet.random());
	});
	await started.fleet.time.advance(10_000);
	return started;
}

test('two operators race 1,000 times: each accepted change was made over the version its operator had read', async () => {
	const started = await runRace(1, 1000);
	assertRight(started);
	const accepted = started.record.proposals.filter(proposal => proposal.outcome.isOk());
	assert.is(started.record.proposals.length, 2000);
	assert.is(accepted.length, started.record.history.length);
	const read = started.fleet.get('entry-3').audit.read({since: 0, limit: 10_000});
	await started.fleet.time.advance(10_000);
	const trail = await read;
	const entries = trail._unsafeUnwrap().filter(entry => entry.action === 'change-configuration');
	assert.equal(entries.map(entry => entry.toVersion).toSorted((a, b) => a! - b!), accepted.map(proposal => proposal.outcome._unsafeUnwrap().version).toSorted((a, b) => a - b));
});

/** A store whose writes ignore the expected version. */
function createUnconditional(store: Store): Store {
	return new (class extends Store {
		override read: Store['read'] = async id => store.read(id);
		override remove: Store['remove'] = async removal => store.remove(removal);
		override list: Store['list'] = async (kind, prefix) => store.list(kind, prefix);
		override watch: Store['watch'] = (kind, listener) => store.watch(kind, listener);
		override write: Store['write'] = async write => {
			const written = await store.write(write);
			if (written.isOk() || written.error.code !== 'conflict') {
				return written;
			}

			const found = await store.read(write);
			return store.write({...write, ifVersion: found._unsafeUnwrap()?.version ?? 0});
		};
	})();
}

test('without the condition of the write, racing operators overwrite each other and are caught', async () => {
	const started = await runRace(1, 50, profile => ({...profile, wrapStore: createUnconditional}));
	assert.ok(findLostUpdates(started.record).length > 0);
});

test('lost answers and outages: an operator is never told "not run" of a change that was made', async () => {
	await eachSeed(async seed => {
		const started = await start(seed);
		started.fleet.faults.store = (_, call) => {
			const chance = started.fleet.random();
			return chance < 0.2 ? 'down' : (call === 'write' && chance < 0.5 ? 'lostAnswer' : 'none');
		};

		await repeat(40, async index => {
			void started.record.propose(started.fleet.get(started.ids[index % 5]!), `change-${index}`);
			await started.fleet.time.advance(400 * started.fleet.random());
		});
		await started.fleet.time.advance(10_000);
		assertRight(started);
	});
});

test('two regions cut from each other: after the cut every daemon has the newest version', async () => {
	await eachSeed(async seed => {
		const started = await start(seed);
		const far = new Set(['entry-3']);
		started.fleet.faults.isCut = (from, to) => far.has(from) !== far.has(to);
		started.fleet.faults.store = daemonId => (far.has(daemonId) ? 'down' : 'none');
		await propose(started, 'entry-1', 'first');
		await started.fleet.time.advance(300_000);
		started.fleet.faults.isCut = () => false;
		started.fleet.faults.store = () => 'none';
		await started.fleet.time.advance(10_000);
		assertRight(started);
		assert.is(started.fleet.get('entry-3').configuration.current().version, started.record.history.at(-1)?.version);
	});
});

function createMemorySnapshots(): Snapshots {
	const texts = new Map<string, string>();
	return {
		read: name => texts.get(name),
		write(name, text) {
			texts.set(name, text);
		},
	};
}

test('all restarted at once in an outage: the version of the one daemon with a data folder returns everywhere', async () => {
	await eachSeed(async seed => {
		const snapshots = createMemorySnapshots();
		const started = await start(seed, profile => (profile.id === 'entry-4' ? {...profile, snapshots} : profile));
		await propose(started, 'entry-1', 'first');
		await started.fleet.time.advance(8000);
		started.fleet.faults.store = () => 'down';
		await started.fleet.time.advance(60_000);
		started.ids.forEach(id => {
			started.launch(id);
		});
		await started.fleet.time.advance(IN_FORCE_MS + 4000);
		started.fleet.all().forEach(daemon => {
			assert.is(daemon.configuration.current().version, started.record.history.at(-1)?.version);
		});
	});
});

test('all restarted one after another in an outage: none serves an older version than its peers', async () => {
	await eachSeed(async seed => {
		const started = await start(seed);
		await propose(started, 'entry-1', 'first');
		await started.fleet.time.advance(8000);
		started.fleet.faults.store = () => 'down';
		await repeat(5, async index => {
			started.launch(started.ids[index]!);
			await started.fleet.time.advance(10_000);
		});
		assert.equal(findReverts(started.record), []);
		assert.equal(findLate(started.record, IN_FORCE_MS), []);
	});
});

test('a change whose daemon is killed at once is in the audit trail', async () => {
	await eachSeed(async seed => {
		const started = await start(seed);
		void started.record.propose(started.fleet.get('entry-1'), 'first');
		await started.fleet.time.advance(5);
		started.fleet.kill('entry-1');
		await started.fleet.time.advance(10_000);
		const read = started.fleet.get('entry-2').audit.read({since: 0, limit: 100});
		await started.fleet.time.advance(5000);
		const trail = await read;
		assert.equal(trail._unsafeUnwrap().map(entry => entry.actor), started.record.history.map(entry => entry.tag));
	});
});

test('without the entry in the object, the killed daemon\'s change is missing from the trail', async () => {
	const withoutSource = (audit: Audit): Audit => ({...audit, addSource: () => undefined});
	const started = await start(1, profile => ({...profile, wrapAudit: withoutSource}));
	void started.record.propose(started.fleet.get('entry-1'), 'first');
	await started.fleet.time.advance(5);
	started.fleet.kill('entry-1');
	await started.fleet.time.advance(10_000);
	const read = started.fleet.get('entry-2').audit.read({since: 0, limit: 100});
	await started.fleet.time.advance(5000);
	const trail = await read;
	assert.is(started.record.history.length, 1);
	assert.is(trail._unsafeUnwrap().length, 0);
});

test.run();
