/** Counts the bytes of a changing set of sockets, headers included. */
import type {Socket} from 'node:net';

/** Bytes carried so far. */
export type Traffic = {
	readonly sent: number;
	readonly received: number;
};

/** Counts bytes over the sockets given to it. */
export type SocketMeter = {
	readonly add: (socket: Socket) => void;
	readonly read: () => Traffic;
};

function sum(total: Traffic, socket: Socket): Traffic {
	return {sent: total.sent + socket.bytesWritten, received: total.received + socket.bytesRead};
}

/** Creates a meter over no sockets. */
export function createSocketMeter(): SocketMeter {
	const open = new Set<Socket>();
	let closed: Traffic = {sent: 0, received: 0};
	return {
		add(socket) {
			if (open.has(socket)) {
				return;
			}

			open.add(socket);
			socket.once('close', () => {
				open.delete(socket);
				closed = sum(closed, socket);
			});
		},
		read: () => [...open].reduce(sum, closed),
	};
}
