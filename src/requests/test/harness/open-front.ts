/** A front server on a real socket for tests, and HTTP calls to it. */
import {Buffer} from 'node:buffer';
import {request as startRequest, type IncomingHttpHeaders} from 'node:http';
import {ok} from 'neverthrow';
import {createSystemClock} from '../../../base/node/system-clock.js';
import {silentLog} from '../../../kernel/common/log.js';
import {silentMetrics} from '../../../kernel/common/metrics.js';
import {createTimerLoop} from '../../../kernel/node/timer-loop.js';
import {createFrontServer, type FrontOptions, type FrontServer} from '../../node/front-server.js';

export const address = '127.0.0.1';

/** A complete response. */
export type Answer = {readonly status: number; readonly text: string; readonly headers: IncomingHttpHeaders};

const clock = createSystemClock();
export const realTime = {clock, loop: createTimerLoop(clock, () => 0.5, silentLog)};

/** Creates a front server that is not listening yet and accepts every caller. */
export function createOpenFront(options: Partial<FrontOptions> = {}): FrontServer {
	return createFrontServer({
		address,
		port: 0,
		maximumBodyBytes: 1000,
		headerTimeoutMs: 300,
		deadlineMs: 5000,
		drainMs: 3000,
		authenticate: access => ok(access === 'customer'
			? {
				kind: 'customer', plan: {
					name: 'p', customer: 'c', weight: 1, keyHashes: [], trainers: [],
				},
			}
			: {kind: 'anyone'}),
		...realTime,
		log: silentLog,
		metrics: silentMetrics,
		...options,
	});
}

/** Sends a request on a new connection. */
export async function callFront(port: number, method: string, path: string, body = '', headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
	return new Promise((resolve, reject) => {
		const request = startRequest({
			host: address, port, method, path, headers, agent: false,
		}, response => {
			const chunks: Uint8Array[] = [];
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			response.on('end', () => {
				resolve({status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString(), headers: response.headers});
			});
		});
		request.on('error', reject);
		request.end(body);
	});
}
