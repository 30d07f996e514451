/** Rollout of new weights to many engines over sockets: the time until all serve them, and the processor time per engine. */
import {setTimeout as sleep} from 'node:timers/promises';
import {joinDisposables} from '../../src/base/common/disposable.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon, type Daemon} from '../../src/code/node/daemon.js';
import {
	availabilityZones, demoLists, enginePool, loopback, model, operatorKey, trainer, trainerKey,
} from '../../src/code/node/demo/deployment.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {hashToHex} from '../../src/base/common/hash.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {createHttpClient} from '../../src/adapters/node/http-client.js';
import {checkSettings} from '../../src/settings/common/check.js';
import {createEngineStandin} from '../../src/standins/node/engine-standin.js';
import type {ListeningStandin, Standin} from '../../src/standins/node/standin-server.js';
import {createStoreStandin} from '../../src/standins/node/store-standin.js';
import {createVmListStandin} from '../../src/standins/node/vm-list-standin.js';
import {createWeightStoreStandin} from '../../src/standins/node/weight-store-standin.js';
import {measureCpuUs} from './measure.js';

/** Results of one rollout of new weights. */
export type SwapCost = {
	/** Time from the trainer's call until every engine is usable with the version. */
	readonly spreadMs: number;
	/** Minimum number of usable engines during the rollout, as a share of the pool. */
	readonly leastUsable: number;
	/** Processor time per engine, including the engines and the weight store, in microseconds. */
	readonly cpuUsPerEngine: number;
};

const FETCH_MS = 1500;
const LOAD_MS = 1500;
const POLL_MS = 100;
const SETTLE_MS = 12_000;
const TIMEOUT_MS = 60_000;
const SLOTS = 16;

async function listenOnLoopback(standin: Standin): Promise<ListeningStandin> {
	return standin.listen({address: loopback, port: 0});
}

function urlOf({address, port}: ListeningStandin): string {
	return `http://${address}:${port}`;
}

async function startPlatform(engines: number, entryPort: number) {
	const store = await listenOnLoopback(createStoreStandin());
	const weightStore = await listenOnLoopback(createWeightStoreStandin({models: {[model]: 1}, concurrentFetches: engines, fetchMs: FETCH_MS}));
	const standins = Array.from({length: engines}, (_, index) => createEngineStandin({
		id: `engine-${index}`, models: {[model]: 1}, fencing: 'checked', slots: SLOTS, tokenMs: 4, chunkTokens: 4, loadMs: LOAD_MS, weightStoreUrl: urlOf(weightStore),
	}));
	const listening = await Promise.all(standins.map(async standin => listenOnLoopback(standin)));
	const vmList = await listenOnLoopback(createVmListStandin({
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

async function startOwner(platform: Platform, callerPort: number, peerPort: number, concurrentLoads: number): Promise<Daemon> {
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

/** Reads how many engines are usable, and how many of them have at least the given version. */
async function readEngines(url: string, version: number) {
	const status = await createOperatorClient({daemon: url, key: operatorKey}).readStatus();
	const text = JSON.stringify(status._unsafeUnwrap());
	const engineStates = [...text.matchAll(/"version":(?<version>\d+),"usable":(?<usable>true|false)/g)].map(found => ({
		version: Number(found.groups?.version), isUsable: found.groups?.usable === 'true',
	}));
	return {
		onVersion: engineStates.filter(engine => engine.isUsable && engine.version >= version).length,
		usable: engineStates.filter(engine => engine.isUsable).length,
	};
}

/** Measures a pool whose concurrent loads are limited only by the wave's share of the engines. */
export async function measureSwaps(engines: number): Promise<SwapCost> {
	const [callerPort = 0, peerPort = 0] = await findFreePorts(loopback, 2);
	const platform = await startPlatform(engines, peerPort);
	const daemon = await startOwner(platform, callerPort, peerPort, engines);
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
	let fewestUsable = engines;
	let isDone = false;
	const cpuUs = await measureCpuUs(async () => {
		while (!isDone && elapsed() < TIMEOUT_MS) {
			await sleep(POLL_MS);
			const counts = await readEngines(url, 2);
			fewestUsable = Math.min(fewestUsable, counts.usable);
			isDone = counts.onVersion === engines;
		}
	});
	const spreadMs = isDone ? elapsed() : Number.POSITIVE_INFINITY;
	await daemon.stop();
	platform.disposable.dispose();
	return {spreadMs, leastUsable: fewestUsable / engines, cpuUsPerEngine: cpuUs / engines};
}
