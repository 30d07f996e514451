/**
 * Stand-in for the platform's VM list. `PUT /vms` replaces the list; with the fault `lagMs`, readers get the list as it was that
 * long before. Responses have an `ETag`; a request whose `If-None-Match` equals it gets status 304.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import type {Vm} from '../../adapters/common/vm-list.js';
import {createStandin, type Standin} from './standin-server.js';

const vmsSchema = z.array(z.object({
	id: z.string(), address: z.string(), port: z.int(), availabilityZone: z.string(), state: z.enum(['live', 'leaving']), pool: z.string(),
}));

/** Creates a stand-in for the VM list, with the given VMs at the start. */
export function createVmListStandin(options: {readonly vms: readonly Vm[]}): Standin {
	const history: Array<{readonly at: number; readonly vms: readonly Vm[]}> = [{at: 0, vms: options.vms}];
	const runId = randomUUID();
	const standin = createStandin({
		record: () => ({history}),
		handle(request) {
			if (request.route === 'PUT /vms') {
				history.push({at: Date.now(), vms: vmsSchema.parse(JSON.parse(request.body))});
			}

			const shownIndex = history.findLastIndex(entry => entry.at <= Date.now() - standin.faults().lagMs);
			const headers = {etag: `"${runId}-${shownIndex}"`};
			return request.raw.headers['if-none-match'] === headers.etag
				? {status: 304, headers, json: undefined}
				: {headers, json: {vms: history[shownIndex]?.vms ?? []}};
		},
	});
	return standin;
}
