import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Audit} from '../src/audit/common/audit.js';
import type {Store} from '../src/adapters/common/store.js';
import {wrapStore} from '../src/adapters/common/wrapped-store.js';
import {createConfigurationHolder, type ConfigurationHolder} from '../src/plans/common/configuration-holder.js';
import {
	findFalseOutcomes, findOutdatedVersions, findLostUpdates, findReverts,
} from './fakes/configuration-record.js';
import {
	assertConsistent, IN_FORCE_MS, propose, startScenario, type ProfileChange, type RunningScenario,
} from './fakes/configuration-scenario.js';
import {
	forEachSeed, repeat, withoutUnknownOutcomes, withoutRumors,
} from './fakes/fleet-scenario.js';

const test = suite('configuration faults');

/** Creates a holder that accepts every version that differs from its current one, also an older one. */
function createUncheckedHolder(): ConfigurationHolder {
	let holder = createConfigurationHolder();
	const listeners: Array<Parameters<ConfigurationHolder['onDidChange']>[0]> = [];
	return {
		current: () => holder.current(),
		offer(version, value) {
			if (version === holder.current().version) {
				return 'notNewer';
			}

			holder = createConfigurationHolder();
			const outcome = holder.offer(version, value);
			listeners.forEach(notify => {
				notify(holder.current());
			});
			return outcome;
		},
		onDidChange(listener) {
			listeners.push(listener);
			return {dispose: () => undefined};
		},
		authenticate: key => holder.authenticate(key),
		grant: (plan, pool) => holder.grant(plan, pool),
	};
}

async function runStaleReads(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	await propose(started, 'entry-1', 'first');
	await started.fleet.time.advance(8000);
	started.fleet.faults.isStale = () => started.fleet.random() < 0.5;
	await repeat(5, async index => {
		await propose(started, started.ids[index]!, `change-${index}`);
		await started.fleet.time.advance(5000);
	});
	return started;
}

test('stale reads of the store do not revert the configuration of a daemon', async () => {
	await forEachSeed(async seed => {
		const started = await runStaleReads(seed);
		assertConsistent(started);
		assert.equal(findOutdatedVersions(started.record, IN_FORCE_MS), []);
	});
});

test('without the comparison of versions, the check finds daemons that stale reads revert', async () => {
	await forEachSeed(async seed => {
		const started = await runStaleReads(seed, profile => ({...profile, configuration: {createHolder: createUncheckedHolder}}));
		assert.ok(findReverts(started.record).length > 0);
	});
});

async function runProposerKilled(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	started.fleet.faults.isWatching = () => false;
	await propose(started, 'entry-1', 'first');
	started.fleet.faults.store = () => 'down';
	await started.fleet.time.advance(500);
	started.fleet.kill('entry-1');
	await started.fleet.time.advance(15_000);
	return started;
}

test('a change is in force within 6 s when no watch reports it, the store is down right afterwards and its daemon is killed', async () => {
	await forEachSeed(async seed => {
		const started = await runProposerKilled(seed);
		assertConsistent(started);
		assert.ok(started.record.proposals[0]?.outcome.isOk());
		assert.equal(findOutdatedVersions(started.record, IN_FORCE_MS).filter(observation => observation.daemonId !== 'entry-1'), []);
	});
});

test('without rumors of versions, the check finds that such a change is late', async () => {
	await forEachSeed(async seed => {
		const started = await runProposerKilled(seed, profile => ({...profile, wrapMembership: withoutRumors}));
		assert.ok(findOutdatedVersions(started.record, IN_FORCE_MS).length > 0);
	});
});

async function runConcurrentProposals(seed: number, rounds: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change, 3);
	await repeat(rounds, async index => {
		void started.record.propose(started.fleet.get('entry-1'), `left-${index}`);
		void started.record.propose(started.fleet.get('entry-2'), `right-${index}`);
		await started.fleet.time.advance(300 * started.fleet.random());
	});
	await started.fleet.time.advance(10_000);
	return started;
}

