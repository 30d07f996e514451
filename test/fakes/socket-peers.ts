/** Peers of two daemons over real sockets, and addresses at which calls fail. */
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import {findFreePorts} from '../../src/base/node/free-ports.js';
import type {Peers} from '../../src/peers/common/peers.js';
import {createConnectPeers} from '../../src/peers/node/connect-peers.js';

const address = '127.0.0.1';

/** Opens a calling side, and a receiving side that provides the services that `serve` registers. */
export async function openSocketPeers(serve: (peers: Peers) => void) {
	const [servingPort = 0, emptyPort = 0, silentPort = 0, closedPort = 0] = await findFreePorts(address, 4);
	const caller = createConnectPeers();
	const serving = createConnectPeers();
	const empty = createConnectPeers();
	serve(serving);
	await serving.listen({address, peerPort: servingPort});
	await empty.listen({address, peerPort: emptyPort});
	const sockets: Socket[] = [];
	const silent = createServer(socket => {
		sockets.push(socket.on('error', () => undefined));
	}).listen(silentPort, address);
	await once(silent, 'listening');
	return {
		caller,
		serving: {address, peerPort: servingPort},
		/** Listens, but provides no service. */
		empty: {address, peerPort: emptyPort},
		/** Accepts connections and never answers. */
		silent: {address, peerPort: silentPort},
		/** Does not listen. */
		closed: {address, peerPort: closedPort},
		/** Closes the receiving side with all its connections. */
		endServing() {
			serving.dispose();
		},
		close() {
			[caller, serving, empty].forEach(peers => {
				peers.dispose();
			});
			sockets.forEach(socket => {
				socket.destroy();
			});
			silent.close();
		},
	};
}
