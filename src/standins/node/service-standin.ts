/** Stand-in for a plain service: idempotent lookups, and a stock count (`POST /stock/count`) that bills each time it runs. */
import {setTimeout as sleep} from 'node:timers/promises';
import {hashToHex} from '../../base/common/hash.js';
import {createStandin, type Standin} from './standin-server.js';

/** One execution of the billing call. */
export type ServiceRun = {
	readonly worker: string;
	readonly requestId: string;
	readonly body: string;
	readonly at: number;
};

/** Creates a stand-in for a worker of a plain service. */
export function createServiceStandin(options: {readonly id: string; readonly slots: number; readonly workMs: number}): Standin {
	const runs: ServiceRun[] = [];
	const calls: unknown[] = [];
	let running = 0;

	const standin = createStandin({
		record: () => ({id: options.id, runs, calls}),
		async handle(request) {
			if (request.route === 'GET /load') {
				return {
					json: {
						running, queued: Math.max(0, running - options.slots), slots: options.slots, tokensPerSecond: 0, ageMs: 0, uptimeMs: standin.uptimeMs(),
					},
				};
			}

			if (request.route === 'GET /runs') {
				return {json: {runs}};
			}

			const requestId = String(request.raw.headers['x-request-id'] ?? '');
			const {route, body} = request;
			calls.push({
				requestId, route, body, at: Date.now(),
			});
			const isBillingCall = route === 'POST /stock/count';
			if (isBillingCall) {
				runs.push({
					worker: options.id, requestId, body, at: Date.now(),
				});
			}

			const {crashMarker} = standin.faults();
			if (crashMarker !== '' && body.includes(crashMarker)) {
				standin.crash();
				return undefined;
			}

			const serial = runs.length;
			running += 1;
			await sleep(options.workMs);
			running -= 1;
			return {headers: {'x-request-id': requestId}, json: isBillingCall ? {worker: options.id, serial, echo: body} : {route, answer: hashToHex(`${route}/${body}`)}};
		},
	});
	return standin;
}
