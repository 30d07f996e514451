import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {err, ok, type Result} from 'neverthrow';
import {findViolations, type CarriedOut} from '../../../test/fakes/duties-platform.js';
import {createMemoryObjects} from '../../../test/fakes/memory-objects.js';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {silentLog} from '../../kernel/common/log.js';
import {createLeaseTimes} from '../common/lease-policy.js';
import type {Permission} from '../common/exclusive-actions.js';
import {createOrderLease, type OrderLease} from '../node/order-lease.js';

const test = suite('actions that only one daemon may perform');
const LEASE_MS = 3000;
const NAMES = ['d1', 'd2', 'd3', 'd4', 'd5'];
const SEEDS = Number(process.env.FUZZ_FACTOR ?? '1') * 8;
const DAY_MS = 90_000;
const ACTIONS_AT_ONCE = 3;
const CALL_TIMEOUT_MS = 1000;
const MAXIMUM_CONNECT_MS = 900;
/** Longest way of an action to its server on a link that works. */
const WAY_MS = 60;

/** Plays a day in which all daemons try to act all the time, while partitions, kills, releases, late writes and clocks disturb them. */
async function playDay(seed: number, mechanism: 'on' | 'off' = 'on') {
	const random = createSeededRandom(seed);
	const time = createVirtualTime(random);
	const {loop, clock} = time;
	const store = createMemoryObjects(loop);
	const network = createMeshNetwork(loop);
	const cutFromServers = new Set<string>();
	const arrivals: Array<CarriedOut<undefined>> = [];
	const leases = new Map<string, OrderLease>();
	let runs = 0;
	let actions = 0;

	/** Connects, sends if the permission still lasts, and waits for the answer; the server accepts late, answers late or never at times. */
	async function send(holder: string, {fencing, isCurrent, signal}: Permission): Promise<Result<void, Failure>> {
		const origin = {step: 'order', peer: 's'};
		await loop.sleep(random() < 0.5 ? random() * MAXIMUM_CONNECT_MS : 2);
		if (mechanism === 'on' && !isCurrent()) {
			return err(createNotRun('aborted', origin, 'no longer allowed'));
		}

		const answer = new Promise<boolean>(resolve => {
			loop.after(random() * WAY_MS, () => {
				// What has not arrived when the call is given up is discarded.
				if ((mechanism === 'off' || !signal.aborted) && !cutFromServers.has(holder)) {
					arrivals.push({
						at: clock.monotonic(), holder, fencing, call: undefined,
					});
					actions += 1;
				}
			});
			loop.after(random() < 0.2 ? CALL_TIMEOUT_MS : 2 * WAY_MS, () => {
				resolve(random() < 0.9 && !cutFromServers.has(holder));
			});
			signal.addEventListener('abort', () => {
				resolve(false);
			});
		});
		return await answer ? ok(undefined) : err(createOutcomeUnknown('unavailable', origin, 'no response'));
	}

	function start(name: string): void {
		runs += 1;
		const run = `${runs}`;
		const lease = createOrderLease({
			api: store.open(name), mesh: network.join(name, run), clock, loop, random, log: silentLog, times: createLeaseTimes(LEASE_MS), reachesEngines: () => !cutFromServers.has(name), onDidTake: () => undefined, onDidLose: () => undefined,
		});
		leases.set(name, lease);
		Array.from({length: ACTIONS_AT_ONCE}, () => loop.every({
			name: 'act', periodMs: 80, async run() {
				if (leases.get(name) === lease) {
					await lease.act(async permission => send(name, permission));
				}
			},
		}));
	}

	function toggle(set: Set<string>, name: string): void {
		if (!set.delete(name)) {
			set.add(name);
		}
	}

	NAMES.forEach(start);
	const holder = () => NAMES.find(name => leases.get(name)?.fencing(clock.monotonic()) !== undefined);
	const faults: ReadonlyArray<(name: string) => void | Promise<void>> = [
		name => {
			toggle(store.partitioned, name);
		},
		name => {
			toggle(network.refusing, name);
		},
		name => {
			toggle(network.unresponsive, name);
		},
		name => {
			toggle(cutFromServers, name);
		},
		name => {
			store.delayNextWrite.set(name, random() * 4000);
		},
		name => {
			store.loseNextWrite.add(name);
		},
		name => {
			network.kill(name);
			leases.get(name)?.dispose();
			leases.delete(name);
			loop.after(random() * 2000, () => {
				start(name);
			});
		},
		async name => {
			const lease = leases.get(name);
			await lease?.release();
			lease?.dispose();
			if (leases.get(name) === lease && lease !== undefined) {
				network.kill(name);
				start(name);
			}
		},
	];
	loop.every({
		name: 'faults', periodMs: 1500, async run() {
			const name = random() < 0.6 ? holder() : undefined;
			await faults[Math.floor(random() * faults.length)]!(name ?? NAMES[Math.floor(random() * NAMES.length)]!);
			// Faults end at times all at once, so that somebody can act.
			if (random() < 0.4) {
				[store.partitioned, network.refusing, network.unresponsive, cutFromServers].forEach(set => {
					set.clear();
				});
			}
		},
	});
	await time.advance(DAY_MS);
	return {violations: findViolations(arrivals, LEASE_MS), actions, holders: new Set(arrivals.map(arrival => arrival.holder)).size};
}

// Guards against review/6 and its class: partitions, releases, restarts and late writes let two daemons order the same servers.
Array.from({length: SEEDS}, (_, index) => index + 1).forEach(seed => {
	test(`actions reach servers from one holder at a time, seed ${seed}`, async () => {
		const {violations, actions, holders} = await playDay(seed);
		assert.equal(violations.slice(0, 5), []);
		assert.ok(actions > 50 && holders > 2, `${actions} actions of ${holders} holders`);
	});
});

test('days on which actions outlast the term break the order', async () => {
	const days = await Promise.all(Array.from({length: 8}, async (_, index) => playDay(index + 1, 'off')));
	assert.ok(days.filter(({violations}) => violations.length > 0).length >= 2, JSON.stringify(days));
});

test.run();
