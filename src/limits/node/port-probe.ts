/** Checks whether a process listens on a port. */
import {connect} from 'node:net';
import type {PeerAddress} from '../../peers/common/peers.js';
import type {PortState} from '../common/stopped-daemons.js';

const TIMEOUT_MS = 500;

/** Connects and closes at once. Returns `refused` only when the peer's host refuses the connection; a timeout or another error is `unknown`. */
export async function probePort(peer: PeerAddress, timeoutMs = TIMEOUT_MS): Promise<PortState> {
	return new Promise(resolve => {
		const socket = connect({host: peer.address, port: peer.peerPort});
		const settle = (state: PortState) => {
			socket.destroy();
			resolve(state);
		};

		socket.setTimeout(timeoutMs, () => {
			settle('unknown');
		});
		socket.once('connect', () => {
			settle('open');
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			settle(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
		});
	});
}
