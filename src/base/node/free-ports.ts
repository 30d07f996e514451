/** Finds free TCP ports for daemons that share one machine, such as those of the demo. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/** Below the range from which systems take ports of outgoing connections, which could occupy a port before its daemon does. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

type Held = {
	readonly port: number;
	readonly server: Server;
};

async function hold(address: string, port: number): Promise<Held | undefined> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(undefined);
		});
		server.listen(port, address, () => {
			resolve({port, server});
		});
	});
}

async function holdAny(address: string): Promise<Held> {
	return await hold(address, randomInt(FIRST_PORT, LAST_PORT)) ?? holdAny(address);
}

async function close({server}: Held): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}

/** Returns `count` different ports that are free on an address now. Another process may still take them first. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
	// All are held at once, so that no port is found twice.
	const held = await Promise.all(Array.from({length: count}, async () => holdAny(address)));
	await Promise.all(held.map(async entry => close(entry)));
	return held.map(entry => entry.port);
}
