/** Processor time of a request at the daemon that takes it: calls through a whole daemon less calls straight to the service. */
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon} from '../../src/code/node/daemon.js';
import {startDemoPlatform} from '../../src/code/node/demo/platform.js';
import {
	createDemoSettings, demoLists, listEntryVms, loopback, operatorKey, pairPorts, servicePool, trainerKey,
} from '../../src/code/node/demo/world.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {createHttpClient, type HttpClient} from '../../src/adapters/node/http-client.js';
import {createServiceStandin} from '../../src/standins/node/service-standin.js';
import {measureCpuUs} from './measure.js';

/** Cost of requests at the front. */
export type FrontCost = {
	/** A service call by way of the daemon, less one straight to the service. */
	readonly cpuUsPerRequest: number;
	/** The whole process per second while it is asked nothing, for comparison. */
	readonly restUs: number;
};

const REQUESTS = 1000;
const WARM_UP_REQUESTS = 1500;
const CONCURRENT = 4;
const REST_MS = 5000;
const TIMEOUT_MS = 10_000;
const SLOTS = 64;
const GENEROUS = 100_000;

async function callInTurn(client: HttpClient, path: string, requests: number): Promise<void> {
	await Array.from({length: requests}).reduce<Promise<void>>(async previous => {
		await previous;
		const answer = await client.call({
			step: 'bench', method: 'GET', path, headers: {authorization: `Bearer ${trainerKey}`}, timeoutMs: TIMEOUT_MS,
		});
		if (answer._unsafeUnwrap().status !== 200) {
			throw new Error(`the bench's request was answered ${answer._unsafeUnwrap().status}`);
		}
	}, Promise.resolve());
}

async function callAll(client: HttpClient, path: string, requests: number): Promise<void> {
	await Promise.all(Array.from({length: CONCURRENT}, async () => callInTurn(client, path, requests / CONCURRENT)));
}

async function measureCalls(url: string, path: string): Promise<{readonly cpuUs: number; readonly ms: number}> {
	const client = createHttpClient(url);
	await callAll(client, path, WARM_UP_REQUESTS);
	const startedAt = performance.now();
	const cpuUs = await measureCpuUs(async () => callAll(client, path, REQUESTS));
	return {cpuUs, ms: performance.now() - startedAt};
}

/** Measures one daemon whose lists are in force. */
export async function measureFront(): Promise<FrontCost> {
	const ports = pairPorts(await findFreePorts(loopback, 2));
	const platform = await startDemoPlatform(listEntryVms(ports));
	const started = await startDaemon({settings: createDemoSettings(ports, 0, platform), contributions: listFeatures(), surroundings: {log: silentLog}});
	const daemon = started._unsafeUnwrap();
	const url = `http://${loopback}:${ports[0]?.callerPort}`;
	const grants = demoLists.grants.map(grant => ({...grant, requestsPerSecond: GENEROUS}));
	const written = await createOperatorClient({daemon: url, key: operatorKey}).writeLists({operator: 'bench', ifVersion: 0, lists: {...demoLists, grants}});
	written._unsafeUnwrap();
	const service = await createServiceStandin({id: 'bench', slots: SLOTS, workMs: 0}).listen({address: loopback, port: 0});

	const through = await measureCalls(url, `/v1/services/${servicePool}/lookup`);
	const restUs = await measureCpuUs(async () => {
		await new Promise(resolve => {
			setTimeout(resolve, REST_MS);
		});
	}) * 1000 / REST_MS;
	const straight = await measureCalls(`http://${service.address}:${service.port}`, '/lookup');
	await daemon.stop();
	platform.dispose();
	service.dispose();
	const own = through.cpuUs - (restUs * through.ms / 1000) - straight.cpuUs + (restUs * straight.ms / 1000);
	return {cpuUsPerRequest: own / REQUESTS, restUs};
}
