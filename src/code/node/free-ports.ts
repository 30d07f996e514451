/** Finds free TCP ports for daemons that share one machine, such as those of the demo. */
import {createServer, type AddressInfo, type Server} from 'node:net';

async function listen(address: string): Promise<Server> {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, address, () => {
			resolve(server);
		});
	});
}

function portOf(server: Server): number {
	// A server that listens on TCP has an address with a port.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	return (server.address() as AddressInfo).port;
}

async function close(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
}

/** Returns `count` different ports that are free on an address now. Another process may still take them first. */
export async function findFreePorts(address: string, count: number): Promise<readonly number[]> {
	// All are open at once, so that the system does not give one out twice.
	const servers = await Promise.all(Array.from({length: count}, async () => listen(address)));
	const ports = servers.map(server => portOf(server));
	await Promise.all(servers.map(async server => close(server)));
	return ports;
}
