/** The VM list over HTTP. */
import {z} from 'zod';
import type {RemotePeer} from '../common/adapters.js';
import {VmList} from '../common/vm-list.js';
import {callJson, createHttpClient} from './http-client.js';

const vmPage = z.object({
	vms: z.array(z.object({
		id: z.string(),
		address: z.string(),
		port: z.int(),
		availabilityZone: z.string(),
		state: z.enum(['live', 'leaving']),
		pool: z.string(),
	})),
});

/** Creates the VM list at a peer. */
export function createHttpVmList(remote: RemotePeer): VmList {
	const client = createHttpClient(remote.url);
	return new (class extends VmList {
		override async list() {
			const listed = await callJson(client, {
				step: 'list VMs', method: 'GET', path: '/vms', timeoutMs: remote.timeoutMs,
			}, vmPage);
			return listed.map(page => page.vms);
		}
	})();
}
