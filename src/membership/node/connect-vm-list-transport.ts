/** Transport of the shared VM list over Connect. */
import {Code, ConnectError} from '@connectrpc/connect';
import {VmDirectoryService, type ReadVmsResponse} from '../../peers/common/gen/rosemaryshore/membership/v1/vm_directory_pb.js';
import {callPeer} from '../../peers/common/peer-call.js';
import type {PeerAddress, Peers} from '../../peers/common/peers.js';
import type {Vm} from '../../adapters/common/vm-list.js';
import {VmListTransport, type VmDirectory, type VmPage} from '../common/vm-directory.js';

/** Time limit of one fetch. */
const FETCH_TIMEOUT_MS = 1000;

/** Creates the side that fetches the list from other daemons. */
export function createConnectVmListTransport(peers: Peers): VmListTransport {
	return new (class extends VmListTransport {
		override async fetch(peer: PeerAddress, digest: string) {
			const fetched = await callPeer('fetch VM list', peer, async () =>
				peers.client(VmDirectoryService, peer, FETCH_TIMEOUT_MS).readVms({digest, acceptsChanges: true}));
			return fetched.map(response => readPage(response));
		}
	})();
}

function readPage({digest, unchanged, changesOnly, vms, removed}: ReadVmsResponse): VmPage {
	if (unchanged) {
		return {kind: 'unchanged', digest};
	}

	const decoded = vms.map(({leaving, ...vm}) => readVm(vm, leaving));
	return changesOnly
		? {
			kind: 'changes', digest, changed: decoded, removed,
		}
		: {kind: 'whole', digest, vms: decoded};
}

function readVm(vm: Omit<Vm, 'state'>, leaving: boolean): Vm {
	const {id, address, port, availabilityZone, pool} = vm;
	return {
		id, address, port, availabilityZone, pool, state: leaving ? 'leaving' : 'live',
	};
}

function writeVm({state, ...vm}: Vm) {
	return {...vm, leaving: state === 'leaving'};
}

function writePage(page: VmPage) {
	const {digest} = page;
	if (page.kind === 'unchanged') {
		return {digest, unchanged: true};
	}

	return page.kind === 'whole'
		? {digest, vms: page.vms.map(vm => writeVm(vm))}
		: {
			digest, changesOnly: true, vms: page.changed.map(vm => writeVm(vm)), removed: [...page.removed],
		};
}

/** Serves the list to the other daemons of the zone. */
export function serveVmDirectory(peers: Peers, directory: VmDirectory, monotonic: () => number): void {
	peers.serve(VmDirectoryService, {
		readVms(request) {
			const page = directory.serve(request.digest, request.acceptsChanges, monotonic());
			if (page === undefined) {
				throw new ConnectError('this daemon has no VM list that it recently read from the platform', Code.NotFound);
			}

			return writePage(page);
		},
	});
}
