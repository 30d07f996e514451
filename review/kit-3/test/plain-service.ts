/** Workers of plain services, and callers that send single requests to them. */
import {createServer, request, type Server} from 'node:http';
import type {StoreStandIn} from '../../../platform/test/soak/store-stand-in.js';
import {HOST, type Address, type RecordLine} from './fleet.js';

const PORT = 18_080;
const HEARTBEAT_MS = 1200;
const WORK_MS = 30;

export type PlainWorkerSpec = {
	readonly id: string;
	readonly ip: string;
	readonly zone: string;
	readonly service: string;
	/** Time that a request takes; by default `WORK_MS`. */
	readonly workMs?: number;
};

/** A worker that takes `WORK_MS` for each request. */
export type PlainWorker = {
	readonly id: string;
	readonly start: () => Promise<void>;
	/** Writes to the store that the worker leaves, and goes on serving. */
	readonly drain: () => void;
	readonly close: () => void;
};

/** Creates a worker that is not started. `onRun` is called when it begins to run a request. */
export function createPlainWorker(spec: PlainWorkerSpec, store: StoreStandIn, onRun: (attemptId: string, worker: PlainWorkerSpec) => void): PlainWorker {
	const born = Date.now();
	let sequence = 0;
	let state = 'ready';
	let heartbeat: NodeJS.Timeout | undefined;
	let server: Server | undefined;

	function writeEntry(): void {
		sequence += 1;
		store.put('servers', spec.id, {
			service: spec.service, address: `${spec.ip}:${PORT}`, zone: spec.zone, version: 'v1', slots: 6, state, cold_left_ms: 0, seq: sequence, born,
		});
	}

	return {
		id: spec.id,
		async start() {
			writeEntry();
			heartbeat = setInterval(writeEntry, HEARTBEAT_MS);
			const started = createServer({keepAliveTimeout: 10_000}, (message, response) => {
				message.resume();
				const expected = message.headers['expect-instance'];
				const attemptId = String(message.headers['attempt-id']);
				if (expected !== undefined && expected !== spec.id) {
					response.writeHead(421, {'content-length': 0, 'Instance-Id': spec.id}).end();
					return;
				}

				onRun(attemptId, spec);
				setTimeout(() => {
					response.writeHead(200, {
						'Attempt-Id': attemptId, 'Server-Stamp': `stamp-${attemptId}`, 'Instance-Load': '1,0,6', 'content-length': 2, ...(state === 'draining' && {Connection: 'close'}),
					}).end('ok');
				}, spec.workMs ?? WORK_MS);
			});
			server = started;
			await new Promise<void>((resolve, reject) => {
				started.once('error', reject);
				started.listen(PORT, spec.ip, resolve);
			});
		},
		drain() {
			state = 'draining';
			writeEntry();
		},
		close() {
			clearInterval(heartbeat);
			server?.close();
			server?.closeAllConnections();
		},
	};
}

/** Sends one request over a connection of its own; resolves with the status, 0 if there was no answer. */
export async function sendPlain({ip, port}: Address, path: string, attemptId: string, record: (line: RecordLine) => void): Promise<number> {
	record({
		what: 'sent', attemptId, path, to: ip,
	});
	return new Promise(resolve => {
		const finish = (status: number): void => {
			record({what: 'answered', attemptId, status});
			resolve(status);
		};

		const headers = {
			Host: HOST, 'Attempt-Id': attemptId, 'Deadline-Ms': '2000', 'content-length': '2',
		};
		const call = request({
			host: ip, port, method: 'POST', path, agent: false, timeout: 3000, headers,
		}, response => {
			response.resume();
			response.on('end', () => {
				finish(response.statusCode ?? 0);
			});
		});
		call.on('timeout', () => {
			call.destroy();
		});
		call.on('error', () => {
			finish(0);
		});
		call.end('{}');
	});
}
