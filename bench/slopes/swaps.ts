/** New weights on many engines over sockets: how long until all serve them, and what an engine costs the pool's owner. */
import {setTimeout as sleep} from 'node:timers/promises';
import {joinDisposables} from '../../src/base/common/disposable.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon, type Daemon} from '../../src/code/node/daemon.js';
import {
	availabilityZones, demoLists, enginePool, loopback, model, operatorKey, trainer, trainerKey,
} from '../../src/code/node/demo/world.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {hashToHex} from '../../src/base/common/hash.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {createHttpClient} from '../../src/adapters/node/http-client.js';
import {checkSettings} from '../../src/settings/common/check.js';
import {createEngineStandin} from '../../src/standins/node/engine-standin.js';
import type {Listening, Standin} from '../../src/standins/node/standin-server.js';
import {createStoreStandin} from '../../src/standins/node/store-standin.js';
import {createVmListStandin} from '../../src/standins/node/vm-list-standin.js';
import {createWeightStoreStandin} from '../../src/standins/node/weight-store-standin.js';
import {measureCpuUs} from './measure.js';

/** How a spread of new weights went. */
export type SwapCost = {
	/** Time from the trainer's call until every engine shows the version. */
	readonly spreadMs: number;
	/** Fewest engines on a confirmed version at once, as a share of the pool. */
	readonly leastUsable: number;
	/** Processor time per engine, engines and weight store included. */
	readonly cpuUsPerEngine: number;
};

const FETCH_MS = 1500;
const LOAD_MS = 1500;
const POLL_MS = 100;
const SETTLE_MS = 12_000;
const LIMIT_MS = 60_000;
const SLOTS = 16;

async function listen(standin: Standin): Promise<Listening> {
	return standin.listen({address: loopback, port: 0});
}

function urlOf({address, port}: Listening): string {
	return `http://${address}:${port}`;
}

async function startPlatform(engines: number, entryPort: number) {
	const store = await listen(createStoreStandin());
	const weightStore = await listen(createWeightStoreStandin({models: {[model]: 1}, concurrentFetches: engines, fetchMs: FETCH_MS}));
	const standins = Array.from({length: engines}, (_, index) => createEngineStandin({
		id: `engine-${index}`, models: {[model]: 1}, fencing: 'checked', slots: SLOTS, tokenMs: 4, chunkTokens: 4, loadMs: LOAD_MS, weightStoreUrl: urlOf(weightStore),
	}));
	const listening = await Promise.all(standins.map(async standin => listen(standin)));
	const vmList = await listen(createVmListStandin({
		vms: [
			{
				id: 'entry-1', address: loopback, port: entryPort, availabilityZone: 'zone-a', state: 'live', pool: 'entry',
			},
			...listening.map(({address, port}, index) => ({
				id: `engine-${index}`, address, port, availabilityZone: 'zone-a', state: 'live' as const, pool: enginePool,
			})),
		],
	}));
	return {
		store, weightStore, vmList, disposable: joinDisposables([store, weightStore, vmList, ...listening]),
	};
}

type Platform = Awaited<ReturnType<typeof startPlatform>>;

async function startOne(platform: Platform, callerPort: number, peerPort: number, concurrentLoads: number): Promise<Daemon> {
	const settings = checkSettings({
		daemon: {
			id: 'entry-1', address: loopback, callerPort, peerPort, availabilityZone: 'zone-a',
		},
		availabilityZones,
		store: {url: urlOf(platform.store)},
		vmList: {url: urlOf(platform.vmList)},
		weightStore: {url: urlOf(platform.weightStore)},
		pools: [{
			name: enginePool, kind: 'engine', models: [model], fencing: 'checked', slots: SLOTS,
		}],
		trainers: [{
			name: trainer, pool: enginePool, model, stalenessBound: 1,
		}],
		operatorKeys: [hashToHex(operatorKey)],
		weights: {concurrentLoads},
		requests: {drainMs: 2000},
	})._unsafeUnwrap();
	const started = await startDaemon({settings, contributions: listFeatures(), surroundings: {log: silentLog}});
	return started._unsafeUnwrap();
}

/** Reads how many engines show a version at least as new, and how many are usable. */
async function readEngines(url: string, version: number) {
	const status = await createOperatorClient({daemon: url, key: operatorKey}).readStatus();
	const text = JSON.stringify(status._unsafeUnwrap());
	const shown = [...text.matchAll(/"version":(?<version>\d+),"usable":(?<usable>true|false)/g)].map(found => ({
		version: Number(found.groups?.version), isUsable: found.groups?.usable === 'true',
	}));
	return {
		onVersion: shown.filter(engine => engine.isUsable && engine.version >= version).length,
		usable: shown.filter(engine => engine.isUsable).length,
	};
}

/** Measures a pool of engines whose loads may all the wave's share take at once. */
export async function measureSwaps(engines: number): Promise<SwapCost> {
	const [callerPort = 0, peerPort = 0] = await findFreePorts(loopback, 2);
	const platform = await startPlatform(engines, peerPort);
	const daemon = await startOne(platform, callerPort, peerPort, engines);
	const url = `http://${loopback}:${callerPort}`;
	const written = await createOperatorClient({daemon: url, key: operatorKey}).writeLists({
		operator: 'bench', ifVersion: 0, lists: {...demoLists, grants: demoLists.grants.filter(grant => grant.pool === enginePool)},
	});
	written._unsafeUnwrap();
	await sleep(SETTLE_MS);
	const http = createHttpClient(urlOf(platform.weightStore));
	await http.call({step: 'store weights', method: 'PUT', path: `/models/${model}/versions/2`});
	const startedAt = performance.now();
	const elapsed = () => performance.now() - startedAt;
	const published = await createHttpClient(url).call({
		step: 'publish', method: 'POST', path: `/v1/trainers/${trainer}/weights`, headers: {authorization: `Bearer ${trainerKey}`}, body: '{"version":2}',
	});
	published._unsafeUnwrap();
	let least = engines;
	let done = false;
	const cpuUs = await measureCpuUs(async () => {
		while (!done && elapsed() < LIMIT_MS) {
			await sleep(POLL_MS);
			const shown = await readEngines(url, 2);
			least = Math.min(least, shown.usable);
			done = shown.onVersion === engines;
		}
	});
	const spreadMs = done ? elapsed() : Number.POSITIVE_INFINITY;
	await daemon.stop();
	platform.disposable.dispose();
	return {spreadMs, leastUsable: least / engines, cpuUsPerEngine: cpuUs / engines};
}
