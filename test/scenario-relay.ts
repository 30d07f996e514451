/** A TCP relay on the links from daemons to all that they call; a link that is cut holds its bytes back until it is healed. */
import {Buffer} from 'node:buffer';
import {createServer, Socket} from 'node:net';

/** The relay of a scenario. A link is named by the member that opens connections and the `address:port` that it calls. */
export type Relay = {
	/** Cuts a link in both directions: at once, or with the first piece of a connection that contains `at`. */
	readonly cut: (link: string, at: string) => void;
	/** Delivers what a link has held back, late, and lets it pass again. */
	readonly heal: (link: string) => void;
	/** Whether a link holds bytes back. */
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

	function pass(link: Link, effect: () => void): void {
		if (link.isCut) {
			link.held.push(effect);
			return;
		}

		effect();
	}

	function forward(link: Link, source: Socket, target: Socket, open: () => void): void {
		sockets.add(source);
		source.on('data', piece => {
			link.isCut ||= link.at !== '' && piece.includes(link.at);
			pass(link, () => {
				if (target.pending && !target.connecting && !target.destroyed) {
					open();
				}

				target.write(piece);
			});
		});
		source.on('error', () => undefined);
		source.on('close', () => {
			sockets.delete(source);
			pass(link, () => {
				target.destroySoon();
			});
		});
	}

	const server = createServer(client => {
		let head = Buffer.alloc(0);
		function readName(piece: Uint8Array): void {
			head = Buffer.concat([head, piece]);
			const end = head.indexOf('\n');
			if (end === -1) {
				return;
			}

			client.off('data', readName);
			const name = head.subarray(0, end).toString();
			const [address = '', targetPort] = (name.split(' ')[1] ?? '').split(':');
			// Opened with the first piece that passes, so that a request held back meets a server that has not timed it out.
			const target = new Socket();
			forward(find(name), client, target, () => {
				target.connect(Number(targetPort), address);
			});
			forward(find(name), target, client, () => undefined);
			if (head.length > end + 1) {
				client.emit('data', head.subarray(end + 1));
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
