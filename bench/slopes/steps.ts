/** Memory and processor time of one step of 1,024 samples at its owner, and the processor time of generation streams. */
import {createServer} from 'node:http';
import {once} from 'node:events';
import {createLengthForecast} from '../../src/rollouts/common/length-forecast.js';
import {
	emptyLedger, encodeLedger, assignBatch, openStep,
} from '../../src/rollouts/common/ledger.js';
import type {StepRequest} from '../../src/rollouts/common/step.js';
import {createStepSchedule} from '../../src/rollouts/common/step-schedule.js';
import {createHttpEngine} from '../../src/adapters/node/http-engine.js';
import {measureCpuUs, readHeapBytes} from './measure.js';

/** Cost of a step at its owner. */
export type StepCost = {
	readonly heapBytes: number;
	readonly cpuUsPerSample: number;
	readonly ledgerBytes: number;
};

const GROUPS = 128;
const SAMPLES_PER_GROUP = 8;
const TOKENS = 400;
const CHUNK_TOKENS = 8;
const CHARACTERS_PER_TOKEN = 4;
const SLOTS = 256;

const request: StepRequest = {
	trainer: 'trainer', step: 1, weightVersion: 1, prompts: Array.from({length: GROUPS}, (_, index) => `Prompt ${index} ${'x'.repeat(400)}`),
	samplesPerGroup: SAMPLES_PER_GROUP, stalenessBound: 1, enough: 1, maximumTokens: 1024, deadlineMs: undefined,
};

/** Creates a new string on each call, so that samples do not share their texts. */
function createText(tokens: number, seed: string): string {
	return seed.padEnd(tokens * CHARACTERS_PER_TOKEN, 'y');
}

/** Runs a complete step through its schedule, chunk by chunk. */
export async function measureStep(): Promise<StepCost> {
	const heapBefore = readHeapBytes();
	const schedule = createStepSchedule({
		request, required: GROUPS, forecast: createLengthForecast(), stalenessBound: 1, attemptPrefix: 'bench', stallMs: 3000, canHedge: true, canResume: true, longestFirst: true,
	});
	const budget = {
		slots: SLOTS, spare: 0, allowed: ['engine'], weightVersion: 1,
	};

	function runStream(attemptId: string, now: number): void {
		schedule.recordDispatched(attemptId, 'engine');
		Array.from({length: TOKENS / CHUNK_TOKENS}).forEach((_, index) => {
			schedule.recordChunk(attemptId, {text: createText(CHUNK_TOKENS, `${attemptId}${index}`), tokens: CHUNK_TOKENS, version: 1}, now + index);
		});
		const completeText = schedule.recordComplete(attemptId, {
			requestId: attemptId, text: createText(TOKENS, attemptId), tokens: TOKENS, ranges: [{version: 1, from: 0, to: TOKENS}], finish: 'stop',
		}, now + TOKENS);
		if (completeText) {
			schedule.recordScored(completeText, 1);
		}
	}

	function runRound(now: number): void {
		const actions = schedule.decide(now, budget);
		actions.forEach(action => {
			if (action.kind === 'start') {
				runStream(action.attemptId, now);
			}
		});
		if (actions.length > 0) {
			runRound(now + 1000);
		}
	}

	const cpuUs = await measureCpuUs(() => {
		runRound(0);
	});
	const samples = schedule.table.all().filter(record => record.state === 'ready').length;
	const heapBytes = readHeapBytes() - heapBefore;
	const opened = openStep(emptyLedger, request)._unsafeUnwrap();
	const ledger = Array.from({length: GROUPS / SAMPLES_PER_GROUP}).reduce<typeof opened>((before, _, batch) =>
		assignBatch(before, 1, Array.from({length: SAMPLES_PER_GROUP}, (_unused, index) => (batch * SAMPLES_PER_GROUP) + index)), opened);
	return {heapBytes, cpuUsPerSample: cpuUs / samples, ledgerBytes: encodeLedger(ledger).length};
}

const STREAM_COUNT = 200;
const CHUNKS_PER_STREAM = 50;
const CONCURRENT_STREAMS = 20;

/** Returns the processor time of 1,000 chunks over the loopback interface, sender and reader together, in microseconds. */
export async function measureChunks(): Promise<number> {
	const server = createServer((message, response) => {
		const chunks: string[] = [];
		message.on('data', chunk => {
			chunks.push(String(chunk));
		});
		message.on('end', () => {
			const {requestId, model} = JSON.parse(chunks.join(''));
			response.writeHead(200, {'content-type': 'text/event-stream'});
			const send = (index: number) => {
				if (index === CHUNKS_PER_STREAM) {
					const text = createText(CHUNK_TOKENS, '').repeat(CHUNKS_PER_STREAM);
					response.end(`event: end\ndata: ${JSON.stringify({
						requestId, model, version: 1, text, tokens: CHUNKS_PER_STREAM * CHUNK_TOKENS, finish: 'stop',
					})}\n\n`);
					return;
				}

				response.write(`event: chunk\ndata: ${JSON.stringify({
					requestId, model, version: 1, text: createText(CHUNK_TOKENS, ''), tokens: CHUNK_TOKENS,
				})}\n\n`);
				setImmediate(send, index + 1);
			};

			send(0);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const engine = createHttpEngine({address: '127.0.0.1', port: typeof address === 'object' ? address?.port ?? 0 : 0});

	async function streamSequentially(first: number, count: number): Promise<void> {
		await Array.from({length: count}).reduce<Promise<void>>(async (previous, _, index) => {
			await previous;
			const generated = await engine.generate({
				requestId: `r${first}.${index}`, model: 'notes', prompt: 'prompt', maximumTokens: 1000, seed: 1, priority: 1,
			}, () => undefined, new AbortController().signal);
			generated._unsafeUnwrap();
		}, Promise.resolve());
	}

	const run = async () => {
		await Promise.all(Array.from({length: CONCURRENT_STREAMS}, async (_, index) => streamSequentially(index, STREAM_COUNT / CONCURRENT_STREAMS)));
	};

	await run();
	const cpuUs = await measureCpuUs(run);
	server.close();
	server.closeAllConnections();
	return cpuUs * 1000 / (STREAM_COUNT * CHUNKS_PER_STREAM);
}
