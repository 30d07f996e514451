/** Typed calls between daemons. Each feature defines a service in `proto/` and registers its side here. */
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
	/** Offers a service to peers. Must be called while contributions start. */
	readonly serve: <T extends DescService>(service: T, implementation: Partial<ServiceImpl<T>>) => void;
	/** Returns a client of a peer's service. Connections are kept and shared. */
	readonly client: <T extends DescService>(service: T, peer: PeerAddress, timeoutMs: number) => Client<T>;
	/** Bytes on connections that peers opened to this daemon so far, headers included. */
	readonly traffic: () => {readonly sent: number; readonly received: number};
};

/** The daemon's peers. */
export const peersKey = createServiceKey<Peers>('peers');
