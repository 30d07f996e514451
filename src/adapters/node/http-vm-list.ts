/** The VM list over HTTP. */
import {ok} from 'neverthrow';
import {z} from 'zod';
import type {RemotePeer} from '../common/adapters.js';
import {VmList, type Vm} from '../common/vm-list.js';
import {readJson} from './http-answers.js';
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

/** A list with the tag under which the peer knows it. */
type Tagged = {
	readonly tag: string;
	readonly vms: readonly Vm[];
};

const NOT_MODIFIED = 304;

/** Creates the VM list at a peer. A peer that tags its lists is asked only for one that differs from the last. */
export function createHttpVmList(remote: RemotePeer): VmList {
	const client = createHttpClient(remote.url);
	let last: Tagged | undefined;

	return new (class extends VmList {
		override async list() {
			const known = last;
			const answer = await client.call({
				step, method: 'GET', path: '/vms', timeoutMs: remote.timeoutMs, headers: known ? {'if-none-match': known.tag} : {},
			});
			return answer.andThen(whole => {
				if (known && whole.status === NOT_MODIFIED) {
					return ok(known.vms);
				}

				return readJson(whole, vmPage, step, client.peer).map(({vms}) => {
					const {etag} = whole.headers;
					last = etag === undefined ? undefined : {tag: etag, vms};
					return vms;
				});
			});
		}
	})();
}
