/** Counts the bytes sent and received on a changing set of sockets, including headers. */
import type {Socket} from 'node:net';

/** Bytes sent and received so far. */
export type Traffic = {
	readonly sent: number;
	readonly received: number;
};

/** Counts the bytes of the sockets added to it. */
export type SocketMeter = {
	readonly add: (socket: Socket) => void;
	readonly read: () => Traffic;
};

function addTraffic(total: Traffic, socket: Socket): Traffic {
	return {sent: total.sent + socket.bytesWritten, received: total.received + socket.bytesRead};
}

/** Creates a meter without sockets. */
export function createSocketMeter(): SocketMeter {
	const openSockets = new Set<Socket>();
	let closedTraffic: Traffic = {sent: 0, received: 0};
	return {
		add(socket) {
			if (openSockets.has(socket)) {
				return;
			}

			openSockets.add(socket);
			socket.once('close', () => {
				openSockets.delete(socket);
				closedTraffic = addTraffic(closedTraffic, socket);
			});
		},
		read: () => [...openSockets].reduce(addTraffic, closedTraffic),
	};
}