test('two operators propose concurrently 1,000 times: each accepted change was written over the version that its operator had read', async () => {
	const started = await runConcurrentProposals(1, 1000);
	assertConsistent(started);
	const accepted = started.record.proposals.filter(proposal => proposal.outcome.isOk());
	assert.is(started.record.proposals.length, 2000);
	assert.is(accepted.length, started.record.history.length);
	const read = started.fleet.get('entry-3').audit.read({since: 0, limit: 10_000});
	await started.fleet.time.advance(10_000);
	const trail = await read;
	const entries = trail._unsafeUnwrap().filter(entry => entry.action === 'change-configuration');
	assert.equal(entries.map(entry => entry.toVersion).toSorted((a, b) => a! - b!), accepted.map(proposal => proposal.outcome._unsafeUnwrap().version).toSorted((a, b) => a - b));
});

/** Wraps a store so that its writes ignore the expected version. */
function withoutWriteCondition(store: Store): Store {
	const write: Store['write'] = async wanted => {
		const written = await store.write(wanted);
		if (written.isOk() || written.error.code !== 'conflict') {
			return written;
		}

		const found = await store.read(wanted);
		return store.write({...wanted, ifVersion: found._unsafeUnwrap()?.version ?? 0});
	};

	return Object.assign(wrapStore(store, async (_call, _id, action) => action()), {write});
}

test('with unconditional writes, the check finds concurrent changes that overwrite each other', async () => {
	const started = await runConcurrentProposals(1, 50, profile => ({...profile, wrapStore: withoutWriteCondition}));
	assert.ok(findLostUpdates(started.record).length > 0);
});

async function runLostAnswers(seed: number, change?: ProfileChange): Promise<RunningScenario> {
	const started = await startScenario(seed, change);
	started.fleet.faults.store = (_, call) => {
		const chance = started.fleet.random();
		return chance < 0.2 ? 'down' : (call === 'write' && chance < 0.5 ? 'lostAnswer' : 'none');
	};

	await repeat(40, async index => {
		void started.record.propose(started.fleet.get(started.ids[index % 5]!), `change-${index}`);
		await started.fleet.time.advance(400 * started.fleet.random());
	});
	await started.fleet.time.advance(10_000);
	return started;
}

test('with lost answers and outages, no operator gets the outcome notRun for a change that was written', async () => {
	await forEachSeed(async seed => {
		assertConsistent(await runLostAnswers(seed));
	});
});

test('when a lost answer counts as notRun, the check finds the false outcome', async () => {
	await forEachSeed(async seed => {
		const started = await runLostAnswers(seed, profile => ({...profile, wrapStore: withoutUnknownOutcomes}));
		assert.ok(findFalseOutcomes(started.record).length > 0);
	});
});

/** Kills a daemon 5 ms after a change was proposed to it, and reads the audit trail through another daemon. */
async function runChangeAndKill(seed: number, change?: ProfileChange) {
	const started = await startScenario(seed, change);
	void started.record.propose(started.fleet.get('entry-1'), 'first');
	await started.fleet.time.advance(5);
	started.fleet.kill('entry-1');
	await started.fleet.time.advance(10_000);
	const read = started.fleet.get('entry-2').audit.read({since: 0, limit: 100});
	await started.fleet.time.advance(5000);
	const trail = await read;
	return {history: started.record.history.map(entry => entry.tag), actors: trail._unsafeUnwrap().map(entry => entry.actor)};
}

test('a change is in the audit trail when its daemon is killed right after writing it', async () => {
	await forEachSeed(async seed => {
		const {history, actors} = await runChangeAndKill(seed);
		assert.equal(actors, history);
	});
});

test('without the audit entry in the configuration object, the change of the killed daemon is missing from the audit trail', async () => {
	const withoutSource = (audit: Audit): Audit => ({...audit, addSource: () => undefined});
	const {history, actors} = await runChangeAndKill(1, profile => ({...profile, wrapAudit: withoutSource}));
	assert.is(history.length, 1);
	assert.is(actors.length, 0);
});

test.run();
