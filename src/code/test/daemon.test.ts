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

function createDrainContribution(drain: () => Promise<void>, events: string[] = []): Contribution {
	return {
		id: 'draining',
		requires: [],
		start: () => ({
			drain,
			dispose() {
				events.push('disposed');
			},
		}),
	};
}

const surroundings = {log: silentLog};

async function start(settings: Settings, contributions: readonly Contribution[]) {
	return startDaemon({settings, contributions, surroundings});
}

const drainForever = async () => {
	await once(new EventTarget(), 'never');
};

test('stop resolves with true when the drain finishes in time, for every caller, and drains and disposes once', async () => {
	const settings = await createSettings(1000);
	const events: string[] = [];
	const drain = async () => {
		events.push('drained');
	};

	const started = await start(settings, [createDrainContribution(drain, events)]);
	const daemon = started._unsafeUnwrap();
	const outcomes = await Promise.all([daemon.stop(), daemon.stop()]);
	assert.equal(outcomes, [true, true]);
	assert.equal(events, ['drained', 'disposed']);
});

test('stop resolves with false and still disposes when a drain does not end within drainMs', async () => {
	const settings = await createSettings(20);
	const events: string[] = [];
	const started = await start(settings, [createDrainContribution(drainForever, events)]);
	const daemon = started._unsafeUnwrap();
	assert.is(await daemon.stop(), false);
	assert.equal(events, ['disposed']);
});

test('stopRequested resolves with the reason of the first stop request', async () => {
	const settings = await createSettings(20);
	const started = await start(settings, []);
	const daemon = started._unsafeUnwrap();
	daemon.use(lifecycleKey).requestStop('drain route');
	daemon.use(lifecycleKey).requestStop('again');
	assert.is(await daemon.stopRequested, 'drain route');
	await daemon.stop();
});

test('fails to start when the peer port is in use, with the step and the cause in the failure', async () => {
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
