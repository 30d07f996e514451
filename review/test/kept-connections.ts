/** Clients that keep their connections, sound workers, and the count of requests that end without an answer although a sound worker got them. */
import {Buffer} from 'node:buffer';
import {Agent, createServer, type IncomingMessage} from 'node:http';
import {
	bounds, host, sleep, type CaseContext, type Daemon, type Deployment,
} from './deployment.js';

/** Daemons that serve callers. */
export const daemonCount = 3;
const service = 'plain';
const workerCount = 3;
const slots = 6;
/** Mean work of a request, as in the sheets, and time between the events of a stream. */
const workMs = 114;
const eventIntervalMs = 20;
const eventCount = 15;
const clientsOfKind = {lookup: 12, stream: 9} as const;
const trafficMs = 75_000;
const heartbeatMs = 1200;
const restartAfterMs = 1000;
/** Requests on kept connections that the rule lets end without an answer. */
const allowedLost = 3;

type Run = {readonly workerId: string; readonly isSound: boolean};
type Lost = {readonly id: string; readonly daemon: string; readonly workerId: string};

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/** The entry of a worker. */
export function describeWorker({workerIp, workerPort}: Deployment, index: number, {seq, born}: {readonly seq: number; readonly born: number}) {
	return {
		service, address: `${workerIp}:${workerPort(index)}`, zone: `zone-${'abc'.at(index)!}`, version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq, born,
	};
}

/** Starts a worker, which records what it runs; returns how to stop it. */
function startWorker(deployment: Deployment, index: number, runs: Map<string, Run>, {faultyWorker, isSpoiled}: Trouble): () => void {
	const {store, random, record, workerIp} = deployment;
	const workerId = `${service}-${index}`;
	const port = deployment.workerPort(index);
	const born = Date.now();
	let writes = 0;
	const server = createServer({keepAliveTimeout: 5000}, (request, response) => {
		void readBody(request).then(async body => {
			const requestId = String(request.headers['attempt-id']);
			const isStream = request.url?.startsWith('/stream/') === true;
			const isSpoiledAnswer = isSpoiled(index);
			runs.set(requestId, {workerId, isSound: index !== faultyWorker});
			record('run', {requestId, workerId, ...(isSpoiledAnswer && {isSpoiled: true})});
			const head = {
				'Attempt-Id': requestId, 'Server-Stamp': `stamp-${requestId}`, 'Instance-Load': `1,0,${slots}`, ...(isStream && {'content-type': 'text/event-stream'}),
			};
			if (!isStream) {
				await sleep(workMs * (0.5 + random()));
			}

			if (isSpoiledAnswer) {
				// The dash in the name of a header has become a space.
				const lines = Object.entries({...head, 'transfer-encoding': 'chunked'}).map(([name, value]) => `${name === 'Instance-Load' ? 'Instance Load' : name}: ${value}\r\n`);
				request.socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
				return;
			}

			if (!isStream) {
				response.writeHead(200, head).end(`${requestId} ${body}`);
				return;
			}

			response.writeHead(200, head);
			for (let event = 1; event <= eventCount && !response.destroyed; event += 1) {
				response.write(`id: ${event}\ndata: ${requestId}.${event}\n\n`);
				await sleep(eventIntervalMs);
			}

			response.end();
		});
	});
	server.listen(port, workerIp);
	const writeEntry = (): void => {
		writes += 1;
		store.put('servers', workerId, describeWorker(deployment, index, {seq: writes, born}));
	};

	writeEntry();
	const heartbeat = setInterval(writeEntry, heartbeatMs);
	return () => {
		clearInterval(heartbeat);
		server.close();
		server.closeAllConnections();
	};
}

/** The disruption of a case. */
export type Trouble = {
	/** Index of the worker that spoils answers, if there is one. The others are sound. */
	readonly faultyWorker: number | undefined;
	/** Whether a worker spoils the answer that it gives now. */
	readonly isSpoiled: (workerIndex: number) => boolean;
	/** Runs the disruption until `isOver`. */
	readonly run: (isOver: () => boolean) => Promise<void>;
};

