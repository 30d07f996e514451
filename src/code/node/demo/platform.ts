/** A platform with engines and a plain service in the demo's own process, on free ports of the loopback interface. */
import {err, ok, type Result} from 'neverthrow';
import {joinDisposables, type Disposable} from '../../../base/common/disposable.js';
import type {Failure} from '../../../base/common/failure.js';
import {createStatusFailure} from '../../../adapters/node/http-answers.js';
import {createHttpClient} from '../../../adapters/node/http-client.js';
import type {Vm} from '../../../adapters/common/vm-list.js';
import {createEngineStandin, type StreamEntry} from '../../../standins/node/engine-standin.js';
import {createScorerStandin} from '../../../standins/node/scorer-standin.js';
import {createServiceStandin} from '../../../standins/node/service-standin.js';
import type {Listening, Standin} from '../../../standins/node/standin-server.js';
import {createStoreStandin} from '../../../standins/node/store-standin.js';
import {createVmListStandin} from '../../../standins/node/vm-list-standin.js';
import {createWeightStoreStandin} from '../../../standins/node/weight-store-standin.js';
import {
	availabilityZones, ENGINES, enginePool, loopback, model, servicePool, SLOTS_PER_ENGINE,
} from './world.js';

/** A running platform. */
export type DemoPlatform = Disposable & {
	readonly storeUrl: string;
	readonly vmListUrl: string;
	readonly weightStoreUrl: string;
	readonly scorerUrl: string;
	readonly crashEngine: (index: number) => void;
	/** Puts new weights into the weight store. */
	readonly storeWeights: (version: number) => Promise<Result<void, Failure>>;
	/** Calls that the store has answered. */
	readonly storeCalls: () => number;
	/** All streams that the engines have seen. */
	readonly streams: () => readonly StreamEntry[];
};

const TOKEN_MS = 4;
const CHUNK_TOKENS = 4;
const FETCH_MS = 100;
const LOAD_MS = 200;
const SERVICE_WORK_MS = 5;

function urlOf(listening: Listening): string {
	return `http://${listening.address}:${listening.port}`;
}

async function listen(standin: Standin): Promise<Listening> {
	return standin.listen({address: loopback, port: 0});
}

function createEngine(index: number, weightStoreUrl: string): Standin {
	return createEngineStandin({
		id: `engine-${index + 1}`,
		models: {[model]: 1},
		fencing: 'checked',
		slots: SLOTS_PER_ENGINE,
		tokenMs: TOKEN_MS,
		chunkTokens: CHUNK_TOKENS,
		loadMs: LOAD_MS,
		weightStoreUrl,
	});
}

function describeVm(listening: Listening, pool: string, index: number): Vm {
	return {
		id: `${pool}-${index + 1}`,
		address: listening.address,
		port: listening.port,
		availabilityZone: availabilityZones[index % availabilityZones.length]?.name ?? '',
		state: 'live',
		pool,
	};
}

function readStreams(engine: Standin): readonly StreamEntry[] {
	// The record of an engine holds its streams.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (engine.record() as {readonly streams: readonly StreamEntry[]}).streams;
}

function readStoreCalls(store: Standin): number {
	// The record of the store counts its calls.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (store.record() as {readonly calls: number}).calls;
}

/** Starts the platform. `entryVms` are the VMs that run daemons, as the VM list shows them. */
export async function startDemoPlatform(entryVms: readonly Vm[]): Promise<DemoPlatform> {
	const storeStandin = createStoreStandin();
	const store = await listen(storeStandin);
	const scorer = await listen(createScorerStandin());
	const weightStore = await listen(createWeightStoreStandin({models: {[model]: 1}, concurrentFetches: 2, fetchMs: FETCH_MS}));
	const engines = Array.from({length: ENGINES}, (_, index) => createEngine(index, urlOf(weightStore)));
	const listeningEngines = await Promise.all(engines.map(async engine => listen(engine)));
	const service = await listen(createServiceStandin({id: `${servicePool}-1`, slots: SLOTS_PER_ENGINE, workMs: SERVICE_WORK_MS}));
	const vms = [
		...entryVms,
		...listeningEngines.map((listening, index) => describeVm(listening, enginePool, index)),
		describeVm(service, servicePool, 0),
	];
	const vmList = await listen(createVmListStandin({vms}));
	const all = joinDisposables([store, scorer, weightStore, ...listeningEngines, service, vmList]);
	return {
		storeUrl: urlOf(store),
		vmListUrl: urlOf(vmList),
		weightStoreUrl: urlOf(weightStore),
		scorerUrl: urlOf(scorer),
		crashEngine(index) {
			engines[index]?.crash();
		},
		async storeWeights(version) {
			const http = createHttpClient(urlOf(weightStore));
			const answer = await http.call({step: 'store weights', method: 'PUT', path: `/models/${model}/versions/${version}`});
			return answer.andThen(whole => (whole.status < 300 ? ok() : err(createStatusFailure(whole, 'store weights', http.peer))));
		},
		storeCalls: () => readStoreCalls(storeStandin),
		streams: () => engines.flatMap(engine => readStreams(engine)),
		dispose() {
			all.dispose();
		},
	};
}
