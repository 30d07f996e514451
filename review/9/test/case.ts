/** A worker sends a second copy of one answer with status 500, late. The item that it answered must not be given up before it has failed as often as its route allows. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	HAS_TROUBLE, HOST, runCase, send, sleep,
} from '../../kit-2/test/kit.js';

const ATTEMPTS = 3;
/** Items of the first batch jobs, whose answers the faulty worker gives once each, and of the later ones, of which one item fails. */
const SOUND_ITEMS = 120;
const SOUND_BATCHES = 2;
const GROUP_SIZE = 4;
/** Maximum number of later batch jobs, until an item of one comes to the faulty worker. */
const MAXIMUM_BATCHES = 8;
const EVENTS = 10;
const EVENT_PERIOD_MS = 25;
/** The first item of a later batch job that comes to the faulty worker fails at its first runs, wherever they are. */
const FAILING_RUNS = ATTEMPTS - 1;
/** Time until the first failing run is answered, and each further one. */
const FIRST_FAILURE_MS = 600;
const FAILURE_MS = 10;
const DUE_MS = 30_000;

const routes = [{
	name: 'r-batch', host: HOST, path_prefix: '/batch/', kind: 'rollout', timeout_ms: 10_000, goal_ms: 500, due_ms: DUE_MS, retention_s: 60, priority: 1, service: 'models', attempts: ATTEMPTS, sticky: true,
}];
const services = [{
	name: 'models', health_path: '/healthz', max_conns: 140, protocol: 'h1', tls: false, engine: {slots: 8, kv_capacity: 112_271, models: [{name: 'm0'}]},
}];

type Result = {readonly id: string; readonly state: string; readonly text: string};

