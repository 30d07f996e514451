/**
 * Many clients that the operators don't control send chunked bodies in chunks of one byte to one machine, stop short of their end and stay. Ordinary
 * callers of that machine send their requests beside them.
 */
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {
	HOST, POOL, sleep, startFleet, type Address,
} from './fleet.js';
import {createPlainWorker, sendPlain} from './plain-service.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = process.argv[2] ?? 'record.txt';
const CONNECTIONS = 300;
/** Bytes of each body on the wire; a chunk of one byte takes six. */
const BODY_BYTES = 120_000;
/** Time over which the bodies are sent, so that the link of the machine (1,000 Mbit/s) is never full. */
const SENDING_MS = 2000;
const WRITES = 10;
const TIMEOUT_MS = 2000;
const LATE_MS = 500;
const CALLERS_PER_SECOND = 20;
const TRAFFIC_MS = 16_000;
const CHUNK = '1\r\nx\r\n';

async function sendBody({ip, port}: Address, sockets: Socket[], name: string): Promise<void> {
	const socket = connect(port, ip);
	sockets.push(socket);
	socket.on('error', () => undefined);
	socket.on('data', () => undefined);
	socket.write(`POST /lookup/${name} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${name}\r\nDeadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n`);
	const part = CHUNK.repeat(Math.ceil(BODY_BYTES / WRITES / CHUNK.length));
	for (let index = 0; index < WRITES; index += 1) {
		socket.write(part);
		await sleep(SENDING_MS / WRITES);
	}
}

async function main(): Promise<number> {
	const fleet = await startFleet([{
		name: 'lookup', host: HOST, path_prefix: '/lookup/', kind: 'idempotent', timeout_ms: TIMEOUT_MS, goal_ms: 400, priority: 2, service: POOL, attempts: 2,
	}]);
	const workers = ['zone-a', 'zone-b', 'zone-c'].map((zone, index) => createPlainWorker({
		id: `i-${index + 1}`, ip: `${fleet.network}.${101 + index}`, zone, service: POOL,
	}, fleet.store, (attemptId, {id}) => {
		fleet.record({what: 'run', worker: id, attemptId});
	}));
	const sockets: Socket[] = [];
	try {
		await Promise.all(workers.map(async worker => worker.start()));
		await fleet.waitUntilReady();
		await sleep(5000);
		const target = fleet.daemons[0]!.front;
		const calls: Array<Promise<{readonly status: number; readonly tookMs: number}>> = [];
		const from = Date.now();
		let hasBegun = false;
		while (Date.now() - from < TRAFFIC_MS) {
			if (hasTrouble && !hasBegun && Date.now() - from > 2000) {
				hasBegun = true;
				fleet.record({what: 'bodies are sent', connections: CONNECTIONS, bytesEach: BODY_BYTES});
				Array.from({length: CONNECTIONS}, (_, index) => index).forEach(index => {
					void sendBody(target, sockets, `untrusted-${index}`);
				});
			}

			const sentAt = Date.now();
			calls.push(sendPlain(target, `/lookup/${calls.length}`, `caller-${calls.length}`, fleet.record).then(status => ({status, tookMs: Date.now() - sentAt})));
			await sleep(1000 / CALLERS_PER_SECOND);
		}

		const ended = await Promise.all(calls);
		const unanswered = ended.filter(({status, tookMs}) => status === 0 || tookMs > TIMEOUT_MS);
		const late = unanswered.filter(({status, tookMs}) => status === 0 || tookMs > TIMEOUT_MS + LATE_MS);
		const slowest = Math.max(...ended.filter(({status}) => status !== 0).map(({tookMs}) => tookMs));
		const summary = `${ended.length} requests of ordinary callers, ${ended.filter(({status}) => status === 200).length} answered 200, ${unanswered.length} unanswered after ${TIMEOUT_MS} ms, ${late.length} of these still so ${LATE_MS} ms later; the slowest answer took ${slowest} ms`;
		fleet.record({what: 'summary', summary});
		console.log(summary);
		return late.length > 10 && late.length > unanswered.length / 2 ? 1 : (ended.some(({status}) => status === 200) ? 0 : 2);
	} finally {
		sockets.forEach(socket => {
			socket.destroy();
		});
		workers.forEach(worker => {
			worker.close();
		});
		fleet.writeRecord(recordFile);
		await fleet.close();
	}
}

try {
	process.exitCode = await main();
} catch (error) {
	console.error(error);
	process.exitCode = 2;
}