/** Lets clients call the daemons while the disruption runs; returns what broke the rule. */
export async function countUnanswered({deployment, hasTrouble}: CaseContext, trouble: Trouble): Promise<readonly string[]> {
	const {daemons, record, store} = deployment;
	const callerDaemons = daemons.slice(0, daemonCount);
	const runs = new Map<string, Run>();
	const lost: Lost[] = [];
	const ownEnds = new Map<string, number>();
	const route = {
		host, service, timeout_ms: 5000, goal_ms: 500, priority: 2, attempts: 3,
	};
	store.put('config', 'main', {
		version: 3,
		routes: [
			{
				...route, name: 'lookup', path_prefix: '/lookup/', kind: 'idempotent',
			},
			{
				...route, name: 'stream', path_prefix: '/stream/', kind: 'stream',
			},
		],
		services: [{
			name: service, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
	});
	const stops = Array.from({length: workerCount}, (_, index) => startWorker(deployment, index, runs, trouble));
	daemons.forEach(daemon => {
		daemon.start();
	});
	if (!await deployment.awaitReady()) {
		throw new Error('the daemons are not ready');
	}

	await sleep(bounds.stable_ms);
	const until = deployment.now() + trafficMs;
	const isOver = (): boolean => deployment.now() >= until || lost.length > allowedLost;

	/** Starts daemons again that have ended by themselves, as the platform does. */
	async function restartEnded(): Promise<void> {
		while (!isOver()) {
			const ended = callerDaemons.filter(daemon => !daemon.isRunning());
			if (ended.length > 0) {
				await sleep(restartAfterMs);
			}

			ended.forEach(daemon => {
				ownEnds.set(daemon.name, (ownEnds.get(daemon.name) ?? 0) + 1);
				daemon.start();
			});
			await sleep(100);
		}
	}

	async function runClient(kind: keyof typeof clientsOfKind, index: number): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		const daemon: Daemon = callerDaemons[index % daemonCount]!;
		let isKept = false;
		for (let count = 1; !isOver(); count += 1) {
			const id = `${kind}-${index}-${count}`;
			const end = await deployment.call(daemon, {
				method: 'POST', path: `/${kind}/${id}`, headers: {'Attempt-Id': id, 'Deadline-Ms': '5000'}, body: `body of ${id}`, agent, timeoutMs: 5500,
			});
			const run = runs.get(id);
			record('answered', {
				id, daemon: daemon.name, kind: end.kind, status: end.kind === 'left' ? undefined : end.status, isKept,
			});
			if (end.kind === 'broken' && end.status === undefined && isKept && run?.isSound === true) {
				lost.push({id, daemon: daemon.name, workerId: run.workerId});
			}

			isKept = end.kind === 'answer' && end.headers.connection !== 'close';
			await sleep(isKept ? 0 : 300);
		}

		agent.destroy();
	}

	const clients = Promise.all([
		restartEnded(),
		...(['lookup', 'stream'] as const).flatMap(kind => Array.from({length: clientsOfKind[kind]}, async (_, index) => runClient(kind, index))),
	]);
	if (hasTrouble) {
		await trouble.run(isOver);
	}

	await clients;
	stops.forEach(stop => {
		stop();
	});
	record('ends', {ownEnds: [...ownEnds]});
	const running = callerDaemons.filter(daemon => daemon.isRunning()).length;
	return lost.length > allowedLost
		? [
			...lost.map(({id, daemon, workerId}) => `LOST: ${daemon} passed ${id} from a kept connection on to ${workerId}, which is sound, and closed the connection without an answer`),
			`${daemonCount - running} of ${daemonCount} daemons have ended by themselves and are down now, ${[...ownEnds.values()].reduce((sum, count) => sum + count, 0)} were started again`,
		]
		: [];
}
