/** Stand-ins for the platform, engines and a plain service, in the process of the demo and on free loopback ports. */
import {err, ok, type Result} from 'neverthrow';
import {joinDisposables, type Disposable} from '../../../base/common/disposable.js';
import type {Failure} from '../../../base/common/failure.js';
import {createStatusFailure} from '../../../adapters/node/http-responses.js';
import {createHttpClient} from '../../../adapters/node/http-client.js';
import type {Vm} from '../../../adapters/common/vm-list.js';
import {createEngineStandin, type StreamEntry} from '../../../standins/node/engine-standin.js';
import {createScorerStandin} from '../../../standins/node/scorer-standin.js';
import {createServiceStandin} from '../../../standins/node/service-standin.js';
import type {ListeningStandin, Standin} from '../../../standins/node/standin-server.js';
import {createStoreStandin} from '../../../standins/node/store-standin.js';
import {createVmListStandin} from '../../../standins/node/vm-list-standin.js';
import {createWeightStoreStandin} from '../../../standins/node/weight-store-standin.js';
import {
	availabilityZones, ENGINE_COUNT, enginePool, loopback, model, servicePool, SLOTS_PER_ENGINE,
} from './deployment.js';

/** A running platform. */
export type DemoPlatform = Disposable & {
	readonly storeUrl: string;
	readonly vmListUrl: string;
	readonly weightStoreUrl: string;
	readonly scorerUrl: string;
	readonly crashEngine: (index: number) => void;
	/** Stores a new weight version in the weight store. */
	readonly storeWeights: (version: number) => Promise<Result<void, Failure>>;
	/** Number of calls that the store has answered. */
	readonly storeCalls: () => number;
	/** All streams that the engines have received. */
	readonly streams: () => readonly StreamEntry[];
};

const TOKEN_DURATION_MS = 4;
const TOKENS_PER_CHUNK = 4;
const FETCH_DURATION_MS = 100;
const LOAD_DURATION_MS = 200;
const SERVICE_CALL_DURATION_MS = 5;

function formatUrl(listening: ListeningStandin): string {
	return `http://${listening.address}:${listening.port}`;
}

async function listen(standin: Standin): Promise<ListeningStandin> {
	return standin.listen({address: loopback, port: 0});
}

function createEngine(index: number, weightStoreUrl: string): Standin {
	return createEngineStandin({
		id: `engine-${index + 1}`,
		models: {[model]: 1},
		fencing: 'checked',
		slots: SLOTS_PER_ENGINE,
		tokenMs: TOKEN_DURATION_MS,
		chunkTokens: TOKENS_PER_CHUNK,
		loadMs: LOAD_DURATION_MS,
		weightStoreUrl,
	});
}

function describeVm(listening: ListeningStandin, pool: string, index: number): Vm {
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
	// The record of an engine stand-in contains its streams.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (engine.record() as {readonly streams: readonly StreamEntry[]}).streams;
}

function readStoreCalls(store: Standin): number {
	// The record of the store stand-in contains the number of its calls.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (store.record() as {readonly calls: number}).calls;
}

/** Starts the platform. `entryVms` are the VMs of the daemons, which the VM list includes. */
export async function startDemoPlatform(entryVms: readonly Vm[]): Promise<DemoPlatform> {
	const storeStandin = createStoreStandin();
	const store = await listen(storeStandin);
	const scorer = await listen(createScorerStandin());
	const weightStore = await listen(createWeightStoreStandin({models: {[model]: 1}, concurrentFetches: 2, fetchMs: FETCH_DURATION_MS}));
	const engines = Array.from({length: ENGINE_COUNT}, (_, index) => createEngine(index, formatUrl(weightStore)));
	const listeningEngines = await Promise.all(engines.map(async engine => listen(engine)));
	const service = await listen(createServiceStandin({id: `${servicePool}-1`, slots: SLOTS_PER_ENGINE, workMs: SERVICE_CALL_DURATION_MS}));
	const vms = [
		...entryVms,
		...listeningEngines.map((listening, index) => describeVm(listening, enginePool, index)),
		describeVm(service, servicePool, 0),
	];
	const vmList = await listen(createVmListStandin({vms}));
	const disposables = joinDisposables([store, scorer, weightStore, ...listeningEngines, service, vmList]);
	return {
		storeUrl: formatUrl(store),
		vmListUrl: formatUrl(vmList),
		weightStoreUrl: formatUrl(weightStore),
		scorerUrl: formatUrl(scorer),
		crashEngine(index) {
			engines[index]?.crash();
		},
		async storeWeights(version) {
			const http = createHttpClient(formatUrl(weightStore));
			const outcome = await http.call({step: 'store weights', method: 'PUT', path: `/models/${model}/versions/${version}`});
			return outcome.andThen(response => (response.status < 300 ? ok() : err(createStatusFailure(response, 'store weights', http.peer))));
		},
		storeCalls: () => readStoreCalls(storeStandin),
		streams: () => engines.flatMap(engine => readStreams(engine)),
		dispose() {
			disposables.dispose();
		},
	};
}
