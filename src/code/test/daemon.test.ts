import {createServer} from 'node:net';
import {once} from 'node:events';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import type {Contribution} from '../../kernel/common/contribution.js';
import {lifecycleKey} from '../../kernel/common/lifecycle.js';
import {silentLog} from '../../kernel/common/log.js';
import {checkSettings} from '../../settings/common/check.js';
import type {Settings} from '../../settings/common/settings.js';
import {startDaemon} from '../node/daemon.js';
import {findFreePorts} from '../../base/node/free-ports.js';
import '../../peers/peers.contribution.js';
import {listContributions} from '../../kernel/common/registry.js';

const test = suite('daemon');

async function createSettings(drainMs: number) {
	const [callerPort, peerPort] = await findFreePorts('127.0.0.1', 2);
	return checkSettings({
		daemon: {
			id: 'entry-1', address: '127.0.0.1', callerPort, peerPort, availabilityZone: 'konya-a',
		},
		availabilityZones: [{name: 'konya-a', region: 'ic-anadolu'}],
		store: {url: 'http://127.0.0.1:1'},
		vmList: {url: 'http://127.0.0.1:1'},
		pools: [],
		requests: {drainMs},
	})._unsafeUnwrap();
}

function createDraining(drain: () => Promise<void>, notes: string[] = []): Contribution {
	return {
		id: 'draining',
		requires: [],
		start: () => ({
			drain,
			dispose() {
				notes.push('disposed');
			},
		}),
	};
}

const surroundings = {log: silentLog};

async function start(settings: Settings, contributions: readonly Contribution[]) {
	return startDaemon({settings, contributions, surroundings});
}

const endless = async () => {
	await once(new EventTarget(), 'never');
};

test('says that the drain was whole, also to later callers', async () => {
	const settings = await createSettings(1000);
	const notes: string[] = [];
	const drain = async () => {
		notes.push('drained');
	};

	const started = await start(settings, [createDraining(drain, notes)]);
	const daemon = started._unsafeUnwrap();
	const outcomes = await Promise.all([daemon.stop(), daemon.stop()]);
	assert.equal(outcomes, [true, true]);
	assert.equal(notes, ['drained', 'disposed']);
});

test('cuts off a drain that does not end', async () => {
	const settings = await createSettings(20);
	const notes: string[] = [];
	const started = await start(settings, [createDraining(endless, notes)]);
	const daemon = started._unsafeUnwrap();
	assert.is(await daemon.stop(), false);
	assert.equal(notes, ['disposed']);
});

test('hands a request to stop on to the outermost layer', async () => {
	const settings = await createSettings(20);
	const started = await start(settings, []);
	const daemon = started._unsafeUnwrap();
	daemon.use(lifecycleKey).requestStop('drain route');
	daemon.use(lifecycleKey).requestStop('again');
	assert.is(await daemon.stopRequested, 'drain route');
	await daemon.stop();
});

test('fails to start when the peer port is taken, and names step and peer', async () => {
	const settings = await createSettings(20);
	const taken = createServer().listen(settings.daemon.peerPort, '127.0.0.1');
	await once(taken, 'listening');
	const contributions = listContributions().filter(contribution => contribution.id === 'peers');
	const started = await start(settings, contributions);
	taken.close();
	const failure = started._unsafeUnwrapErr();
	assert.is(failure.step, 'open contribution');
	assert.match(failure.message, /listen for peers .*EADDRINUSE/);
});

test.run();
