import process from 'node:process';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createSeededRandom, createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import type {Vm} from '../../adapters/common/vm-list.js';
import {createDispatcher} from '../common/dispatcher.js';
import {createLoadEstimate} from '../common/load-estimate.js';
import {createPrefixIndex} from '../common/prefix-index.js';
import {defaultCostWeights} from '../common/server-cost.js';
import {createServerTable, type ServerTable} from '../common/server-table.js';

const test = suite('leaving servers');
const SEEDS = 100 * Number(process.env.FUZZ_FACTOR ?? 1);
const SERVERS = ['s1', 's2', 's3', 's4', 's5', 's6'];
const POLL_MS = 1000;
const ALLOWED_MS = 3000;
const DURATION_MS = 30_000;

/** Dispatches, and the time at which the list or the server itself first showed each server as leaving. */
type Sent = {readonly serverId: string; readonly at: number};
type ScheduleRecord = {readonly sent: Sent[]; readonly knownLeaving: Map<string, number>};

/** Runs a schedule in which servers leave at random times and the list is delayed, sometimes unavailable, and sometimes returns older states. */
async function runSchedule(seed: number, wrapTable: (table: ServerTable) => ServerTable = table => table): Promise<ScheduleRecord> {
	const random = createSeededRandom(seed);
	const {clock, loop, advance} = createVirtualTime(random);
	const now = () => clock.monotonic();
	const leavesAt = new Map(SERVERS.slice(0, 4).map(id => [id, random() * DURATION_MS / 2]));
	const isLeaving = (id: string, at: number) => at >= (leavesAt.get(id) ?? Number.POSITIVE_INFINITY);
	const record: ScheduleRecord = {sent: [], knownLeaving: new Map()};
	const recordKnown = (id: string) => {
		record.knownLeaving.set(id, Math.min(now(), record.knownLeaving.get(id) ?? Number.POSITIVE_INFINITY));
	};

	const table = wrapTable(createServerTable(() => 'near'));
	const list = (seenAt: number): readonly Vm[] => SERVERS.map(id => ({
		id, address: id, port: 1, availabilityZone: 'near', pool: 'pool', state: isLeaving(id, seenAt) ? 'leaving' : 'live',
	}));
	table.update(list(0), 0);
	const dispatcher = createDispatcher({
		table, loads: createLoadEstimate(() => 4), prefixes: createPrefixIndex(10), weights: defaultCostWeights, ownRegion: 'near', random, isReservedElsewhere: () => false,
	});
	loop.every({
		name: 'poll',
		periodMs: POLL_MS,
		run() {
			if (random() < 0.1) {
				return;
			}

			const vms = list(now() - (random() < 0.2 ? random() * 10_000 : random() * 2000));
			vms.filter(vm => vm.state === 'leaving').forEach(vm => {
				recordKnown(vm.id);
			});
			table.update(vms, now());
		},
	});
	loop.every({
		name: 'send',
		periodMs: 50,
		run() {
			const dispatched = dispatcher.dispatch({
				pool: 'pool', prefixKey: random() < 0.3 ? 'group' : undefined, prefixTokens: 100, expectedTokens: 0, expectedBytes: 0, excluded: [], allowed: undefined, alone: false,
			}, now());
			if (dispatched.isErr()) {
				return;
			}

			const {server, end} = dispatched.value;
			record.sent.push({serverId: server.id, at: now()});
			loop.after(20, at => {
				end(at, isLeaving(server.id, at) ? 'refused' : 'done');
			});
		},
	});
	await advance(DURATION_MS);
	return record;
}

function checkLeaving(record: ScheduleRecord): readonly string[] {
	return record.sent
		.filter(({serverId, at}) => at > (record.knownLeaving.get(serverId) ?? Number.POSITIVE_INFINITY) + ALLOWED_MS)
		.map(({serverId, at}) => `${serverId} got new work at ${Math.round(at)}`);
}

const seeds = Array.from({length: SEEDS}, (_, index) => index + 1);

test('leaving servers get no new work when the list is delayed, unavailable or returns older states', async () => {
	const records = await Promise.all(seeds.map(async seed => runSchedule(seed)));
	assert.equal(records.flatMap(checkLeaving), []);
	assert.ok(records.every(record => record.sent.length > 500), 'the other servers still get work');
});

test('the check fails for a table that follows only the newest list', async () => {
	const withoutHold = (table: ServerTable): ServerTable => ({
		...table,
		update(vms, now) {
			// Forgets that a server was leaving when the list shows it as live again.
			table.update(vms.filter(vm => vm.state === 'leaving'), now);
			table.update([], now);
			return table.update(vms, now);
		},
		recordRefusal: () => undefined,
	});
	const records = await Promise.all(seeds.slice(0, 20).map(async seed => runSchedule(seed, withoutHold)));
	assert.ok(records.some(record => checkLeaving(record).length > 0));
});

test.run();
