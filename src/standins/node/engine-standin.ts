/** Stand-in for a model engine. A crash ends all its streams and resets its models to their initial versions. */
import type {ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import type {EngineOrder, LoadReport, ModelStatus} from '../../adapters/common/engine.js';
import {callJson, createHttpClient} from '../../adapters/node/http-client.js';
import {computeTokenCount, renderTokens} from './deterministic-text.js';
import {
	createStandin, notRunReply, type Reply, type Standin, type StandinRequest,
} from './standin-server.js';

const generationBody = z.object({
	requestId: z.string(),
	model: z.string(),
	prompt: z.string(),
	maximumTokens: z.int().min(1),
	seed: z.number(),
	priority: z.number(),
	resumeFrom: z.object({text: z.string(), tokens: z.int()}).optional(),
});
const orderBody = z.object({
	orderId: z.string(), fencing: z.int(), kind: z.literal('load-version'), model: z.string(), version: z.int(),
});

/** Options of an engine stand-in; times in milliseconds. */
export type EngineOptions = {
	readonly id: string;
	/** Initial version by model. */
	readonly models: Readonly<Record<string, number>>;
	readonly fencing: 'checked' | 'ignored';
	readonly slots: number;
	readonly queueLimit?: number;
	readonly tokenMs: number;
	readonly chunkTokens: number;
	readonly loadMs: number;
	readonly reportMs?: number;
	readonly weightStoreUrl: string;
};

/** A stream in the engine's record. */
export type StreamEntry = {
	readonly engine: string;
	readonly requestId: string;
	readonly model: string;
	readonly prompt: string;
	readonly seed: number;
	readonly resumedFrom: number;
	readonly startedAt: number;
	tokens: number;
	outcome: 'queued' | 'running' | 'ended' | 'cancelled' | 'crashed';
};

const DEFAULT_QUEUE_LIMIT = 256;
const DEFAULT_REPORT_INTERVAL_MS = 200;
const FETCH_TIMEOUT_MS = 30_000;
const FETCH_RETRY_DELAY_MS = 50;

/** Creates a stand-in for a model engine. */
export function createEngineStandin(options: EngineOptions): Standin {
	const weightStore = createHttpClient(options.weightStoreUrl);
	const models = new Map<string, ModelStatus>();
	const streams: StreamEntry[] = [];
	const orders: Array<EngineOrder & {readonly verdict: string}> = [];
	const slotQueue: Array<{readonly priority: number; readonly start: () => void}> = [];
	let running = 0;
	let fencing = 0;
	let epoch = 0;
	let cachedLoad = {at: Date.now(), running: 0, queued: 0};
	let lastLoad = Promise.resolve();

	function loadInitialVersions(): void {
		epoch += 1;
		Object.entries(options.models).forEach(([model, version]) => {
			models.set(model, {model, version, state: 'serving'});
		});
	}

	async function acquireSlot(priority: number): Promise<void> {
		if (running < options.slots) {
			running += 1;
			return;
		}

		await new Promise<void>(start => {
			slotQueue.push({priority, start});
			slotQueue.sort((a, b) => b.priority - a.priority);
		});
	}

	function releaseSlot(): void {
		const next = slotQueue.shift();
		running -= next ? 0 : 1;
		next?.start();
	}

	function sendEvent(response: ServerResponse, name: string, data: unknown): void {
		response.write(`event: ${name}\ndata: ${JSON.stringify(data)}\n\n`);
	}

	async function streamChunks(entry: StreamEntry, response: ServerResponse, progress: {readonly text: string; readonly length: number; readonly limit: number}): Promise<void> {
		const {requestId, model} = entry;
		const {version} = models.get(model) ?? {version: 0};
		if (entry.outcome !== 'running') {
			return;
		}

		if (entry.tokens >= progress.length) {
			entry.outcome = 'ended';
			sendEvent(response, 'end', {
				requestId, model, version, text: progress.text, tokens: entry.tokens, finish: progress.length === progress.limit ? 'length' : 'stop',
			});
			response.end();
			return;
		}

		const to = Math.min(entry.tokens + options.chunkTokens, progress.length);
		const tokens = to - entry.tokens;
		const text = renderTokens(entry, {version, from: entry.tokens, to});
		await sleep(options.tokenMs * tokens);
		entry.tokens = to;
		sendEvent(response, 'chunk', {
			requestId, model, version, text, tokens,
		});
		const {crashMarker} = standin.faults();
		if (crashMarker !== '' && entry.prompt.includes(crashMarker)) {
			standin.crash();
		}

		await streamChunks(entry, response, {...progress, text: progress.text + text});
	}

	async function generate(request: StandinRequest): Promise<Reply> {
		const body = generationBody.parse(JSON.parse(request.body));
		if (slotQueue.length >= (options.queueLimit ?? DEFAULT_QUEUE_LIMIT) || !models.has(body.model)) {
			return notRunReply;
		}

		const resumedFrom = body.resumeFrom?.tokens ?? 0;
		const {requestId, model, prompt, seed} = body;
		const entry: StreamEntry = {
			engine: options.id, requestId, model, prompt, seed, resumedFrom, tokens: resumedFrom, startedAt: Date.now(), outcome: 'queued',
		};
		streams.push(entry);
		request.response.on('close', () => {
			entry.outcome = entry.outcome === 'queued' || entry.outcome === 'running' ? 'cancelled' : entry.outcome;
		});
		await acquireSlot(body.priority);
		if (entry.outcome === 'queued') {
			entry.outcome = 'running';
			request.response.writeHead(200, {'content-type': 'text/event-stream'});
			await streamChunks(entry, request.response, {text: body.resumeFrom?.text ?? '', length: computeTokenCount(body, body.maximumTokens), limit: body.maximumTokens});
		}

		releaseSlot();
		if (entry.outcome !== 'ended') {
			request.raw.socket.destroy();
		}

		return undefined;
	}

	function cancel(requestId: string): Reply {
		streams.filter(entry => entry.requestId === requestId && (entry.outcome === 'queued' || entry.outcome === 'running')).forEach(entry => {
			entry.outcome = 'cancelled';
		});
		return {json: {}};
	}

	async function fetchWeights(order: EngineOrder): Promise<boolean> {
		const {model, version} = order;
		const fetched = await weightStore.call({
			step: 'fetch weights', method: 'POST', path: '/fetch', body: JSON.stringify({model, version, engine: options.id}), timeoutMs: FETCH_TIMEOUT_MS,
		});
		if (fetched.isOk() && fetched.value.status === 429) {
			await sleep(FETCH_RETRY_DELAY_MS);
			return fetchWeights(order);
		}

		return fetched.isOk() && fetched.value.status === 200;
	}

	async function loadVersion(order: EngineOrder, epochAtOrder: number): Promise<void> {
		const fetched = await fetchWeights(order);
		await sleep(options.loadMs);
		const before = models.get(order.model);
		if (!before || epoch !== epochAtOrder) {
			return;
		}

		const {swap} = standin.faults();
		if (!fetched || swap === 'stays') {
			models.set(order.model, {...before, state: 'failed'});
			return;
		}

		models.set(order.model, {model: order.model, version: swap === 'unexpected' ? before.version - 1 : order.version, state: 'serving'});
	}

	function status() {
		return {models: [...models.values()], fencing};
	}

	function acceptOrder(order: EngineOrder): Reply {
		const isFencingChecked = options.fencing === 'checked' && !standin.faults().ignoreFencing;
		const isRepeated = orders.some(earlier => earlier.orderId === order.orderId && earlier.verdict === 'accepted');
		const model = models.get(order.model);
		if (isFencingChecked && order.fencing < fencing) {
			orders.push({...order, verdict: 'fenced'});
			return {status: 409, json: {code: 'fenced', fencing}};
		}

		orders.push({...order, verdict: isRepeated ? 'repeated' : 'accepted'});
		fencing = isFencingChecked ? Math.max(fencing, order.fencing) : 0;
		if (!isRepeated && model && (model.version !== order.version || model.state !== 'serving')) {
			models.set(order.model, {...model, state: 'loading'});
			const epochAtOrder = epoch;
			lastLoad = lastLoad.then(async () => loadVersion(order, epochAtOrder));
		}

		return {json: status()};
	}

	function readLoad(): LoadReport {
		const lagMs = Math.max(options.reportMs ?? DEFAULT_REPORT_INTERVAL_MS, standin.faults().lagMs);
		if (Date.now() - cachedLoad.at >= lagMs) {
			cachedLoad = {at: Date.now(), running, queued: slotQueue.length};
		}

		return {
			running: cachedLoad.running, queued: cachedLoad.queued, slots: options.slots, tokensPerSecond: cachedLoad.running * 1000 / Math.max(options.tokenMs, 0.001),
			ageMs: Date.now() - cachedLoad.at, uptimeMs: standin.uptimeMs(),
		};
	}

	const standin = createStandin({
		record: () => ({
			id: options.id, streams, orders, status: status(),
		}),
		onCrash() {
			streams.filter(entry => entry.outcome === 'queued' || entry.outcome === 'running').forEach(entry => {
				entry.outcome = 'crashed';
			});
			loadInitialVersions();
		},
		async handle(request) {
			switch (request.route) {
				case 'POST /generate': {
					return generate(request);
				}

				case 'POST /cancel': {
					return cancel(z.object({requestId: z.string()}).parse(JSON.parse(request.body)).requestId);
				}

				case 'POST /orders': {
					return acceptOrder(orderBody.parse(JSON.parse(request.body)));
				}

				case 'POST /crash': {
					standin.crash();
					return {json: {}};
				}

				case 'GET /load': {
					return {json: readLoad()};
				}

				case 'GET /status': {
					return {json: status()};
				}

				default: {
					return {status: 404, json: {code: 'notFound'}};
				}
			}
		},
	});
	loadInitialVersions();
	return standin;
}
