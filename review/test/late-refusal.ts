#!/usr/bin/env node
/** A worker's second copy of a refusal arrives late, on the connection on which the same request was sent again. */
import {Buffer} from 'node:buffer';
import {Agent, createServer, type IncomingMessage} from 'node:http';
import {
	bounds, host, runCase, sleep, type Deployment,
} from './deployment.js';

const daemonCount = 3;
const service = 'plain';
const workerCount = 2;
const slots = 6;
/** Requests that wait at a worker; beyond these it refuses. */
const queueLength = 2;
/** Mean work of a request: that of the sheets' callers. */
const workMs = 35.7;
/** One of the two workers also sends a second copy of this share of its answers, during some seconds. */
const doubledShare = 0.03;
const doubledForMs = 5000;
const pauseMs = 1000;
const minimumDelayMs = 5;
const delayRangeMs = 25;
const clientCount = 24;
/** Traffic ends sooner when the rule was broken. */
const trafficMs = 95_000;
/** Time that a refused client waits before its next request. */
const returnAfterMs = 300;
const heartbeatMs = 1200;

type Headers = Readonly<Record<string, string | number>>;
type Writer = (headers: Headers, status: number, body: string) => void;
type Answer = {readonly status: number; readonly headers: Headers; readonly body: string};
type Run = {readonly workerId: string; readonly atMs: number};

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** Starts a worker with a queue, which records what it runs; returns how to stop it. */
function startWorker(deployment: Deployment, index: number, runs: Map<string, Run[]>, isSpoiling: () => boolean): () => void {
	const {store, random, record, workerIp} = deployment;
	const workerId = `${service}-${index}`;
	const port = deployment.workerPort(index);
	const born = Date.now();
	const waiting: Array<() => void> = [];
	let running = 0;
	let writes = 0;

	function answer(request: IncomingMessage, write: Writer, {status, headers, body}: Answer): void {
		const requestId = String(request.headers['attempt-id']);
		const sent = {
			'Attempt-Id': requestId, ...headers, 'Instance-Load': `${running},${waiting.length},${slots}`, 'content-length': Buffer.byteLength(body),
		};
		write(sent, status, body);
		const isDoubled = isSpoiling() && random() < doubledShare;
		record('worker answers', {
			requestId, workerId, status, ...(isDoubled && {isDoubled}),
		});
		if (isDoubled) {
			const head = Object.entries(sent).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			setTimeout(() => {
				request.socket.write(`HTTP/1.1 ${status} Answer\r\n${head}\r\n${body}`);
				record('second copy', {requestId, workerId, status});
			}, minimumDelayMs + (random() * delayRangeMs));
		}
	}

	async function work(requestId: string): Promise<void> {
		if (running >= slots) {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		}

		running += 1;
		runs.set(requestId, [...runs.get(requestId) ?? [], {workerId, atMs: deployment.now()}]);
		record('run', {requestId, workerId});
		await sleep(workMs * (0.5 + random()));
		running -= 1;
		waiting.shift()?.();
	}

	const server = createServer({keepAliveTimeout: 5000}, (request, response) => {
		const write: Writer = (headers, status, body) => {
			response.writeHead(status, {...headers}).end(body);
		};

		void readBody(request).then(async body => {
			const requestId = String(request.headers['attempt-id']);
			if (request.headers['expect-instance'] !== workerId) {
				answer(request, write, {status: 421, headers: {'Not-Run': '1'}, body: ''});
				return;
			}

			if (running >= slots && waiting.length >= queueLength) {
				answer(request, write, {status: 503, headers: {'Not-Run': '1'}, body: ''});
				return;
			}

			await work(requestId);
			answer(request, write, {status: 200, headers: {'Server-Stamp': `stamp-${requestId}`}, body: `${requestId} ${body}`});
		});
	});
	server.listen(port, workerIp);
	const writeEntry = (): void => {
		writes += 1;
		store.put('servers', workerId, {
			service, address: `${workerIp}:${port}`, zone: index === 0 ? 'zone-a' : 'zone-b', version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq: writes, born,
		});
	};

	writeEntry();
	const heartbeat = setInterval(writeEntry, heartbeatMs);
	return () => {
		clearInterval(heartbeat);
		server.close();
		server.closeAllConnections();
	};
}

await runCase(daemonCount, async ({deployment, hasTrouble}) => {
	const {daemons, record, store} = deployment;
	const runs = new Map<string, Run[]>();
	const refused = new Map<string, number>();
	let isSpoiling = false;
	store.put('config', 'main', {
		version: 3,
		routes: [{
			name: 'count', host, path_prefix: '/count/', kind: 'non_idempotent', service, timeout_ms: 2000, goal_ms: 500, priority: 2, attempts: 3,
		}],
		services: [{
			name: service, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	const stops = Array.from({length: workerCount}, (_, index) => startWorker(deployment, index, runs, () => isSpoiling && index === 0));
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);
	const until = deployment.now() + trafficMs;
	const hasRunTwice = (): boolean => [...runs.values()].some(list => list.length > 1);
	const isBroken = (): boolean => [...refused.keys()].some(id => runs.has(id)) || hasRunTwice();
	const isOver = (): boolean => deployment.now() >= until || isBroken();

	async function runClient(index: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		for (let count = 1; !isOver(); count += 1) {
			const id = `client-${index}-${count}`;
			const end = await deployment.call(daemons[index % daemonCount]!, {
				method: 'POST', path: `/count/${id}`, headers: {'Attempt-Id': id, 'Deadline-Ms': '2000'}, body: `body of ${id}`, agent,
			});
			const status = end.kind === 'answer' ? end.status : end.kind;
			record('answered', {id, status});
			if (status === 503 || status === 429) {
				refused.set(id, status);
				await sleep(returnAfterMs);
			}
		}

		agent.destroy();
	}

	const clients = Promise.all(Array.from({length: clientCount}, async (_, index) => runClient(index)));
	if (hasTrouble) {
		while (!isOver()) {
			await sleep(pauseMs);
			isSpoiling = true;
			await sleep(doubledForMs);
			isSpoiling = false;
		}
	}

	await clients;
	await sleep(2 * workMs * queueLength);
	stops.forEach(stop => {
		stop();
	});
	record('requests', {run: runs.size, refused: refused.size});
	return [
		...[...refused].flatMap(([id, status]) => (runs.get(id) ?? []).map(({workerId, atMs}) => `REFUSED: ${id} was answered ${status} and ran at ${workerId}, ${(atMs / 1000).toFixed(3)} s after the start`)),
		...[...runs].filter(([, list]) => list.length > 1).map(([id, list]) => `TWICE: ${id} ran ${list.length} times, at ${list.map(({workerId}) => workerId).join(' and ')}`),
	];
});
