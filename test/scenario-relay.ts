/** A TCP relay for the connections that daemons open. A link that is cut holds its bytes back until it is restored. */
import {Buffer} from 'node:buffer';
import {createServer, Socket} from 'node:net';

/** The relay of a scenario. The name of a link is the member that opens connections, a space, and the `address:port` that it calls. */
export type Relay = {
	/** Cuts a link in both directions: immediately if `at` is empty, otherwise from the first chunk that contains `at`. */
	readonly cut: (link: string, at: string) => void;
	/** Restores a link and delivers the bytes that it has held back. */
	readonly heal: (link: string) => void;
	/** Whether a link currently holds bytes back. */
	readonly isHolding: (link: string) => boolean;
	readonly dispose: () => void;
};

type Link = {
	isCut: boolean;
	at: string;
	readonly held: Array<() => void>;
};

/** Starts a relay. */
export function createRelay(port: number): Relay {
	const links = new Map<string, Link>();
	const sockets = new Set<Socket>();

	function find(name: string): Link {
		const link = links.get(name) ?? {isCut: false, at: '', held: []};
		links.set(name, link);
		return link;
	}

	function passOrHold(link: Link, effect: () => void): void {
		if (link.isCut) {
			link.held.push(effect);
			return;
		}

		effect();
	}

	function forward(link: Link, source: Socket, target: Socket, open: () => void): void {
		sockets.add(source);
		source.on('data', chunk => {
			link.isCut ||= link.at !== '' && chunk.includes(link.at);
			passOrHold(link, () => {
				if (target.pending && !target.connecting && !target.destroyed) {
					open();
				}

				target.write(chunk);
			});
		});
		source.on('error', () => undefined);
		source.on('close', () => {
			sockets.delete(source);
			passOrHold(link, () => {
				target.destroySoon();
			});
		});
	}

	const server = createServer(client => {
		let received = Buffer.alloc(0);
		function readName(chunk: Uint8Array): void {
			received = Buffer.concat([received, chunk]);
			const end = received.indexOf('\n');
			if (end === -1) {
				return;
			}

			client.off('data', readName);
			const name = received.subarray(0, end).toString();
			const [address = '', targetPort] = (name.split(' ')[1] ?? '').split(':');
			// The connection to the target is opened only with the first chunk that passes. Otherwise the server could time it out while the request is held back.
			const target = new Socket();
			forward(find(name), client, target, () => {
				target.connect(Number(targetPort), address);
			});
			forward(find(name), target, client, () => undefined);
			if (received.length > end + 1) {
				client.emit('data', received.subarray(end + 1));
			}
		}

		client.on('data', readName);
		client.on('error', () => undefined);
	});
	server.listen(port, '127.0.0.1');
	return {
		cut(name, at) {
			Object.assign(find(name), {isCut: at === '', at});
		},
		heal(name) {
			const link = find(name);
			Object.assign(link, {isCut: false, at: ''});
			link.held.splice(0).forEach(effect => {
				effect();
			});
		},
		isHolding: name => find(name).held.length > 0,
		dispose() {
			server.close();
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
}
