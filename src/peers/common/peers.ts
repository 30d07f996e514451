/** Typed calls between daemons. Each feature defines a service in `proto/` and registers its implementation with `serve`. */
import type {DescService} from '@bufbuild/protobuf';
import type {Client, ServiceImpl} from '@connectrpc/connect';
import {createServiceKey} from '../../kernel/common/contribution.js';

/** The address at which a daemon listens for its peers. */
export type PeerAddress = {
	readonly address: string;
	readonly peerPort: number;
};

/** Calls between daemons. */
export type Peers = {
	/** Registers a service that peers can call. Must be called while contributions start. */
	readonly serve: <T extends DescService>(service: T, implementation: Partial<ServiceImpl<T>>) => void;
	/** Returns a client of a peer's service. Connections are persistent and shared. */
	readonly client: <T extends DescService>(service: T, peer: PeerAddress, timeoutMs: number) => Client<T>;
	/** Bytes sent and received so far on connections that peers opened to this daemon, including headers. */
	readonly traffic: () => {readonly sent: number; readonly received: number};
};

/** Service key of the daemon's calls to peers. */
export const peersKey = createServiceKey<Peers>('peers');
