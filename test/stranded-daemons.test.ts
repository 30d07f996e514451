import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {STABLE_MS} from './checkers/crash-checker.js';
import {createCrashingFleet, type CrashingFleet, type LinkFault} from './fakes/crashing-fleet.js';

const test = suite('daemons cut off from all servers');
/** Share of the requests at cut daemons that must be served, from `STABLE_MS` after the cut. */
const SERVED_SHARE = 0.95;
const CUT_MS = 12_000;
const SEND_PERIOD_MS = 20;

type Load = {
	readonly kind?: 'plain' | 'once' | 'stream';
	readonly meanwhile?: (atMs: number) => void;
};

/** Cuts daemons off from all servers, sends requests at random daemons, and ends two seconds after the links are back. */
async function playCut(fleet: CrashingFleet, cut: readonly string[], fault: LinkFault, {kind = 'plain', meanwhile}: Load = {}): Promise<number> {
	await fleet.time.advance(1000);
	const cutAt = fleet.time.clock.monotonic();
	fleet.cutFromServers(cut, CUT_MS, fault);
	await Array.from({length: (CUT_MS + 2000) / SEND_PERIOD_MS}).reduce<Promise<void>>(async (previous, _, index) => {
		await previous;
		void fleet.send(`request ${index}`, undefined, kind);
		meanwhile?.(index * SEND_PERIOD_MS);
		await fleet.time.advance(SEND_PERIOD_MS);
	}, Promise.resolve());
	await fleet.time.advance(3000);
	return cutAt;
}

function servedShare(fleet: CrashingFleet, daemons: readonly string[], cutAt: number): number {
	const sent = fleet.answers.filter(answer => daemons.includes(answer.daemon) && answer.sentAt >= cutAt + STABLE_MS && answer.sentAt < cutAt + CUT_MS);
	assert.ok(sent.length > 20, `${sent.length} requests`);
	return sent.filter(answer => answer.result.isOk()).length / sent.length;
}

const cuts: ReadonlyArray<readonly [string, number, LinkFault]> = [
	['most daemons, by links that hang', 6, 'hangs'],
	['most daemons, by links that refuse', 6, 'refuses'],
	['all daemons but one, by links that hang', 8, 'hangs'],
];

// Incident docs/incidents/stranded-daemons.md: a daemon that had lost its links to the servers failed its callers, although other daemons reached the servers.
cuts.forEach(([name, count, fault]) => {
	test(`callers of daemons that are cut off from all servers are served like others: ${name}`, async () => {
		const fleet = createCrashingFleet({daemons: 9, servers: 6, seed: 1});
		const cut = fleet.names.slice(0, count);
		const cutAt = await playCut(fleet, cut, fault);
		assert.ok(servedShare(fleet, cut, cutAt) >= SERVED_SHARE, `${servedShare(fleet, cut, cutAt)} served`);
		assert.ok(servedShare(fleet, fleet.names.slice(count), cutAt) >= SERVED_SHARE);
		const late = fleet.answers.filter(answer => answer.sentAt >= cutAt + STABLE_MS && answer.answeredAt - answer.sentAt > 400);
		assert.ok(late.length < 10, `${late.length} requests took longer than their goal`);
	});
});

test('streams are served over other daemons as well', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 6, seed: 2});
	const cut = fleet.names.slice(0, 6);
	const cutAt = await playCut(fleet, cut, 'hangs', {kind: 'stream'});
	assert.ok(servedShare(fleet, cut, cutAt) >= SERVED_SHARE);
});

test('a request that must not be repeated runs once at most, while helpers end and start', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 6, seed: 3});
	const cut = fleet.names.slice(0, 5);
	const cutAt = await playCut(fleet, cut, 'refuses', {
		kind: 'once',
		meanwhile(atMs) {
			if (atMs % 1000 === 0) {
				fleet.restart([fleet.names[5 + ((atMs / 1000) % 4)]!], 500);
			}
		},
	});
	const runs = fleet.arrivals.map(({requestId}) => requestId);
	assert.is(new Set(runs).size, runs.length, 'no request arrives twice');
	const failed = new Set(fleet.answers.filter(answer => answer.result.isErr() && answer.result.error.effect === 'notRun').map(answer => answer.content));
	assert.not(fleet.arrivals.some(({content}) => failed.has(content)), 'a request that was refused has not run');
	assert.ok(servedShare(fleet, cut, cutAt) >= 0.9);
});

test('links are used again within half a second of their return, and do not flap', async () => {
	const fleet = createCrashingFleet({daemons: 9, servers: 6, seed: 4});
	const cut = fleet.names.slice(0, 6);
	const cutAt = await playCut(fleet, cut, 'hangs');
	cut.forEach(name => {
		const changes = fleet.linkChanges.filter(({daemon}) => daemon === name);
		assert.equal(changes.map(({isCut}) => isCut), [true, false]);
		assert.ok(changes[0]!.at < cutAt + 2000 && changes[1]!.at < cutAt + CUT_MS + 600);
	});
	assert.is(fleet.linkChanges.filter(({daemon}) => !cut.includes(daemon)).length, 0);
	assert.is(fleet.relayCalls.filter(({at}) => at > cutAt + CUT_MS + 600).length, 0);
});

test('beside daemons without relays, the others are served, and no daemon gets worse', async () => {
	const isNew = (name: string) => Number(name.slice(1)) % 2 === 0;
	const fleet = createCrashingFleet({
		daemons: 10, servers: 6, seed: 5, relays: isNew,
	});
	const cut = fleet.names.slice(0, 6);
	const cutAt = await playCut(fleet, cut, 'refuses');
	assert.ok(servedShare(fleet, cut.filter(isNew), cutAt) >= SERVED_SHARE);
	assert.ok(servedShare(fleet, fleet.names.slice(6), cutAt) >= SERVED_SHARE);
});

test('a request is refused at once while no daemon reaches a server', async () => {
	const fleet = createCrashingFleet({daemons: 5, servers: 6, seed: 6});
	const cutAt = await playCut(fleet, fleet.names, 'hangs');
	const answers = fleet.answers.filter(answer => answer.sentAt >= cutAt + STABLE_MS && answer.sentAt < cutAt + CUT_MS - 100);
	assert.ok(answers.every(answer => answer.result.isErr() && answer.result.error.effect === 'notRun' && answer.answeredAt - answer.sentAt < 100));
	const after = fleet.answers.filter(answer => answer.sentAt >= cutAt + CUT_MS + 600);
	assert.ok(after.every(answer => answer.result.isOk()));
});

test('360 daemons share the requests of those that are cut, at few calls a request', async () => {
	const fleet = createCrashingFleet({daemons: 360, servers: 40, seed: 7});
	const cut = fleet.names.slice(0, 216);
	const cutAt = await playCut(fleet, cut, 'hangs');
	assert.ok(servedShare(fleet, cut, cutAt) >= SERVED_SHARE);
	const requests = fleet.answers.filter(answer => cut.includes(answer.daemon)).length;
	assert.ok(fleet.relayCalls.length < 4 * requests, `${fleet.relayCalls.length} calls for ${requests} requests`);
});

test('without relays, the check finds daemons that fail their callers', async () => {
	const fleet = createCrashingFleet({
		daemons: 9, servers: 6, seed: 1, relays: () => false,
	});
	const cut = fleet.names.slice(0, 6);
	const cutAt = await playCut(fleet, cut, 'hangs');
	assert.ok(servedShare(fleet, cut, cutAt) < 0.5);
});

test.run();
