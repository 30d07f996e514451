/** Cost of the control plane without requests: complete daemons in one process over real sockets, with the default periods. */
import {setTimeout as sleep} from 'node:timers/promises';
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon, type Daemon} from '../../src/code/node/daemon.js';
import {startDemoPlatform, type DemoPlatform} from '../../src/code/node/demo/platform.js';
import {
	availabilityZones, createDemoSettings, demoLists, listEntryVms, loopback, operatorKey, assignPorts, type DaemonPorts,
} from '../../src/code/node/demo/deployment.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {peersKey} from '../../src/peers/common/peers.js';
import {checkSettings} from '../../src/settings/common/check.js';
import type {Settings} from '../../src/settings/common/settings.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

/** Cost of idle daemons; rates are per second. */
export type IdleDaemonCost = {
	/** Processor time per daemon, including its part of the stand-ins that it calls, in microseconds. */
	readonly cpuUs: number;
	/** Bytes that one daemon exchanges with its peers, both directions. */
	readonly peerBytes: number;
	/** Store calls of all daemons together. */
	readonly storeCalls: number;
	readonly heapBytes: number;
};

const WARM_UP_MS = 25_000;
const MEASURED_MS = 20_000;

/** Creates the settings of the demo, but with the default periods. */
function createSettings(ports: readonly DaemonPorts[], index: number, platform: DemoPlatform): Settings {
	const {daemon, seeds, store, weightStore, pools, scoring, trainers, operatorKeys} = createDemoSettings(ports, index, platform);
	return checkSettings({
		daemon, availabilityZones, seeds, store, vmList: {url: platform.vmListUrl}, weightStore, pools, scoring, trainers, operatorKeys, requests: {drainMs: 2000},
	})._unsafeUnwrap();
}

function sumTraffic(daemons: readonly Daemon[]): number {
	return daemons.map(daemon => daemon.use(peersKey).traffic()).reduce((sum, {sent, received}) => sum + sent + received, 0);
}

/** Measures a fleet without requests after its lists have come into force. */
export async function measureIdleDaemons(count: number): Promise<IdleDaemonCost> {
	const heapBefore = readHeapBytes();
	const ports = assignPorts(await findFreePorts(loopback, 2 * count));
	const platform = await startDemoPlatform(listEntryVms(ports));
	const started = await Promise.all(ports.map(async (_, index) => startDaemon({
		settings: createSettings(ports, index, platform), contributions: listFeatures(), surroundings: {log: silentLog},
	})));
	const daemons = started.map(result => result._unsafeUnwrap());
	const client = createOperatorClient({daemon: `http://${loopback}:${ports[0]?.callerPort}`, key: operatorKey});
	const written = await client.writeLists({operator: 'bench', ifVersion: 0, lists: demoLists});
	written._unsafeUnwrap();
	await sleep(WARM_UP_MS);

	const callsBefore = platform.storeCalls();
	const trafficBefore = sumTraffic(daemons);
	const cpuUs = await measureCpuUs(async () => {
		await sleep(MEASURED_MS);
	});
	const seconds = MEASURED_MS / 1000;
	const cost = {
		cpuUs: cpuUs / count / seconds,
		// Only the listening daemon counts a byte, so the bytes are doubled to include the calling daemon.
		peerBytes: 2 * (sumTraffic(daemons) - trafficBefore) / count / seconds,
		storeCalls: (platform.storeCalls() - callsBefore) / seconds,
		heapBytes: (readHeapBytes() - heapBefore) / count,
	};
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	platform.dispose();
	return cost;
}
