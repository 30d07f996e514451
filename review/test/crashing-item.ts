#!/usr/bin/env node
/** An item that crashes each worker that runs it is sent to workers again and again, and the other items of its batch job don't get done. Not one of the cases. */
import {createServer, type Server} from 'node:http';
import {
	configure, itemsOf, model, read, submit,
} from './batches.js';
import {bounds, runCase, sleep} from './deployment.js';

const daemonCount = 3;
const engineCount = 6;
const itemCount = 8;
const eventCount = 20;
const eventIntervalMs = 20;
const heartbeatMs = 1200;
const timeToCrashMs = 15;
/** Time after which a crashed worker is back. */
const downMs = 3000;
const observedMs = 60_000;
/** Retries that the rule allows later than `stable_ms` after the third crash. */
const allowedRetries = 3;
const batchId = 'step-0';

await runCase(daemonCount, async ({deployment, hasTrouble}) => {
	const {store, daemons, record, workerIp, workerPort} = deployment;
	const items = itemsOf(batchId, itemCount);
	const crashing = items.at(-1)!;
	const arrivals: number[] = [];
	const stops: Array<() => void> = [];

	function runEngine(index: number): void {
		const workerId = `engine-${index}`;
		let server: Server | undefined;
		let born = 0;
		let writes = 0;
		let isClosed = false;

		function writeEntry(): void {
			if (server !== undefined) {
				writes += 1;
				store.put('servers', workerId, {
					service: 'engines', address: `${workerIp}:${workerPort(index)}`, zone: `zone-${'abc'.at(index % 3)!}`, version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: writes, born, models: [{name: model, version: 1, adapters: []}],
				});
			}
		}

		function crash(): void {
			server?.closeAllConnections();
			server?.close();
			server = undefined;
			setTimeout(start, downMs);
		}

		function start(): void {
			if (isClosed) {
				return;
			}

			born = Date.now();
			server = createServer((request, response) => {
				const id = String(request.headers['attempt-id']);
				request.resume();
				record('run', {id, workerId});
				if (hasTrouble && id === crashing) {
					arrivals.push(Date.now());
					setTimeout(crash, timeToCrashMs);
					return;
				}

				response.writeHead(200, {
					'Attempt-Id': id, 'Server-Stamp': `stamp-${id}`, 'content-type': 'text/event-stream', 'Weight-Versions': '1',
				});
				let events = 0;
				const timer = setInterval(() => {
					events += 1;
					response.write(`id: ${events}\ndata: ${id}.${events}\n\n`);
					if (events === eventCount) {
						clearInterval(timer);
						response.end();
					}
				}, eventIntervalMs);
				response.on('close', () => {
					clearInterval(timer);
				});
			});
			server.listen(workerPort(index), workerIp, writeEntry);
		}

		start();
		const heartbeat = setInterval(writeEntry, heartbeatMs);
		stops.push(() => {
			isClosed = true;
			clearInterval(heartbeat);
			server?.closeAllConnections();
			server?.close();
		});
	}

	configure(deployment);
	Array.from({length: engineCount}, (_, index) => index).forEach(index => {
		runEngine(index);
	});
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);
	const daemon = daemons[0]!;
	await submit(deployment, daemon, batchId, {count: itemCount, isScored: false});
	const until = deployment.now() + observedMs;
	let listed = 0;
	while (listed < itemCount && deployment.now() < until) {
		const results = await read(deployment, daemon, batchId, listed);
		listed += results?.length ?? 0;
		await sleep(500);
	}

	stops.forEach(stop => {
		stop();
	});
	const third = arrivals[2] ?? Number.POSITIVE_INFINITY;
	const late = arrivals.filter(at => at > third + bounds.stable_ms);
	record('result', {crashes: arrivals.length, late: late.length, listed});
	return late.length > allowedRetries
		? [`BUDGET: ${crashing} crashed workers ${arrivals.length} times, ${late.length} of them later than ${bounds.stable_ms} ms after the third; ${listed} of the other ${itemCount - 1} items were listed in ${observedMs / 1000} s`]
		: [];
});
