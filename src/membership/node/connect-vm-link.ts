/** The shared VM list over Connect. */
import {Code, ConnectError} from '@connectrpc/connect';
import {VmDirectoryService} from '../../peers/common/gen/rosemaryshore/membership/v1/vm_directory_pb.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import type {Vm} from '../../platform/common/vm-list.js';
import {VmLink, type VmDirectory} from '../common/vm-directory.js';

/** Time for one fetch. */
const FETCH_TIMEOUT_MS = 1000;

/** Creates the fetching side. */
export function createConnectVmLink(peers: Peers): VmLink {
	return new (class extends VmLink {
		override async fetch(peer: PeerAddress, digest: string) {
			const answer = await callPeer('fetch VM list', peer, async () =>
				peers.client(VmDirectoryService, peer, FETCH_TIMEOUT_MS).readVms({digest}));
			return answer.map(page => ({digest: page.digest, vms: page.unchanged ? undefined : page.vms.map(({leaving, ...vm}) => readVm(vm, leaving))}));
		}
	})();
}

function readVm(vm: Omit<Vm, 'state'>, leaving: boolean): Vm {
	const {id, address, port, availabilityZone, pool} = vm;
	return {
		id, address, port, availabilityZone, pool, state: leaving ? 'leaving' : 'live',
	};
}

/** Offers the list to other daemons of the zone. */
export function serveVmDirectory(peers: Peers, directory: VmDirectory, monotonic: () => number): void {
	peers.serve(VmDirectoryService, {
		readVms(request) {
			const page = directory.serve(request.digest, monotonic());
			if (page === undefined) {
				throw new ConnectError('this daemon has not read the VM list lately', Code.NotFound);
			}

			const vms = (page.vms ?? []).map(({state, ...vm}) => ({...vm, leaving: state === 'leaving'}));
			return {digest: page.digest, unchanged: page.vms === undefined, vms};
		},
	});
}
