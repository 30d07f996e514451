/** A link to the store whose open connections can go silent for good, without a reset, while new ones work. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import type {Address, StoreLink} from './fleet.js';

type Pair = {readonly client: Socket; readonly target: Socket; isSilent: boolean};

/** The link. */
export type SilentLink = StoreLink & {
	/** Passes nothing on over the connections that are open now; returns their number. */
	readonly silence: () => number;
	readonly close: () => void;
};

/** Creates a link that is not open. */
export function createSilentLink(): SilentLink {
	const pairs = new Set<Pair>();
	let server: Server | undefined;

	function pass(pair: Pair, source: Socket, sink: Socket): void {
		source.on('data', chunk => {
			if (!pair.isSilent) {
				sink.write(chunk);
			}
		});
		source.on('end', () => {
			if (!pair.isSilent) {
				sink.end();
			}
		});
		source.on('error', () => undefined);
		source.on('close', () => {
			pairs.delete(pair);
			if (!pair.isSilent) {
				sink.destroySoon();
			}
		});
	}

	return {
		async open(ip, target) {
			const started = createServer({allowHalfOpen: true, noDelay: true}, client => {
				const pair: Pair = {client, target: connect(target.port, target.ip), isSilent: false};
				pairs.add(pair);
				pass(pair, pair.client, pair.target);
				pass(pair, pair.target, pair.client);
			});
			server = started;
			await new Promise<void>((resolve, reject) => {
				started.once('error', reject);
				started.listen(0, ip, resolve);
			});
			const address = started.address();
			return {ip, port: typeof address === 'object' && address !== null ? address.port : 0};
		},
		silence() {
			pairs.forEach(pair => {
				pair.isSilent = true;
			});
			return pairs.size;
		},
		close() {
			server?.close();
			pairs.forEach(({client, target}) => {
				client.destroy();
				target.destroy();
			});
		},
	};
}
