/**
 * Stand-in for the platform's VM list. `PUT /vms` changes it; the fault `lagMs` shows it as it was before. Lists bear an
 * `ETag`, and a reader that names the one shown is answered 304.
 */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import type {Vm} from '../../adapters/common/vm-list.js';
import {createStandin, type Standin} from './standin-server.js';

const vmsSchema = z.array(z.object({
	id: z.string(), address: z.string(), port: z.int(), availabilityZone: z.string(), state: z.enum(['live', 'leaving']), pool: z.string(),
}));

/** Creates a VM list with the given VMs. */
export function createVmListStandin(options: {readonly vms: readonly Vm[]}): Standin {
	const history: Array<{readonly at: number; readonly vms: readonly Vm[]}> = [{at: 0, vms: options.vms}];
	const run = randomUUID();
	const standin = createStandin({
		record: () => ({history}),
		handle(request) {
			if (request.route === 'PUT /vms') {
				history.push({at: Date.now(), vms: vmsSchema.parse(JSON.parse(request.body))});
			}

			const shown = history.findLastIndex(entry => entry.at <= Date.now() - standin.faults().lagMs);
			const headers = {etag: `"${run}-${shown}"`};
			return request.raw.headers['if-none-match'] === headers.etag
				? {status: 304, headers, json: undefined}
				: {headers, json: {vms: history[shown]?.vms ?? []}};
		},
	});
	return standin;
}
