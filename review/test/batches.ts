/** Batch jobs of the cases: a trainer's calls, and the configuration of the routes. */
import {Buffer} from 'node:buffer';
import type {CallEnd} from '../../platform/test/soak/call.js';
import {createLedger, type Ledger} from '../../platform/test/soak/ledger.js';
import {createWorkerStandIn, type WorkerStandIn} from '../../platform/test/soak/worker-stand-in.js';
import {host, type Daemon, type Deployment} from './deployment.js';

/** The model that all batch jobs train. */
export const model = 'm0';
const plainService = 'plain';
const engineService = 'engines';
const groupSize = 4;
/** Wait and patience of a trainer that reads results. */
const waitMs = 1000;
const readPatienceMs = waitMs + 1500;

/** Writes the configuration: a route for batch jobs and one for reward calls, with the figures of the sheets. */
export function configure({store}: Deployment): void {
	const common = {host, attempts: 3, goal_ms: 500};
	store.put('config', 'main', {
		version: 3,
		routes: [
			{
				...common, name: 'batch', path_prefix: '/batch/', kind: 'rollout', service: engineService, timeout_ms: 10_000, due_ms: 7500, retention_s: 60, priority: 1,
			},
			{
				...common, name: 'score', path_prefix: '/score/', kind: 'idempotent', service: plainService, timeout_ms: 2000, priority: 2,
			},
		],
		services: [
			{
				name: engineService, health_path: '/healthz', max_conns: 140, protocol: 'h1', tls: false, engine: {slots: 8, models: [{name: model}]},
			},
			{
				name: plainService, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
			},
		],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
}

/** The workers of a deployment and the record of what they ran. */
export type Workers = {
	readonly ledger: Ledger;
	readonly engines: readonly WorkerStandIn[];
	readonly plain: readonly WorkerStandIn[];
	readonly close: () => void;
};

/** Starts the workers of both services, in three zones. */
export async function startWorkers(deployment: Deployment, engineCount: number): Promise<Workers> {
	const {store, random, workerIp, workerPort} = deployment;
	const ledger = createLedger();
	const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
	const plainCount = zones.length;
	const all = Array.from({length: engineCount + plainCount}, (_, index) => {
		const isEngine = index < engineCount;
		return createWorkerStandIn({
			name: `${isEngine ? engineService : plainService}-${index}`, service: isEngine ? engineService : plainService, zone: zones[index % zones.length]!, ip: workerIp, port: workerPort(index), slots: isEngine ? 8 : 6, models: isEngine ? [model] : [], softwareVersion: 1,
		}, {
			store, ledger, random, callerOf: () => 'daemon', onCrash: () => undefined,
		});
	});
	await Promise.all(all.map(async worker => worker.start()));
	return {
		ledger,
		engines: all.slice(0, engineCount),
		plain: all.slice(engineCount),
		close() {
			all.forEach(worker => {
				worker.close();
			});
		},
	};
}

/** Ids of the items of a batch job. */
export function itemsOf(batchId: string, count: number): readonly string[] {
	return Array.from({length: count}, (_, index) => `${batchId}-item-${index}`);
}

/** Submits a batch job, with or without reward calls. */
export async function submit(deployment: Deployment, daemon: Daemon, batchId: string, {count, isScored}: {readonly count: number; readonly isScored: boolean}): Promise<CallEnd> {
	const items = itemsOf(batchId, count).map((id, index) => ({
		id,
		path: `/batch/${id}`,
		headers: {Model: model, 'Token-Count': '1016,100', 'Prompt-Prefix': '1a:1000'},
		body: Buffer.from(`prompt of ${id}`).toString('base64'),
		tokens: 1116,
		group: `${batchId}-${Math.floor(index / groupSize)}`,
		...(isScored && {
			scorer: {
				id: `score-${id}`, host, path: `/score/${id}`, body: Buffer.from(`score ${id}`).toString('base64'),
			},
		}),
	}));
	const end = await deployment.call(daemon, {
		method: 'POST',
		path: `/batch/${batchId}`,
		headers: {'Attempt-Id': batchId, 'Content-Type': 'application/json', 'Deadline-Ms': '12000'},
		body: JSON.stringify({
			step: 0, model, min_version: 1, target_groups: Math.floor(count / groupSize), items,
		}),
		timeoutMs: 12_000,
	});
	deployment.record('submitted', {batchId, daemon: daemon.name, status: end.kind === 'answer' ? end.status : end.kind});
	return end;
}

/** One result of a batch job. */
export type Result = {
	readonly id: string;
	readonly state: string;
	readonly text: string;
};

/** Reads results; undefined after any answer but 200. */
export async function read(deployment: Deployment, daemon: Daemon, batchId: string, after: number): Promise<readonly Result[] | undefined> {
	const end = await deployment.call(daemon, {
		method: 'GET', path: `/v1/lots/${batchId}?after=${after}`, headers: {'Wait-Ms': String(waitMs)}, timeoutMs: readPatienceMs,
	});
	const page = end.kind === 'answer' && end.status === 200 ? (JSON.parse(end.body) as {readonly results: readonly Result[]}) : undefined;
	deployment.record('read', {
		batchId, daemon: daemon.name, after, status: end.kind === 'answer' ? end.status : end.kind, listed: page?.results.map(({id, state}) => `${id} ${state}`),
	});
	return page?.results;
}

/** Ends a batch job; returns the status. */
export async function endBatch(deployment: Deployment, daemon: Daemon, batchId: string): Promise<number | string> {
	const end = await deployment.call(daemon, {method: 'DELETE', path: `/v1/lots/${batchId}`});
	const status = end.kind === 'answer' ? end.status : end.kind;
	deployment.record('ended', {batchId, daemon: daemon.name, status});
	return status;
}
