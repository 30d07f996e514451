/** The owner of a batch job stands still for some seconds, another daemon takes the batch job over, and its results are read. When the owner goes on, no daemon may show the batch job without these results. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BOUNDS, HAS_TROUBLE, HOST, runCase, send, sleep, type Daemon,
} from '../../kit-2/test/kit.js';

const ITEMS = 4;
const EVENTS = 10;
const EVENT_PERIOD_MS = 25;
const FREEZE_MS = 4000;
/** Time before the end of the freeze at which the third daemon is read. */
const READ_BEFORE_THAW_MS = 300;
const READ_PERIOD_MS = 400;
const ROUNDS = 3;
const BATCHES = 4;

const routes = [{
	name: 'r-batch', host: HOST, path_prefix: '/batch/', kind: 'rollout', timeout_ms: 10_000, goal_ms: 500, due_ms: 7500, retention_s: 60, priority: 1, service: 'models', attempts: 3, sticky: true,
}];
const services = [{
	name: 'models', health_path: '/healthz', max_conns: 140, protocol: 'h1', tls: false, engine: {slots: 8, kv_capacity: 112_271, models: [{name: 'm0'}]},
}];

type Page = {readonly total: number; readonly next: number; readonly results: ReadonlyArray<{readonly id: string; readonly state: string}>};

function generate(request: IncomingMessage, body: string, response: ServerResponse): void {
	const id = String(request.headers['attempt-id']);
	response.writeHead(200, {
		'Attempt-Id': id, 'Server-Stamp': `stamp-${id}`, 'content-type': 'text/event-stream', 'Weight-Versions': '1',
	});
	let event = Number(request.headers['last-event-id'] ?? 0);
	const timer = setInterval(() => {
		event += 1;
		if (event > EVENTS) {
			clearInterval(timer);
			response.end();
			return;
		}

		response.write(`id: ${event}\ndata: ${id}.${event}\n\n`);
	}, EVENT_PERIOD_MS);
	response.on('close', () => {
		clearInterval(timer);
	});
}

await runCase({daemons: [{name: 'edge-1', zone: 'zone-a'}, {name: 'edge-2', zone: 'zone-b'}, {name: 'edge-3', zone: 'zone-b'}], routes, services}, async kit => {
	for (const [id, zone] of [['i-1', 'zone-a'], ['i-2', 'zone-b']] as const) {
		await kit.addWorker({
			id, service: 'models', zone, slots: 8, models: ['m0'], handle: generate,
		});
	}

	await kit.startDaemons();
	const [owner, second, third] = kit.daemons as [Daemon, Daemon, Daemon];

	async function read(daemon: Daemon, batchId: string): Promise<Page | undefined> {
		const {status, body, tookMs, problem} = await send({
			to: daemon.front, method: 'GET', path: `/v1/lots/${batchId}?after=0`, timeoutMs: 2500,
		});
		const page = status === 200 ? JSON.parse(body) as Page : undefined;
		kit.record(`${daemon.name}: read ${batchId} from position 0: ${status ?? problem}${page === undefined ? '' : `, ${page.results.length} of ${page.total} results`} after ${tookMs} ms`);
		if (status === 404 || status === 410) {
			return {total: 0, next: 0, results: []};
		}

		return page;
	}

	/** Reads at the second daemon, as a trainer does, until all results are listed. */
	async function readAll(batchId: string, until: number): Promise<boolean> {
		const page = await read(second, batchId);
		if (page?.results.length === ITEMS) {
			return true;
		}

		if (Date.now() > until) {
			return false;
		}

		await sleep(READ_PERIOD_MS);
		return readAll(batchId, until);
	}

	async function submit(round: number, batchId: string): Promise<void> {
		const items = Array.from({length: ITEMS}, (_, index) => ({
			id: `item${batchId.slice(5)}${index}`, path: `/batch/${round}/${index}`, headers: {Model: 'm0', 'Token-Count': '540,40', 'Prompt-Prefix': `${round}c2e41:300`}, body: Buffer.from('x').toString('base64'), tokens: 580, group: `g${batchId}`,
		}));
		const accepted = await send({
			to: owner.front, method: 'POST', path: `/batch/${round}`, headers: {'Attempt-Id': batchId, 'Content-Type': 'application/json', 'Deadline-Ms': '5000'}, body: JSON.stringify({
				step: round, model: 'm0', min_version: 1, target_groups: 1, items,
			}), timeoutMs: 6000,
		});
		kit.record(`${owner.name}: ${batchId} submitted: ${accepted.status ?? accepted.problem}`);
		if (accepted.status !== 202) {
			throw new Error('a batch job was not accepted');
		}
	}

	/** Resolves with how the rule was broken, for each batch job for which it was. */
	async function runRound(round: number): Promise<readonly string[]> {
		const batchIds = Array.from({length: BATCHES}, (_, index) => `batch${String((round * 10) + index).padStart(11, '0')}`);
		await Promise.all(batchIds.map(async batchId => submit(round, batchId)));
		// Other clients read batch jobs all day, at any daemon.
		await Promise.all(batchIds.map(async batchId => read(third, batchId)));
		const frozenAt = Date.now();
		if (HAS_TROUBLE) {
			kit.record(`${owner.name} stands still`);
			owner.process()!.kill('SIGSTOP');
		}

		const thaw = sleep(FREEZE_MS).then(() => {
			if (HAS_TROUBLE) {
				owner.process()!.kill('SIGCONT');
				kit.record(`${owner.name} goes on after ${Date.now() - frozenAt} ms`);
			}
		});
		const readAt = frozenAt + FREEZE_MS - READ_BEFORE_THAW_MS;
		const areListed = await Promise.all(batchIds.map(async batchId => readAll(batchId, readAt - BOUNDS.settle_ms - 200)));
		const listedAt = Date.now();
		await sleep(Math.max(readAt, listedAt + BOUNDS.settle_ms) - Date.now());
		const sentAt = Date.now();
		const pages = await Promise.all(batchIds.map(async batchId => read(third, batchId)));
		await thaw;
		await Promise.all(batchIds.map(async batchId => read(third, batchId)));
		await Promise.all(batchIds.map(async batchId => send({
			to: second.front, method: 'DELETE', path: `/v1/lots/${batchId}`, timeoutMs: 3000,
		})));
		return pages.flatMap((page, index) => (areListed[index] === true && page !== undefined && page.results.length < ITEMS
			? [`${third.name}, which nothing has disturbed, had ${page.results.length} results of ${batchIds[index]} in answer to a read that was sent ${sentAt - listedAt} ms after all ${ITEMS} had been read`]
			: []));
	}

	const problems: string[] = [];
	for (let round = 0; round < ROUNDS; round += 1) {
		problems.push(...await runRound(round));
		// The machine is in touch again, and the daemons know each other.
		await sleep(BOUNDS.stable_ms + 2000);
	}

	kit.record(`${problems.length} of ${ROUNDS * BATCHES} reads broke the rule`);
	return problems[0];
});
