/** Names and sizes of the demo deployment, and the settings and lists of its daemons. */
import {hashToHex} from '../../../base/common/hash.js';
import type {Lists} from '../../../plans/common/lists.js';
import type {Vm} from '../../../adapters/common/vm-list.js';
import {checkSettings} from '../../../settings/common/check.js';
import type {Settings} from '../../../settings/common/settings.js';

export const loopback = '127.0.0.1';
export const DAEMON_COUNT = 3;
export const ENGINE_COUNT = 3;
export const SLOTS_PER_ENGINE = 8;
export const STALENESS_BOUND = 1;
export const enginePool = 'models';
export const servicePool = 'lookups';
export const model = 'assistant';
export const trainer = 'demo-trainer';
export const operatorKey = 'demo-operator-key';
export const trainerKey = 'demo-trainer-key';
export const availabilityZones = [{name: 'zone-a', region: 'region-1'}, {name: 'zone-b', region: 'region-1'}];

/** The ports of one daemon. */
export type DaemonPorts = {
	readonly callerPort: number;
	readonly peerPort: number;
};

/** Base URLs of the platform's services. */
export type PlatformUrls = {
	readonly storeUrl: string;
	readonly vmListUrl: string;
	readonly weightStoreUrl: string;
	readonly scorerUrl: string;
};

/** Assigns free ports to daemons, two to each. A port left over is ignored. */
export function assignPorts(ports: readonly number[]): readonly DaemonPorts[] {
	return Array.from({length: Math.floor(ports.length / 2)}, (_, index) => ({
		callerPort: ports[2 * index] ?? 0, peerPort: ports[(2 * index) + 1] ?? 0,
	}));
}

function getAvailabilityZone(index: number): string {
	return availabilityZones[index % availabilityZones.length]?.name ?? '';
}

/** Returns the VMs of the daemons in the form of the platform's VM list. */
export function listEntryVms(daemons: readonly DaemonPorts[]): readonly Vm[] {
	return daemons.map(({peerPort}, index) => ({
		id: `entry-${index + 1}`, address: loopback, port: peerPort, availabilityZone: getAvailabilityZone(index), state: 'live', pool: 'entry',
	}));
}

/** Creates the settings of one daemon, with short intervals so that the demo starts quickly. */
export function createDemoSettings(daemons: readonly DaemonPorts[], index: number, urls: PlatformUrls): Settings {
	const ownPorts = daemons[index];
	return checkSettings({
		daemon: {
			id: `entry-${index + 1}`, address: loopback, callerPort: ownPorts?.callerPort, peerPort: ownPorts?.peerPort, availabilityZone: getAvailabilityZone(index),
		},
		availabilityZones,
		seeds: daemons.map(({peerPort}) => ({address: loopback, peerPort})),
		store: {url: urls.storeUrl},
		vmList: {url: urls.vmListUrl, pollMs: 200},
		weightStore: {url: urls.weightStoreUrl},
		pools: [
			{
				name: enginePool, kind: 'engine', models: [model], fencing: 'checked', slots: SLOTS_PER_ENGINE,
			},
			{name: servicePool, kind: 'service', operations: [{path: '/lookup', method: 'GET', idempotent: true}]},
		],
		scoring: [{name: 'scoring', url: urls.scorerUrl}],
		trainers: [{
			name: trainer, pool: enginePool, model, scoring: 'scoring', stalenessBound: STALENESS_BOUND,
		}],
		operatorKeys: [hashToHex(operatorKey)],
		leases: {
			shards: 8, durationMs: 2000, renewMs: 500, marginMs: 300,
		},
		membership: {periodMs: 100, suspectAfterMs: 1000, deadAfterMs: 3000},
		limits: {shareMs: 1500, renewMs: 300},
		weights: {pollMs: 100},
		rollouts: {maximumBatch: 8, stallMs: 1000},
		requests: {drainMs: 2000},
		log: {level: 'silent'},
	})._unsafeUnwrap();
}

/** The lists that the demo applies as an operator. */
export const demoLists: Lists = {
	plans: [{
		name: 'training', customer: 'demo', weight: 1, keyHashes: [hashToHex(trainerKey)], trainers: [trainer],
	}],
	grants: [
		{
			plan: 'training', pool: enginePool, requestsPerSecond: 1000, tokensPerSecond: 100_000, burstSeconds: 2,
		},
		{
			plan: 'training', pool: servicePool, requestsPerSecond: 100, burstSeconds: 1,
		},
	],
};
