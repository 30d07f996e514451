/** Processor time of a request at the daemon that receives it: calls through a daemon minus direct calls to the service. */
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon} from '../../src/code/node/daemon.js';
import {startDemoPlatform} from '../../src/code/node/demo/platform.js';
import {
	createDemoSettings, demoLists, listEntryVms, loopback, operatorKey, assignPorts, servicePool, trainerKey,
} from '../../src/code/node/demo/deployment.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {createHttpClient, type HttpClient} from '../../src/adapters/node/http-client.js';
import {createServiceStandin} from '../../src/standins/node/service-standin.js';
import {measureCpuUs} from './measure.js';

/** Cost of service calls at the daemon that receives them. */
export type ServiceCallCost = {
	/** Processor time of a service call through the daemon minus that of a direct call to the service, in microseconds. */
	readonly cpuUsPerRequest: number;
	/** Processor time of the process per second without requests, in microseconds, for comparison. */
	readonly idleUsPerSecond: number;
};

const REQUEST_COUNT = 1000;
const WARM_UP_REQUESTS = 1500;
const CONCURRENT_CALLS = 4;
const IDLE_MS = 5000;
const TIMEOUT_MS = 10_000;
const SLOTS = 64;
const GRANTED_REQUESTS_PER_SECOND = 100_000;

async function callSequentially(client: HttpClient, path: string, requests: number): Promise<void> {
	await Array.from({length: requests}).reduce<Promise<void>>(async previous => {
		await previous;
		const response = await client.call({
			step: 'bench', method: 'GET', path, headers: {authorization: `Bearer ${trainerKey}`}, timeoutMs: TIMEOUT_MS,
		});
		if (response._unsafeUnwrap().status !== 200) {
			throw new Error(`expected status 200 for the bench's request, got ${response._unsafeUnwrap().status}`);
		}
	}, Promise.resolve());
}

async function callConcurrently(client: HttpClient, path: string, requests: number): Promise<void> {
	await Promise.all(Array.from({length: CONCURRENT_CALLS}, async () => callSequentially(client, path, requests / CONCURRENT_CALLS)));
}

async function measureCalls(url: string, path: string): Promise<{readonly cpuUs: number; readonly ms: number}> {
	const client = createHttpClient(url);
	await callConcurrently(client, path, WARM_UP_REQUESTS);
	const startedAt = performance.now();
	const cpuUs = await measureCpuUs(async () => callConcurrently(client, path, REQUEST_COUNT));
	return {cpuUs, ms: performance.now() - startedAt};
}

/** Measures one daemon after its lists have come into force. */
export async function measureServiceCalls(): Promise<ServiceCallCost> {
	const ports = assignPorts(await findFreePorts(loopback, 2));
	const platform = await startDemoPlatform(listEntryVms(ports));
	const started = await startDaemon({settings: createDemoSettings(ports, 0, platform), contributions: listFeatures(), surroundings: {log: silentLog}});
	const daemon = started._unsafeUnwrap();
	const url = `http://${loopback}:${ports[0]?.callerPort}`;
	const grants = demoLists.grants.map(grant => ({...grant, requestsPerSecond: GRANTED_REQUESTS_PER_SECOND}));
	const written = await createOperatorClient({daemon: url, key: operatorKey}).writeLists({operator: 'bench', ifVersion: 0, lists: {...demoLists, grants}});
	written._unsafeUnwrap();
	const service = await createServiceStandin({id: 'bench', slots: SLOTS, workMs: 0}).listen({address: loopback, port: 0});

	const viaDaemon = await measureCalls(url, `/v1/services/${servicePool}/lookup`);
	const idleUsPerSecond = await measureCpuUs(async () => {
		await new Promise(resolve => {
			setTimeout(resolve, IDLE_MS);
		});
	}) * 1000 / IDLE_MS;
	const direct = await measureCalls(`http://${service.address}:${service.port}`, '/lookup');
	await daemon.stop();
	platform.dispose();
	service.dispose();
	const daemonCpuUs = viaDaemon.cpuUs - (idleUsPerSecond * viaDaemon.ms / 1000) - direct.cpuUs + (idleUsPerSecond * direct.ms / 1000);
	return {cpuUsPerRequest: daemonCpuUs / REQUEST_COUNT, idleUsPerSecond};
}
