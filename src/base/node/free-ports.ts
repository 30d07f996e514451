/** Finds free TCP ports for daemons that share one machine, such as those of the demo. */
import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';

/** The range is below the ephemeral ports, because an outgoing connection could take such a port before the daemon binds it. */
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

type BoundPort = {
	readonly port: number;
	readonly server: Server;
};

async function bindPort(address: string, port: number): Promise<BoundPort | undefined> {
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

async function bindRandomPort(address: string): Promise<BoundPort> {
	return await bindPort(address, randomInt(FIRST_PORT, LAST_PORT)) ?? bindRandomPort(address);
}

async function close({server}: BoundPort): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}

/** Returns `count` different ports that are currently free on an address. Another process may bind them before the caller does. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
	// All ports are bound at the same time, so that no port is found twice.
	const boundPorts = await Promise.all(Array.from({length: count}, async () => bindRandomPort(address)));
	await Promise.all(boundPorts.map(async entry => close(entry)));
	return boundPorts.map(entry => entry.port);
}