await runCase({daemons: [{name: 'edge-1', zone: 'zone-a'}, {name: 'edge-2', zone: 'zone-b'}], routes, services}, async kit => {
	let failingItem: string | undefined;
	let awaitsFailing = false;
	let runs = 0;
	let failures = 0;
	let answers = 0;
	let faultyAnswers = 0;
	let copies = 0;
	/** The copy of the last failing answer, by connection. */
	const lateCopies = new Map<Socket, string>();

	function createHandler(name: string, isFaulty: boolean) {
		return (request: IncomingMessage, body: string, response: ServerResponse): void => {
			const id = String(request.headers['attempt-id']);
			const after = Number(request.headers['last-event-id'] ?? 0);
			if (isFaulty && awaitsFailing) {
				awaitsFailing = false;
				failingItem = id;
			}

			const copy = lateCopies.get(request.socket);
			if (copy !== undefined) {
				lateCopies.delete(request.socket);
				copies += 1;
				kit.record(`${name}: sends the second copy of an earlier answer on the connection on which ${id} has just arrived`);
				request.socket.write(copy);
			}

			if (id === failingItem) {
				runs += 1;
				kit.record(`${name}: run ${runs} of ${id}, after event ${after}`);
				if (runs <= FAILING_RUNS) {
					setTimeout(() => {
						failures += 1;
						answers += 1;
						faultyAnswers += isFaulty ? 1 : 0;
						const stamp = `stamp-${id}-${failures}`;
						kit.record(`${name}: answers ${id} with 500 (${stamp}), for the ${failures}. time`);
						response.writeHead(500, {'Attempt-Id': id, 'Server-Stamp': stamp, 'content-length': 0}).end();
						if (isFaulty && HAS_TROUBLE) {
							lateCopies.set(request.socket, `HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: ${id}\r\nServer-Stamp: ${stamp}\r\nContent-Length: 0\r\n\r\n`);
						}
					}, runs === 1 ? FIRST_FAILURE_MS : FAILURE_MS);
					return;
				}
			}

			response.writeHead(200, {
				'Attempt-Id': id, 'Server-Stamp': `stamp-${id}`, 'content-type': 'text/event-stream', 'Weight-Versions': '1',
			});
			let event = after;
			const timer = setInterval(() => {
				event += 1;
				if (event > EVENTS) {
					clearInterval(timer);
					answers += 1;
					faultyAnswers += isFaulty ? 1 : 0;
					response.end();
					return;
				}

				response.write(`id: ${event}\ndata: ${id}.${event}\n\n`);
			}, EVENT_PERIOD_MS);
			response.on('close', () => {
				clearInterval(timer);
			});
		};
	}

	await kit.addWorker({
		id: 'i-faulty', service: 'models', zone: 'zone-a', slots: 8, models: ['m0'], handle: createHandler('i-faulty', true),
	});
	await kit.addWorker({
		id: 'i-sound', service: 'models', zone: 'zone-c', slots: 8, models: ['m0'], handle: createHandler('i-sound', false),
	});
	await kit.startDaemons();
	const daemon = kit.daemons[0]!;

	/** Submits a batch job, and reads its results until all are listed. */
	async function runBatch(step: number, count: number): Promise<readonly Result[]> {
		const batchId = `batch${String(step).padStart(11, '0')}`;
		const items = Array.from({length: count}, (_, index) => ({
			id: `item${String((step * 1000) + index).padStart(12, '0')}`, path: `/batch/${step}/${index}`, headers: {Model: 'm0', 'Token-Count': '540,40', 'Prompt-Prefix': `${step}c2e41:300`}, body: Buffer.from('x').toString('base64'), tokens: 580, group: `g${step}.${Math.floor(index / GROUP_SIZE)}`,
		}));
		const accepted = await send({
			to: daemon.front, method: 'POST', path: `/batch/${step}`, headers: {'Attempt-Id': batchId, 'Content-Type': 'application/json', 'Deadline-Ms': '5000'}, body: JSON.stringify({
				step, model: 'm0', min_version: 1, target_groups: count / GROUP_SIZE, items,
			}), timeoutMs: 6000,
		});
		kit.record(`batch job ${step} with ${count} items submitted: ${accepted.status ?? accepted.problem}`);
		if (accepted.status !== 202) {
			throw new Error('the batch job was not accepted');
		}

		const results: Result[] = [];
		const until = Date.now() + DUE_MS;
		while (results.length < count && Date.now() < until) {
			const page = await send({
				to: daemon.front, method: 'GET', path: `/v1/lots/${batchId}?after=${results.length}`, headers: {'Wait-Ms': '1000'}, timeoutMs: 3000,
			});
			if (page.status === 200) {
				results.push(...(JSON.parse(page.body) as {results: Result[]}).results);
			}

			await sleep(100);
		}

		const dead = results.filter(({state}) => state === 'dead');
		kit.record(`batch job ${step}: ${results.length} results, ${dead.length} dead`);
		await send({
			to: daemon.front, method: 'DELETE', path: `/v1/lots/${batchId}`, timeoutMs: 3000,
		});
		return results;
	}

	for (let step = 0; step < SOUND_BATCHES; step += 1) {
		await runBatch(step, SOUND_ITEMS);
	}

	/** Runs further batch jobs until an item of one fails; resolves with a description of how the rule was broken. */
	async function runUntilFailure(step: number): Promise<string | undefined> {
		const results = await runBatch(step, GROUP_SIZE);
		const result = results.find(({id}) => id === failingItem);
		if (result === undefined) {
			if (step >= SOUND_BATCHES + MAXIMUM_BATCHES) {
				throw new Error('no item came to the faulty worker');
			}

			return runUntilFailure(step + 1);
		}

		kit.record(`result of ${result.id}: ${result.state}, "${result.text.replaceAll('\n', ' ')}"; workers gave ${answers} answers (the faulty one ${faultyAnswers}), ${failures} of them with status 500, and ${copies} second copies`);
		return result.state === 'dead' && failures < ATTEMPTS
			? `item ${result.id} is listed as dead, though workers answered it with 500 only ${failures} times, and its route has ${ATTEMPTS} attempts`
			: undefined;
	}

	awaitsFailing = true;
	return runUntilFailure(SOUND_BATCHES);
});
