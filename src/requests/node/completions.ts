/** Route for completions: one generation, returned as one response or as server-sent events. */
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createNotRun, createOutcomeUnknown, type Failure} from '../../base/common/failure.js';
import {hashToHex, hashToUint32} from '../../base/common/hash.js';
import type {Clock} from '../../base/common/clock.js';
import type {Admission} from '../../limits/common/admission.js';
import type {
	Chunk, Generation, GenerationRequest,
} from '../../adapters/common/engine.js';
import type {Router} from '../../routing/common/router.js';
import type {EnginePool, Pool} from '../../settings/common/settings.js';
import type {FrontRequest, Route} from '../common/front.js';
import {createProblem} from '../common/problem.js';
import {createStreamProgress, type StreamProgress} from '../common/stream-progress.js';
import type {AttemptContext, AttemptRunner} from './attempt-runner.js';
import {sendJson, sendProblem} from './respond.js';

/** Dependencies of the completions route. */
export type CompletionRouteDependencies = {
	readonly pools: readonly Pool[];
	readonly admission: Admission;
	readonly router: Router;
	readonly runner: AttemptRunner;
	readonly clock: Clock;
};

const completionBody = z.strictObject({
	prompt: z.string().min(1),
	maximumTokens: z.int().min(1).max(1_000_000),
	model: z.string().optional(),
	seed: z.int().min(0).optional(),
	prefixKey: z.string().max(256).optional(),
	stream: z.boolean().default(false),
});

type Completion = z.output<typeof completionBody> & {
	readonly model: string;
	readonly seed: number;
	readonly pool: EnginePool;
};

/** Estimate to convert between text length and tokens. */
const CHARACTERS_PER_TOKEN = 4;
const GENERATION_PRIORITY = 1;

function parseJson(body: Uint8Array): unknown {
	try {
		return JSON.parse(new TextDecoder().decode(body));
	} catch {
		return undefined;
	}
}

function readCompletion(request: FrontRequest, pools: readonly Pool[]): Result<Completion, Failure> {
	const origin = {step: 'read completion', peer: 'caller'};
	const pool = pools.find(candidate => candidate.kind === 'engine' && candidate.name === request.parameters.pool);
	if (pool?.kind !== 'engine') {
		return err(createNotRun('notFound', origin, `no engine pool ${request.parameters.pool ?? ''}`));
	}

	const parsed = completionBody.safeParse(parseJson(request.body));
	if (!parsed.success) {
		return err(createNotRun('invalid', origin, z.prettifyError(parsed.error)));
	}

	const model = parsed.data.model ?? pool.models[0];
	return model !== undefined && pool.models.includes(model)
		? ok({
			...parsed.data, model, pool, seed: parsed.data.seed ?? hashToUint32(request.requestId),
		})
		: err(createNotRun('invalid', origin, `pool ${pool.name} has no model ${String(model)}`));
}

function createCompletionResponse(requestId: string, generation: Generation) {
	return {
		requestId,
		text: generation.text,
		tokens: generation.tokens,
		finish: generation.finish,
		versions: generation.ranges ?? [],
	};
}

function writeEvent(response: ServerResponse, name: string, value: unknown): void {
	if (response.destroyed || response.writableEnded) {
		return;
	}

	if (!response.headersSent) {
		response.writeHead(200, {'content-type': 'text/event-stream', 'cache-control': 'no-store'});
	}

	response.write(`event: ${name}\ndata: ${JSON.stringify(value)}\n\n`);
}

function sendResult(response: ServerResponse, request: FrontRequest, result: Result<Generation, Failure>, stream: boolean): void {
	if (!stream || (result.isErr() && !response.headersSent)) {
		result.match(generation => {
			sendJson(response, 200, createCompletionResponse(request.requestId, generation));
		}, failure => {
			sendProblem(response, failure, request.requestId);
		});
		return;
	}

	result.match(generation => {
		writeEvent(response, 'end', createCompletionResponse(request.requestId, generation));
	}, failure => {
		writeEvent(response, 'error', createProblem(failure, request.requestId));
	});
	response.end();
}

/** Creates the route for completions. */
export function createCompletionRoute(dependencies: CompletionRouteDependencies): Route {
	const {admission, router, runner, clock} = dependencies;

	async function generate(completion: Completion, context: AttemptContext, progress: StreamProgress, onChunk: (chunk: Chunk) => void): Promise<Result<Generation, Failure>> {
		const {prompt, maximumTokens, model, seed} = completion;
		const resumeFrom = progress.resumePoint();
		const request: GenerationRequest = {
			requestId: context.attemptId, model, prompt, maximumTokens, seed, priority: GENERATION_PRIORITY, ...(resumeFrom && {resumeFrom}),
		};
		context.attempt.sent();
		const generated = await router.engine(context.server).generate(request, chunk => {
			if (!context.signal.aborted) {
				context.attempt.firstByte();
				progress.append(chunk);
				onChunk(chunk);
			}
		}, context.signal);
		return generated.andThen(generation => generation.requestId === context.attemptId && progress.matches(generation)
			? ok(generation)
			: err(createOutcomeUnknown('incomplete', {step: 'generate', peer: context.server.id}, 'the response does not match the request')));
	}

	async function run(completion: Completion, request: FrontRequest, response: ServerResponse): Promise<Result<Generation, Failure>> {
		const progress = createStreamProgress();
		const {
			pool, model, prompt, maximumTokens, prefixKey,
		} = completion;
		return runner.run({
			requestId: request.requestId,
			fingerprint: hashToHex(JSON.stringify([pool.name, model, prompt, maximumTokens])),
			repeatable: () => progress.tokens() === 0 || progress.resumePoint() !== undefined,
			deadline: request.deadline,
			signal: request.signal,
			route: {
				pool: pool.name,
				prefixKey,
				prefixTokens: prefixKey === undefined ? 0 : prompt.length / CHARACTERS_PER_TOKEN,
				expectedTokens: maximumTokens,
				expectedBytes: request.body.length + (maximumTokens * CHARACTERS_PER_TOKEN),
				allowed: undefined,
			},
		}, async context => generate(completion, context, progress, chunk => {
			if (completion.stream) {
				writeEvent(response, 'chunk', {text: chunk.text, tokens: chunk.tokens, version: chunk.version});
			}
		}));
	}

	async function admitAndRun(completion: Completion, plan: string, request: FrontRequest, response: ServerResponse): Promise<Result<Generation, Failure>> {
		const admitted = await admission.admit({
			plan, pool: completion.pool.name, tokens: completion.maximumTokens, deadline: request.deadline,
		}, clock.monotonic(), request.signal);
		if (admitted.isErr()) {
			return err(admitted.error);
		}

		const result = await run(completion, request, response);
		const tokens = result.map(generation => generation.tokens).unwrapOr(completion.maximumTokens);
		admitted.value.release(clock.monotonic(), tokens);
		return result;
	}

	return {
		method: 'POST',
		path: '/v1/models/:pool/completions',
		access: 'customer',
		async handle(request, response) {
			if (request.principal.kind !== 'customer') {
				return;
			}

			const completion = readCompletion(request, dependencies.pools);
			if (completion.isErr()) {
				sendProblem(response, completion.error, request.requestId);
				return;
			}

			const result = await admitAndRun(completion.value, request.principal.plan.name, request, response);
			sendResult(response, request, result, completion.value.stream);
		},
	};
}
