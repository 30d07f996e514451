/**
 * A machine that is cut off from all workers runs a batch job over the links of other machines. It freezes; the batch job is ended at another machine
 * meanwhile; it wakes again.
 */
import {Buffer} from 'node:buffer';
import {Agent} from 'node:http';
import process from 'node:process';
import {sendCall} from '../../../platform/test/soak/call.js';
import {createLedger} from '../../../platform/test/soak/ledger.js';
import {createLinks} from '../../../platform/test/soak/links.js';
import {createWorkerStandIn, type WorkerStandIn} from '../../../platform/test/soak/worker-stand-in.js';
import {
	HOST, sleep, startFleet, type Daemon,
} from './fleet.js';

const hasTrouble = process.env.TROUBLE !== '0';
const recordFile = process.argv[2] ?? 'record.txt';
const MODEL = 'm0';
const ITEMS = 24;
const SLOTS = 6;
const ROUNDS = 4;
const CANCEL_MS = 3000;
/** From the acknowledgement of the end until the machine wakes. */
const FROZEN_AFTER_END_MS = CANCEL_MS + 500;
/** Events of an item come every 250 ms. */
const SLOWNESS = 10;

async function call(daemon: Daemon, method: string, target: string, headers: Readonly<Record<string, string>>, body?: string): Promise<number> {
	const end = await sendCall({
		ip: daemon.ip, port: daemon.front.port, method, path: target, headers: {Host: HOST, ...headers}, ...(body !== undefined && {body}), agent: new Agent({keepAlive: false}), disconnectAfterMs: 4000,
	});
	return end.kind === 'answer' ? end.status : 0;
}

function renderBatch(id: string): string {
	return JSON.stringify({
		step: 0,
		model: MODEL,
		min_version: 1,
		target_groups: 3,
		items: Array.from({length: ITEMS}, (_, index) => ({
			id: `${id}-${index}`, path: `/batch/${id}-${index}`, headers: {Model: MODEL, 'Token-Count': '100,300', 'Prompt-Prefix': '1:100'}, body: Buffer.from('prompt').toString('base64'), tokens: 400, group: `g${Math.floor(index / 8)}`,
		})),
	});
}

async function main(): Promise<number> {
	const ledger = createLedger();
	const workers: WorkerStandIn[] = [];
	const daemonIps: Array<{readonly name: string; readonly ip: string}> = [];
	const network = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;
	const links = createLinks(`${network}.250`, () => daemonIps);
	const rewrite = async (value: unknown): Promise<unknown> => {
		if (Array.isArray(value)) {
			return Promise.all(value.map(async entry => rewrite(entry)));
		}

		if (value === null || typeof value !== 'object') {
			return value;
		}

		const entry = value as Record<string, unknown>;
		const worker = workers.find(candidate => entry.address === `${candidate.ip}:${candidate.port}`);
		if (worker !== undefined) {
			const {ip, port} = await links.open({name: 'worker', ip: worker.ip, port: worker.port});
			return {...entry, address: `${ip}:${port}`};
		}

		return Object.fromEntries(await Promise.all(Object.entries(entry).map(async ([key, inner]) => [key, await rewrite(inner)] as const)));
	};

	const fleet = await startFleet([{
		name: 'batch', host: HOST, path_prefix: '/batch/', kind: 'rollout', timeout_ms: 10_000, goal_ms: 500, priority: 1, service: 'engines', attempts: 3, due_ms: 7500, retention_s: 40,
	}], {
		rewrite,
		hasOwnAddresses: true,
		services: [{
			name: 'engines', health_path: '/healthz', max_conns: 140, protocol: 'h1', tls: false, engine: {slots: SLOTS, models: [{name: MODEL}]},
		}],
	});
	daemonIps.push(...fleet.daemons);
	workers.push(...['zone-a', 'zone-b', 'zone-c', 'zone-a'].map((zone, index) => createWorkerStandIn({
		name: `engine-${index + 1}`, service: 'engines', zone, ip: `${fleet.network}.100`, port: 18_081 + index, slots: SLOTS, models: [MODEL], softwareVersion: 1,
	}, {
		store: fleet.store, ledger, random: Math.random, checksFencing: true, callerOf: links.callerOf, onCrash: () => undefined,
	})));
	const [owner, other] = fleet.daemons;
	let late = 0;
	let accepted = 0;
	try {
		await Promise.all(workers.map(async worker => worker.start()));
		workers.forEach(({faults}) => {
			faults.slowness = SLOWNESS;
		});
		await fleet.waitUntilReady();
		await sleep(4000);
		for (let round = 1; round <= ROUNDS; round += 1) {
			const id = `lot${round}`;
			const status = await call(owner!, 'POST', `/batch/${id}`, {'Attempt-Id': id, 'Deadline-Ms': '4000', 'content-type': 'application/json'}, renderBatch(id));
			fleet.record({
				what: 'batch job submitted', id, to: owner!.name, status,
			});
			accepted += status === 202 ? 1 : 0;
			if (hasTrouble) {
				links.setFault(owner!.name, 'worker', {kind: 'reset'});
				fleet.record({what: 'cut off from all workers', daemon: owner!.name});
				await sleep(1500);
				fleet.signal(owner!.name, 'SIGSTOP');
				fleet.record({what: 'frozen', daemon: owner!.name});
			} else {
				await sleep(1500);
			}

			let endStatus = 0;
			while (endStatus !== 200) {
				endStatus = await call(other!, 'DELETE', `/v1/lots/${id}`, {});
				fleet.record({
					what: 'end answered', id, by: other!.name, status: endStatus,
				});
			}

			const endedAt = Date.now();
			await sleep(FROZEN_AFTER_END_MS);
			if (hasTrouble) {
				fleet.signal(owner!.name, 'SIGCONT');
				fleet.record({what: 'woken', daemon: owner!.name});
			}

			await sleep(2000);
			links.clearAllFaults();
			const tooLate = ledger.runs.filter(run => run.requestId.startsWith(`${id}-`) && run.at > endedAt + CANCEL_MS);
			tooLate.forEach(run => {
				fleet.record({
					what: 'run after the end', item: run.requestId, worker: run.workerId, from: run.from, msAfterEnd: run.at - endedAt,
				});
			});
			late += tooLate.filter(run => run.from !== undefined && run.from !== owner!.name).length;
			await sleep(6000);
		}

		ledger.runs.forEach(({requestId, workerId, from, at, after}) => {
			fleet.record({
				what: 'run', item: requestId, worker: workerId, from, at, after,
			});
		});
		const summary = `${accepted} batch jobs accepted, ${ledger.runs.length} runs, ${late} begun later than ${CANCEL_MS} ms after the acknowledged end and sent by a machine in touch`;
		fleet.record({what: 'summary', summary});
		console.log(summary);
		return late > 0 ? 1 : (accepted === ROUNDS ? 0 : 2);
	} finally {
		fleet.signal(owner!.name, 'SIGCONT');
		workers.forEach(worker => {
			worker.close();
		});
		links.close();
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
