/** Whole daemons in one process over real sockets, with the settings' own periods: what control costs while nothing is asked. */
import {setTimeout as sleep} from 'node:timers/promises';
import {listFeatures} from '../../src/code/node/contributions.js';
import {startDaemon, type Daemon} from '../../src/code/node/daemon.js';
import {startDemoPlatform, type DemoPlatform} from '../../src/code/node/demo/platform.js';
import {
	availabilityZones, createDemoSettings, demoLists, listEntryVms, loopback, operatorKey, pairPorts, type DaemonPorts,
} from '../../src/code/node/demo/world.js';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import {createOperatorClient} from '../../src/code/node/operator-client.js';
import {silentLog} from '../../src/kernel/common/log.js';
import {peersKey} from '../../src/peers/common/peers.js';
import {checkSettings} from '../../src/settings/common/check.js';
import type {Settings} from '../../src/settings/common/settings.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

/** What one idle daemon costs per second. */
export type WholeCost = {
	/** Processor time of a daemon and its part of the stand-ins that it calls, in microseconds. */
	readonly cpuUs: number;
	/** Bytes to and from peers. */
	readonly peerBytes: number;
	/** Store calls of the whole fleet. */
	readonly storeCalls: number;
	readonly heapBytes: number;
};

const WARM_UP_MS = 25_000;
const MEASURED_MS = 20_000;

/** The settings of the demo with the periods that a daemon has by default. */
function createSettings(ports: readonly DaemonPorts[], index: number, platform: DemoPlatform): Settings {
	const {daemon, seeds, store, weightStore, pools, scoring, trainers, operatorKeys} = createDemoSettings(ports, index, platform);
	return checkSettings({
		daemon, availabilityZones, seeds, store, vmList: {url: platform.vmListUrl}, weightStore, pools, scoring, trainers, operatorKeys, requests: {drainMs: 2000},
	})._unsafeUnwrap();
}

function sumTraffic(daemons: readonly Daemon[]): number {
	return daemons.map(daemon => daemon.use(peersKey).traffic()).reduce((sum, {sent, received}) => sum + sent + received, 0);
}

/** Measures a fleet that has its lists in force and is asked nothing. */
export async function measureWholeDaemons(count: number): Promise<WholeCost> {
	const heapBefore = readHeapBytes();
	const ports = pairPorts(await findFreePorts(loopback, 2 * count));
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
		// Each byte is counted once, by the daemon that listens; its caller carried it as well.
		peerBytes: 2 * (sumTraffic(daemons) - trafficBefore) / count / seconds,
		storeCalls: (platform.storeCalls() - callsBefore) / seconds,
		heapBytes: (readHeapBytes() - heapBefore) / count,
	};
	await Promise.all(daemons.map(async daemon => daemon.stop()));
	platform.dispose();
	return cost;
}
