import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Audit} from '../src/audit/common/audit.js';
import type {Store} from '../src/adapters/common/store.js';
import {wrapStore} from '../src/adapters/common/wrapped-store.js';
import {createConfigurationHolder, type ConfigurationHolder} from '../src/plans/common/configuration-holder.js';
import {
	findFalseOutcomes, findLate, findLostUpdates, findReverts,
} from './fakes/configuration-record.js';
import {
	assertRight, IN_FORCE_MS, propose, start, type Change, type Started,
} from './fakes/configuration-scenario.js';
import {
	eachSeed, repeat, withoutDoubt, withoutRumors,
} from './fakes/fleet-scenario.js';

const test = suite('configuration faults');

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

test('without the condition of the write, racing operators overwrite each other and are caught', async () => {
	const started = await runRace(1, 50, profile => ({...profile, wrapStore: createUnconditional}));
	assert.ok(findLostUpdates(started.record).length > 0);
});

async function runLostAnswers(seed: number, change?: Change): Promise<Started> {
	const started = await start(seed, change);
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

test('lost answers and outages: an operator is never told "not run" of a change that was made', async () => {
	await eachSeed(async seed => {
		assertRight(await runLostAnswers(seed));
	});
});

test('without the doubt about lost answers, a false "not run" is told and caught', async () => {
	await eachSeed(async seed => {
		const started = await runLostAnswers(seed, profile => ({...profile, wrapStore: withoutDoubt}));
		assert.ok(findFalseOutcomes(started.record).length > 0);
	});
});

/** Kills a daemon right after a change was proposed to it, and reads the audit trail through another one. */
async function runChangeAndKill(seed: number, change?: Change) {
	const started = await start(seed, change);
	void started.record.propose(started.fleet.get('entry-1'), 'first');
	await started.fleet.time.advance(5);
	started.fleet.kill('entry-1');
	await started.fleet.time.advance(10_000);
	const read = started.fleet.get('entry-2').audit.read({since: 0, limit: 100});
	await started.fleet.time.advance(5000);
	const trail = await read;
	return {history: started.record.history.map(entry => entry.tag), actors: trail._unsafeUnwrap().map(entry => entry.actor)};
}

test('a change whose daemon is killed at once is in the audit trail', async () => {
	await eachSeed(async seed => {
		const {history, actors} = await runChangeAndKill(seed);
		assert.equal(actors, history);
	});
});

test('without the entry in the object, the killed daemon\'s change is missing from the trail', async () => {
	const withoutSource = (audit: Audit): Audit => ({...audit, addSource: () => undefined});
	const {history, actors} = await runChangeAndKill(1, profile => ({...profile, wrapAudit: withoutSource}));
	assert.is(history.length, 1);
	assert.is(actors.length, 0);
});

test.run();
