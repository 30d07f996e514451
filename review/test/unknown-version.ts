#!/usr/bin/env node
/** Streams that begin at a worker which has just started again are continued at another software version. */
import {Agent} from 'node:http';
import {createLedger, countEvents} from '../../platform/test/soak/ledger.js';
import {listCompleteEvents} from '../../platform/test/soak/callers.js';
import {createWorkerStandIn} from '../../platform/test/soak/worker-stand-in.js';
import {
	bounds, host, runCase, sleep,
} from './deployment.js';

const daemonCount = 3;
const service = 'plain';
/** Software version of each worker, and the index of the one that goes down and up. */
const softwareVersions = [1, 1, 1, 1, 2, 2, 2] as const;
const flapping = 4;
const clientCount = 24;
/** Factor by which events take longer than 25 ms. */
const slowness = 4;
const trafficMs = 95_000;
/** The worker goes down and up with a period of 1.4 s for 5.6 s. */
const downMs = 700;
const upMs = 700;
const turns = 4;
const calmMs = 3000;
const deadlineMs = 10_000;
const maximumTries = 3;
const retryDelayMs = 100;
/** Streams with events of two versions that the rule allows. */
const allowedMixed = 2;

await runCase(daemonCount, async ({deployment, hasTrouble}) => {
	const {daemons, record, store, random} = deployment;
	const ledger = createLedger();
	store.put('config', 'main', {
		version: 3,
		routes: [{
			name: 'resumable', host, path_prefix: '/resumable/', kind: 'stream', can_resume: true, service, timeout_ms: 10_000, goal_ms: 500, priority: 2, attempts: 3,
		}],
		services: [{
			name: service, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	const workers = await Promise.all(softwareVersions.map(async (softwareVersion, index) => {
		const worker = createWorkerStandIn({
			name: `${service}-${index}`, service, zone: `zone-${'abc'.at(index % 3)!}`, ip: deployment.workerIp, port: deployment.workerPort(index), slots: 6, models: [], softwareVersion,
		}, {
			store, ledger, random, callerOf: () => 'daemon', onCrash: () => undefined,
		});
		worker.faults.slowness = slowness;
		await worker.start();
		return worker;
	}));
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);
	const mixed = new Map<string, readonly string[]>();
	const until = deployment.now() + trafficMs;
	const isOver = (): boolean => deployment.now() >= until || mixed.size > allowedMixed;

	/** Reads one stream, and takes it up at other daemons when it breaks off. */
	async function readStream(name: string, index: number): Promise<void> {
		let events: readonly string[] = [];
		let firstId = '';
		for (let attempt = 0; attempt <= maximumTries; attempt += 1) {
			const id = `${name}-try-${attempt}`;
			const daemon = daemons[(index + attempt) % daemonCount]!;
			const end = await deployment.call(daemon, {
				method: 'POST', path: `/resumable/${name}`, headers: {'Attempt-Id': id, 'Deadline-Ms': String(deadlineMs), ...(events.length > 0 && {'Last-Event-Id': String(events.length), Resumes: firstId})}, body: `body of ${name}`, timeoutMs: deadlineMs, agent: new Agent({keepAlive: false}),
			});
			const added = end.kind === 'left' || (end.kind === 'answer' && end.status !== 200) ? [] : listCompleteEvents(end.body);
			record('stream', {
				id, daemon: daemon.name, after: events.length, kind: end.kind, status: end.kind === 'left' ? undefined : end.status, versions: [...new Set(added.map(line => line.split('.').at(-1)))],
			});
			firstId = events.length === 0 && added.length > 0 ? id : firstId;
			events = [...events, ...added];
			if (events.length >= countEvents(name)) {
				break;
			}

			await sleep(retryDelayMs);
		}

		const versions = [...new Set(events.map(line => line.split('.').at(-1)!))];
		if (versions.length > 1) {
			mixed.set(name, versions);
			record('mixed', {name, events});
		}
	}

	const clients = Promise.all(Array.from({length: clientCount}, async (_, index) => {
		for (let count = 1; !isOver(); count += 1) {
			await readStream(`client-${index}-${count}`, index);
		}
	}));
	if (hasTrouble) {
		while (!isOver()) {
			await sleep(calmMs);
			for (let turn = 0; turn < turns; turn += 1) {
				record('worker goes down', {worker: workers[flapping]!.id()});
				workers[flapping]!.crash(downMs, true);
				await sleep(downMs + upMs);
			}
		}
	}

	await clients;
	workers.forEach(worker => {
		worker.close();
	});
	return mixed.size > allowedMixed ? [...mixed].map(([name, versions]) => `ORDER: ${name} holds events of ${versions.join(' and ')}`) : [];
});
