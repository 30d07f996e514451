/** A server sends bytes without end in answer to one stream. Other callers of the same daemon, whose requests go to sound servers, must get answers in time. */
import {
	HAS_TROUBLE, runCase, send, sleep, type Kit,
} from '../../kit-2/test/kit.js';

const TIMEOUT_MS = 1000;
/** Time after `timeout_ms` by which a request must have an answer. */
const SLACK_MS = 500;
const REQUEST_PERIOD_MS = 50;
const WATCHED_MS = 12_000;

const routes = [
	{
		name: 'r-plain', host: 'ficu95.example', path_prefix: '/plain/', kind: 'idempotent', timeout_ms: TIMEOUT_MS, goal_ms: 300, priority: 2, service: 'app', attempts: 2,
	},
	{
		name: 'r-stream', host: 'ficu95.example', path_prefix: '/stream/', kind: 'stream', can_resume: true, timeout_ms: 10_000, goal_ms: 500, priority: 2, service: 'streams', attempts: 2,
	},
];
const services = ['app', 'streams'].map(name => ({
	name, health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false,
}));

async function startFaultyServer(kit: Kit): Promise<void> {
	const ip = `${kit.network}.101`;
	const child = kit.startProcess('target/review-2/7-faulty.mjs', [ip, 'i-faulty']);
	const port = await new Promise<number>(resolve => {
		child.stdout!.on('data', (chunk: Uint8Array) => {
			const text = String(chunk);
			kit.record(`faulty server: ${text.trim()}`);
			const found = /port (\d+)/.exec(text)?.[1];
			if (found !== undefined) {
				resolve(Number(found));
			}
		});
	});
	kit.announceWorker({id: 'i-faulty', address: {ip, port}, born: Date.now()}, {service: 'streams', zone: 'zone-a', slots: 8});
}

await runCase({daemons: [{name: 'edge-1', zone: 'zone-a'}, {name: 'edge-2', zone: 'zone-b'}], routes, services}, async kit => {
	await kit.addWorker({
		id: 'i-app', service: 'app', zone: 'zone-a', slots: 8, handle(request, body, response) {
			const id = String(request.headers['attempt-id']);
			setTimeout(() => {
				response.writeHead(200, {'Attempt-Id': id, 'Server-Stamp': `stamp-${id}`, 'content-length': 2});
				response.end('ok');
			}, 20);
		},
	});
	await startFaultyServer(kit);
	await kit.startDaemons();
	const daemon = kit.daemons[0]!;
	const ends: Array<{readonly at: number; readonly tookMs: number; readonly status: number | undefined}> = [];
	const calls: Array<Promise<void>> = [];
	const from = Date.now();
	let index = 0;
	while (Date.now() - from < WATCHED_MS) {
		index += 1;
		const id = `plain-${index}`;
		const at = Date.now() - from;
		calls.push(send({
			to: daemon.front, method: 'POST', path: '/plain/1', headers: {'Attempt-Id': id, 'Deadline-Ms': '5000'}, body: 'x', timeoutMs: 6000,
		}).then(({status, tookMs, problem}) => {
			ends.push({at, tookMs, status});
			kit.record(`${id} sent at ${at} ms: ${status ?? problem} after ${tookMs} ms`);
		}));
		if (HAS_TROUBLE && index === 40) {
			kit.record('the stream is sent');
			calls.push(send({
				to: daemon.front, method: 'POST', path: '/stream/1', headers: {'Attempt-Id': 'stream-1', 'Deadline-Ms': '9000'}, body: 'x', timeoutMs: 9000,
			}).then(({status, tookMs, problem}) => {
				kit.record(`stream-1: ${status ?? problem} after ${tookMs} ms`);
			}));
		}

		await sleep(REQUEST_PERIOD_MS);
	}

	await Promise.all(calls);
	const beyond = ends.filter(({tookMs}) => tookMs >= TIMEOUT_MS);
	const late = beyond.filter(({tookMs, status}) => status === undefined || tookMs > TIMEOUT_MS + SLACK_MS);
	kit.record(`${ends.length} requests, ${beyond.length} unanswered at their timeout, ${late.length} of these without an answer half a second later`);
	return late.length >= 8 && late.length > beyond.length / 2 ? `${late.length} of ${beyond.length} requests that were unanswered at their timeout had no answer half a second later` : undefined;
});
