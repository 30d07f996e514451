/** A model engine over HTTP; streams are server-sent events. */
import {createParser} from 'eventsource-parser';
import {err} from 'neverthrow';
import {z} from 'zod';
import {createNotRun} from '../../base/common/failure.js';
import {
	Engine, type Chunk, type Endpoint, type EngineOrder, type GenerationRequest,
} from '../common/engine.js';
import {createEventBound} from '../common/event-bound.js';
import {createStatusFailure, readJson} from './http-responses.js';
import {callJson, createHttpClient} from './http-client.js';
import {loadReport, REPORT_TIMEOUT_MS, urlOf} from './endpoint-protocol.js';
import {createGenerationAssembler} from './generation-assembler.js';

const engineStatus = z.object({
	models: z.array(z.object({model: z.string(), version: z.int(), state: z.enum(['serving', 'loading', 'failed'])})),
	fencing: z.int(),
});

/** Creates the engine at an endpoint. */
export function createHttpEngine(endpoint: Endpoint): Engine {
	const client = createHttpClient(urlOf(endpoint));

	async function cancel(requestId: string): Promise<void> {
		// A failure is ignored because the engine also cancels a stream when its connection closes.
		await callJson(client, {
			step: 'cancel stream', method: 'POST', path: '/cancel', json: {requestId}, timeoutMs: REPORT_TIMEOUT_MS,
		}, z.unknown());
	}

	return new (class extends Engine {
		override async generate(request: GenerationRequest, onChunk: (chunk: Chunk) => void, signal: AbortSignal) {
			const step = 'generate';
			const assembler = createGenerationAssembler(request, {step, peer: client.peer});
			const decoder = new TextDecoder();
			const bound = createEventBound();
			let hasEvent = false;
			const parser = createParser({
				onEvent(event) {
					hasEvent = true;
					const chunk = assembler.accept(event.event ?? '', event.data);
					if (chunk && !signal.aborted) {
						onChunk(chunk);
					}
				},
			});
			const result = await client.call({
				step,
				method: 'POST',
				path: '/generate',
				headers: {'content-type': 'application/json', accept: 'text/event-stream'},
				body: JSON.stringify(request),
				signal,
				onData(chunk) {
					hasEvent = false;
					parser.feed(decoder.decode(chunk, {stream: true}));
					return bound.addChunk(chunk.length, hasEvent);
				},
			});
			if (result.isErr() && result.error.code === 'aborted' && result.error.effect === 'outcomeUnknown') {
				void cancel(request.requestId);
			}

			return result.andThen(response => (response.status === 200
				? assembler.finish()
				: err(createStatusFailure(response, step, client.peer))));
		}

		override async load() {
			return callJson(client, {
				step: 'read load', method: 'GET', path: '/load', timeoutMs: REPORT_TIMEOUT_MS,
			}, loadReport);
		}

		override async status() {
			return callJson(client, {
				step: 'read engine status', method: 'GET', path: '/status', timeoutMs: REPORT_TIMEOUT_MS,
			}, engineStatus);
		}

		override async order(order: EngineOrder) {
			const step = 'order engine';
			const result = await client.call({
				step, method: 'POST', path: '/orders', headers: {'content-type': 'application/json'}, body: JSON.stringify(order), timeoutMs: REPORT_TIMEOUT_MS,
			});
			return result.andThen(response => (response.status === 409
				? err(createNotRun('fenced', {step, peer: client.peer}, 'the engine has accepted a higher fencing number'))
				: readJson(response, engineStatus, step, client.peer)));
		}
	})();
}
