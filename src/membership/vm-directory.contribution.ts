/** Registers the VM list that the daemons of an availability zone share. */
import {registerContribution} from '../kernel/common/registry.js';
import {peersKey} from '../peers/common/peers.js';
import {vmListKey} from '../adapters/common/vm-list.js';
import {membershipKey} from './common/membership.js';
import {createVmDirectory, vmDirectoryKey} from './common/vm-directory.js';
import {createConnectVmListTransport, serveVmDirectory} from './node/connect-vm-list-transport.js';

registerContribution({
	id: 'vm-directory',
	requires: ['platform', 'peers', 'membership'],
	start(context) {
		const peers = context.use(peersKey);
		const {clock} = context;
		const directory = createVmDirectory({
			membership: context.use(membershipKey),
			platformList: context.use(vmListKey),
			transport: createConnectVmListTransport(peers),
			monotonic: clock.monotonic,
			wall: clock.wall,
		});
		serveVmDirectory(peers, directory, clock.monotonic);
		context.provide(vmDirectoryKey, directory);
		return directory;
	},
});
