/** Calls between daemons over Connect and Node's `http` module. */
import {Agent, createServer} from 'node:http';
import type {DescService} from '@bufbuild/protobuf';
import {
	createClient, type Client, type ConnectRouter, type ServiceImpl, type Transport,
} from '@connectrpc/connect';
import {connectNodeAdapter, createConnectTransport} from '@connectrpc/connect-node';
import {err, ok, type Result} from 'neverthrow';
import {createNotRun, type Failure} from '../../base/common/failure.js';
import type {PeerAddress, Peers} from '../common/peers.js';
import {createSocketMeter} from './socket-meter.js';

/** Calls to peers, with the server that peers call. */
export type ConnectPeers = Peers & {
	/** Starts to listen. Call it after all services are registered. */
	readonly listen: (self: PeerAddress) => Promise<Result<void, Failure>>;
	readonly dispose: () => void;
};

/** Maximum size of a message between daemons. */
const MAXIMUM_MESSAGE_BYTES = 8 * 1024 * 1024;

/** Creates the peers of a daemon. */
export function createConnectPeers(): ConnectPeers {
	const registrations: Array<(router: ConnectRouter) => void> = [];
	const transportByKey = new Map<string, Transport>();
	const meter = createSocketMeter();
	const agent = new Agent({keepAlive: true});
	const server = createServer();
	server.on('connection', socket => {
		meter.add(socket);
	});

	function getTransport(peer: PeerAddress, timeoutMs: number): Transport {
		const host = peer.address.includes(':') ? `[${peer.address}]` : peer.address;
		const baseUrl = `http://${host}:${peer.peerPort}`;
		const key = `${baseUrl} ${timeoutMs}`;
		const cached = transportByKey.get(key);
		if (cached) {
			return cached;
		}

		const created = createConnectTransport({
			baseUrl,
			httpVersion: '1.1',
			useBinaryFormat: true,
			readMaxBytes: MAXIMUM_MESSAGE_BYTES,
			defaultTimeoutMs: timeoutMs,
			nodeOptions: {agent},
		});
		transportByKey.set(key, created);
		return created;
	}

	return {
		serve<T extends DescService>(service: T, implementation: Partial<ServiceImpl<T>>) {
			registrations.push(router => {
				router.service(service, implementation);
			});
		},
		client: <T extends DescService>(service: T, peer: PeerAddress, timeoutMs: number): Client<T> =>
			createClient(service, getTransport(peer, timeoutMs)),
		traffic: () => meter.read(),
		async listen(self) {
			server.on('request', connectNodeAdapter({
				readMaxBytes: MAXIMUM_MESSAGE_BYTES,
				routes(router) {
					registrations.forEach(register => {
						register(router);
					});
				},
			}));
			return new Promise(resolve => {
				server.once('error', error => {
					resolve(err(createNotRun('unavailable', {step: 'listen for peers', peer: `${self.address}:${self.peerPort}`}, error.message)));
				});
				server.listen(self.peerPort, self.address, () => {
					resolve(ok());
				});
			});
		},
		dispose() {
			agent.destroy();
			server.close();
			server.closeAllConnections();
		},
	};
}
