import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {createMeshNetwork} from '../../../test/fakes/mesh-network.js';
import {createVirtualTime} from '../../../test/fakes/virtual-loop.js';
import {silentLog} from '../../kernel/common/log.js';
import {silentMetrics} from '../../kernel/common/metrics.js';
import type {PeerMesh} from '../../peers/common/peer-mesh.js';
import {createServerLimits} from '../common/server-limits.js';
import {createServerPermits} from '../node/server-permits.js';

const test = suite('permits that daemons obtain from each other');
const PER_SECOND = 4;

function createWorld() {
	const time = createVirtualTime();
	const {clock, loop} = time;
	const network = createMeshNetwork(loop);

	/** Starts a daemon that knows the limit of server `s`. `change` replaces functions of its mesh. */
	function start(name: string, change: (mesh: PeerMesh) => PeerMesh = mesh => mesh) {
		const limits = createServerLimits();
		limits.recordResponse({
			serverId: 's', startedAt: 1, perSecond: PER_SECOND, sentAt: clock.monotonic(),
		}, clock.monotonic());
		const permits = createServerPermits({
			limits, mesh: change(network.join(name)), clock, loop, log: silentLog, metrics: silentMetrics, describeServer: () => ({startedAt: 1, region: 'r'}),
		});
		return {limits, permits};
	}

	/** Counts the permits that daemons with more demand than the limit get in a time. */
	async function countPermits(daemons: ReadonlyArray<ReturnType<typeof start>>, durationMs: number): Promise<number> {
		let granted = 0;
		const tasks = daemons.map(({permits}) => loop.every({
			name: 'demand',
			periodMs: 50,
			run() {
				void permits.obtain('s', {urgency: 'caller', waitedMs: 0, patienceMs: 400}).then(decision => {
					granted += decision.isGranted ? 1 : 0;
				});
			},
		}));
		await time.advance(durationMs);
		tasks.forEach(task => {
			task.dispose();
		});
		return granted;
	}

	return {
		time, network, start, countPermits,
	};
}

/** Makes a daemon know the others only as seeds, as it does until it has read the directory. */
const withoutDirectory = (mesh: PeerMesh): PeerMesh => ({
	...mesh, others: () => mesh.others().map(daemon => ({
		...daemon, name: `seed ${daemon.ip}`, incarnation: '', region: '',
	})),
});

test('daemons together get what the limit allows', async () => {
	const world = createWorld();
	const granted = await world.countPermits(['a', 'b', 'c'].map(name => world.start(name)), 10_000);
	assert.ok(granted >= 9 * PER_SECOND && granted <= (10 * PER_SECOND) + 4, `${granted} permits in 10 s`);
});

test('a daemon without a directory gets its permits through a seed, as part of the same limit', async () => {
	const world = createWorld();
	const daemons = [world.start('a'), world.start('b'), world.start('c', withoutDirectory)];
	await world.time.advance(500);
	const before = await world.countPermits([daemons[2]!], 5000);
	assert.ok(before >= 4 * PER_SECOND, `${before} permits in 5 s`);
	const granted = await world.countPermits(daemons, 10_000);
	assert.ok(granted <= (10 * PER_SECOND) + 4, `${granted} permits in 10 s`);
});

test('a daemon that reaches no seed takes a quarter of the limit', async () => {
	const world = createWorld();
	const daemons = [world.start('a'), world.start('b', withoutDirectory)];
	world.network.unresponsive.add('b');
	const granted = await world.countPermits([daemons[1]!], 12_000);
	assert.ok(granted > 0 && granted <= (12 * PER_SECOND / 4) + 2, `${granted} permits in 12 s`);
});

test('requests that wait for a permit go on at once when the limit ends', async () => {
	const world = createWorld();
	const {limits, permits} = world.start('a');
	const decisions: boolean[] = [];
	Array.from({length: 4}).forEach(() => {
		void permits.obtain('s', {urgency: 'background', waitedMs: 0, patienceMs: 2000}).then(decision => {
			decisions.push(decision.isGranted);
		});
	});
	await world.time.advance(100);
	limits.recordResponse({
		serverId: 's', startedAt: 1, perSecond: undefined, sentAt: 90,
	}, 100);
	await world.time.advance(1);
	assert.equal(decisions, Array.from({length: 4}, () => true));
	permits.dispose();
});

test.run();
