/**
 * Clients that the operators don't control announce bodies of legal size to two machines, send an eighth of them, and stay. The script acts as the
 * platform, which ends a process that uses more memory than its machine has, and starts it again.
 */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {
	HOST, MEMORY_MB, POOL, sleep, startFleet, type Address,
} from './fleet.js';
import {createPlainWorker, sendPlain} from './plain-service.js';

const hasTrouble = process.env.TROUBLE !== '0';
const folder = process.argv[2] ?? '.';
const CONNECTIONS = 45;
/** Half of `max_body_bytes`. */
const ANNOUNCED_BYTES = 16 * 1024 * 1024;
/** An eighth of the body but 70 KB, and 300 KB more after a pause. */
const FIRST_BYTES = (ANNOUNCED_BYTES / 8) - 70_000;
const SECOND_BYTES = 300_000;
const PAUSE_MS = 1500;
const ROUNDS = 5;
const ROUND_MS = 10_000;
const ROUND_END_MS = 3000;
const MEMORY_CHECK_MS = 25;
const CALLERS_PER_SECOND = 5;
/** Machines whose processes end by themselves, and how often, from which on the rule is broken. */
const FAULTY_MACHINES = 2;
const FAULTY_ENDS = 3;

/** Sends an eighth of each body, and after a pause a little more of all of them at once. */
async function sendBodies({ip, port}: Address, name: string): Promise<readonly Socket[]> {
	const sockets = Array.from({length: CONNECTIONS}, (_, index) => {
		const socket = connect(port, ip);
		socket.on('error', () => undefined);
		socket.on('data', () => undefined);
		socket.write(`POST /lookup/${name} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${name}-${index}\r\nDeadline-Ms: 20000\r\nContent-Length: ${ANNOUNCED_BYTES}\r\n\r\n`);
		socket.write(Buffer.alloc(FIRST_BYTES, 'x'));
		return socket;
	});
	await sleep(PAUSE_MS);
	const more = Buffer.alloc(SECOND_BYTES, 'x');
	sockets.forEach(socket => {
		socket.write(more);
	});
	return sockets;
}

async function main(): Promise<number> {
	const fleet = await startFleet([{
		name: 'lookup', host: HOST, path_prefix: '/lookup/', kind: 'idempotent', timeout_ms: 2000, goal_ms: 400, priority: 2, service: POOL, attempts: 2,
	}]);
	const workers = ['zone-a', 'zone-b', 'zone-c'].map((zone, index) => createPlainWorker({
		id: `i-${index + 1}`, ip: `${fleet.network}.${101 + index}`, zone, service: POOL,
	}, fleet.store, (attemptId, {id}) => {
		fleet.record({what: 'run', worker: id, attemptId});
	}));
	const endsByDaemon = new Map<string, number>();
	const peakByDaemon = new Map<string, number>();
	const restarting = new Set<string>();
	const checkMemory = (name: string): void => {
		const memoryMb = Math.round(fleet.readMemoryMb(name));
		peakByDaemon.set(name, Math.max(memoryMb, peakByDaemon.get(name) ?? 0));
		if (memoryMb <= MEMORY_MB || restarting.has(name)) {
			return;
		}

		restarting.add(name);
		endsByDaemon.set(name, (endsByDaemon.get(name) ?? 0) + 1);
		fleet.record({what: 'process uses more memory than its machine has, and is ended', daemon: name, memoryMb});
		void fleet.restart(name).then(() => {
			restarting.delete(name);
		});
	};

	const monitor = setInterval(() => {
		fleet.daemons.forEach(({name}) => {
			checkMemory(name);
		});
	}, MEMORY_CHECK_MS);
	const sockets: Socket[] = [];
	try {
		await Promise.all(workers.map(async worker => worker.start()));
		await fleet.waitUntilReady();
		await sleep(3000);
		const calls: Array<Promise<number>> = [];
		const from = Date.now();
		let rounds = 0;
		while (Date.now() - from < ROUNDS * ROUND_MS) {
			if (hasTrouble && Date.now() - from >= rounds * ROUND_MS) {
				const round = rounds;
				rounds += 1;
				fleet.record({
					what: 'bodies are announced', connections: CONNECTIONS, announcedBytes: ANNOUNCED_BYTES, sentBytes: FIRST_BYTES + SECOND_BYTES,
				});
				fleet.daemons.slice(0, FAULTY_MACHINES).forEach(({name, front}) => {
					void sendBodies(front, `untrusted-${name}-${round}`).then(async opened => {
						sockets.push(...opened);
						await sleep(ROUND_END_MS);
						opened.forEach(socket => {
							socket.destroy();
						});
					});
				});
			}

			fleet.daemons.forEach(({front}) => {
				calls.push(sendPlain(front, `/lookup/${calls.length}`, `caller-${calls.length}`, fleet.record));
			});
			await sleep(1000 / CALLERS_PER_SECOND);
		}

		const statuses = await Promise.all(calls);
		const served = statuses.filter(status => status === 200).length;
		const faulty = [...endsByDaemon.values()].filter(ends => ends >= FAULTY_ENDS).length;
		const describe = (values: ReadonlyMap<string, number>): string => [...values].map(([name, value]) => `${name} ${value}`).join(', ');
		const summary = `memory limit ${MEMORY_MB} MB, peaks: ${describe(peakByDaemon)}; processes ended: ${describe(endsByDaemon)}; ${served} of ${statuses.length} requests of ordinary callers answered 200`;
		fleet.record({what: 'summary', summary});
		console.log(summary);
		return faulty >= FAULTY_MACHINES ? 1 : (served > statuses.length / 2 ? 0 : 2);
	} finally {
		clearInterval(monitor);
		sockets.forEach(socket => {
			socket.destroy();
		});
		workers.forEach(worker => {
			worker.close();
		});
		fleet.writeRecord(path.join(folder, 'record.txt'));
		await fleet.close();
	}
}

try {
	process.exitCode = await main();
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
