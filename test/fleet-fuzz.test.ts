/** Random schedules of faults by seed, over whole daemons under virtual time. */
import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Random} from '../src/base/common/random.js';
import {createDaemonFleet} from './fakes/daemon-fleet.js';
import {
	createConfigurationRecord, findFalseOutcomes, findLostUpdates, findReverts,
} from './fakes/configuration-record.js';
import {createMemorySnapshots, repeat} from './fakes/fleet-scenario.js';
import {createShardEffects, findOvertakenEffects, findSharedNumbers} from './fakes/shard-effects.js';
import {createSeededRandom} from './fakes/virtual-loop.js';

const test = suite('random schedules of faults');

const SEEDS = 200 * Number(process.env.FUZZ_FACTOR ?? 1);
const FIRST_SEED = Number(process.env.FUZZ_SEED ?? 1);
const FAULTS_PER_RUN = 20;
const BROKEN_SEEDS = 20;
const SETTLE_MS = 30_000;
const SHARDS = 4;

const zones = ['attica-pireas', 'attica-marousi', 'macedonia-kalamaria', 'attica-pireas'];
const ids = zones.map((_, index) => `entry-${index + 1}`);

function createWorld(seed: number, checksFencing: boolean) {
	const fleet = createDaemonFleet(seed);
	const random: Random = createSeededRandom(seed + 1_000_000);
	const effects = createShardEffects(fleet, checksFencing);
	const record = createConfigurationRecord(fleet);
	const folder = createMemorySnapshots();
	const cuts = new Set<string>();
	const storeDown = new Set<string>();
	const events: string[] = [];
	let starts = 0;
	let lostShare = 0;
	let staleShare = 0;
	let changes = 0;

	function launch(id: string): void {
		starts += 1;
		const index = ids.indexOf(id);
		fleet.start({
			id, zone: zones[index]!, rate: 0.95 + (0.1 * random()), shards: {count: SHARDS}, ...(index === 3 && {snapshots: folder}),
		}, ids);
		effects.follow(fleet.get(id));
		record.follow(fleet.get(id), `${id} start ${starts}`);
	}

	fleet.faults.isCut = (from, to) => cuts.has(`${from} ${to}`);
	fleet.faults.isStale = () => random() < staleShare;
	fleet.faults.store = (id, call) => {
		if (storeDown.has(id)) {
			return 'down';
		}

		return call === 'write' && random() < lostShare ? 'lostAnswer' : 'none';
	};

	const actions: Readonly<Record<string, (id: string, other: string) => void>> = {
		kill(id) {
			fleet.kill(id);
		},
		restart(id) {
			launch(id);
		},
		freeze(id) {
			fleet.get(id).process.freeze();
		},
		freezeAfterLook(id) {
			effects.freezeAfterLook(id);
		},
		thaw(id) {
			fleet.get(id).process.thaw();
		},
		cut(id, other) {
			cuts.add(`${id} ${other}`);
		},
		cutBothWays(id, other) {
			cuts.add(`${id} ${other}`).add(`${other} ${id}`);
		},
		mend() {
			cuts.clear();
		},
		storeDownForOne(id) {
			storeDown.add(id);
		},
		storeDown() {
			ids.forEach(id => {
				storeDown.add(id);
			});
		},
		storeBack() {
			storeDown.clear();
		},
		loseAnswers() {
			lostShare = 0.4;
		},
		answerOldReads() {
			staleShare = 0.4;
		},
		answerWell() {
			lostShare = 0;
			staleShare = 0;
		},
		change(id) {
			changes += 1;
			void record.propose(fleet.get(id), `change-${changes}`);
		},
		leave(id) {
			fleet.get(id).membership.leave(0);
			void fleet.get(id).shards.releaseAll();
		},
	};
	const names = [...Object.keys(actions), 'change', 'change', 'restart', 'thaw', 'storeBack', 'mend'];

	function act(): void {
		const name = names[Math.floor(random() * names.length)]!;
		const id = ids[Math.floor(random() * ids.length)]!;
		const other = ids[Math.floor(random() * ids.length)]!;
		events.push(`${Math.round(fleet.time.clock.monotonic())} ${name} ${id} ${other}`);
		actions[name]!(id, other);
	}

	return {
		fleet,
		effects,
		record,
		events,
		launch,
		act,
		random,
		/** Ends all faults and starts again whatever does not run. */
		heal() {
			effects.cancelFreezes();
			cuts.clear();
			storeDown.clear();
			lostShare = 0;
			staleShare = 0;
			fleet.all().forEach(daemon => {
				const isLeaving = daemon.membership.self().state === 'leaving';
				if (daemon.process.state() === 'killed' || isLeaving) {
					launch(daemon.id);
				} else {
					daemon.process.thaw();
				}
			});
		},
	};
}

/** Runs one schedule to its end, after all faults have ended. */
async function runSchedule(seed: number, checksFencing: boolean) {
	const world = createWorld(seed, checksFencing);
	const {fleet} = world;
	ids.forEach(id => {
		world.launch(id);
	});
	await fleet.time.advance(8000);
	await repeat(FAULTS_PER_RUN, async () => {
		world.act();
		await fleet.time.advance(3000 * world.random());
	});
	world.heal();
	await fleet.time.advance(SETTLE_MS);
	return world;
}

async function run(seed: number): Promise<void> {
	const {fleet, effects, record, events} = await runSchedule(seed, true);
	const note = `seed ${seed}: ${events.join('; ')}`;
	assert.equal(findOvertakenEffects(effects.record), [], note);
	assert.equal(findSharedNumbers(effects.record), [], note);
	assert.equal(findReverts(record), [], note);
	assert.equal(findFalseOutcomes(record), [], note);
	assert.equal(findLostUpdates(record), [], note);
	const newest = record.history.at(-1)?.version ?? 0;
	assert.equal(fleet.all().map(daemon => daemon.configuration.current().version), ids.map(() => newest), note);
	const owned = Array.from({length: SHARDS}, (_, shard) =>
		fleet.all().filter(daemon => daemon.shards.holding(shard, daemon.process.clock.monotonic())).length);
	assert.equal(owned, [1, 1, 1, 1], note);
	fleet.all().forEach(daemon => {
		assert.is(daemon.membership.members().filter(member => member.state === 'alive').length, ids.length, note);
	});
}

test(`${SEEDS} schedules of ${FAULTS_PER_RUN} faults break no guarantee`, async () => {
	await repeat(SEEDS, async index => run(FIRST_SEED + index));
});

test('without the check of fencing numbers, the same schedules show overtaken orders', async () => {
	const caught = await Array.from({length: BROKEN_SEEDS}, (_, index) => index + 1).reduce(async (previous, seed) => {
		const {effects} = await runSchedule(seed, false);
		return await previous + (findOvertakenEffects(effects.record).length > 0 ? 1 : 0);
	}, Promise.resolve(0));
	console.log(`caught in ${caught} of ${BROKEN_SEEDS} schedules`);
	assert.ok(caught > 0);
});

test.run();
