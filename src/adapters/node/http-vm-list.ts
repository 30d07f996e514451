/** The VM list over HTTP. */
import {ok} from 'neverthrow';
import {z} from 'zod';
import type {RemotePeer} from '../common/adapters.js';
import {VmList, type Vm} from '../common/vm-list.js';
import {readJson} from './http-responses.js';
import {createHttpClient} from './http-client.js';

const step = 'list VMs';

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

/** A list with its entity tag. */
type TaggedList = {
	readonly etag: string;
	readonly vms: readonly Vm[];
};

const NOT_MODIFIED = 304;

/** Creates the VM list at a peer. If the peer sends entity tags, an unchanged list is not transferred again. */
export function createHttpVmList(remote: RemotePeer): VmList {
	const client = createHttpClient(remote.url);
	let lastList: TaggedList | undefined;

	return new (class extends VmList {
		override async list() {
			const knownList = lastList;
			const result = await client.call({
				step, method: 'GET', path: '/vms', timeoutMs: remote.timeoutMs, headers: knownList ? {'if-none-match': knownList.etag} : {},
			});
			return result.andThen(response => {
				if (knownList && response.status === NOT_MODIFIED) {
					return ok(knownList.vms);
				}

				return readJson(response, vmPage, step, client.peer).map(({vms}) => {
					const {etag} = response.headers;
					lastList = etag === undefined ? undefined : {etag, vms};
					return vms;
				});
			});
		}
	})();
}
